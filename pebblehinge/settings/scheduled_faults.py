"""The faults that a day of the laboratory schedules: their names, their clauses, and the parser of their directive.

The documentation and the messages call them troubles.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable
from dataclasses import dataclass

from pebblehinge.settings.errors import InvalidValueError
from pebblehinge.settings.lines import Position, Statement, Word
from pebblehinge.settings.stand_ins import ScheduledFault
from pebblehinge.settings.values import is_decimal, parse_number

CLAUSES = ("by", "every", "for")
"""The words that precede a number."""

NODE = "shelf"
GATEWAY = "head"
LOAD = "load"
DISCOVERY = "list"
ReportProblem = Callable[[Position, str, str], None]
"""Takes a problem: its position, what was found, and what was expected."""


@dataclass(slots=True, frozen=True)
class FaultKind:
    """A kind of fault.

    Attributes:
        target: What it affects: NODE, GATEWAY, LOAD or DISCOVERY.
        needs_by: Whether its strength has to be stated.
        needs_every: Whether its period has to be stated.
        needs_for: Whether its duration has to be stated.
    """

    target: str
    needs_by: bool = False
    needs_every: bool = False
    needs_for: bool = True

    def required_clauses(self) -> list[str]:
        """Returns the required clauses, in the order of CLAUSES."""
        needs = (self.needs_by, self.needs_every, self.needs_for)
        return [clause for clause, needed in zip(CLAUSES, needs, strict=True) if needed]


FAULT_KINDS = {
    "crash": FaultKind(NODE),
    "slow": FaultKind(NODE, needs_by=True),
    "hang": FaultKind(NODE),
    "freeze": FaultKind(NODE),
    "fast-errors": FaultKind(NODE, needs_by=True),
    "pauses": FaultKind(NODE, needs_by=True, needs_every=True),
    "neighbour": FaultKind(NODE, needs_by=True, needs_every=True),
    "mass-restart": FaultKind(NODE),
    "drain": FaultKind(NODE),
    "release": FaultKind(NODE),
    "resets": FaultKind(NODE, needs_by=True),
    "half-open": FaultKind(NODE),
    "garble": FaultKind(NODE, needs_by=True),
    "lost-answers": FaultKind(NODE, needs_by=True),
    "head-crash": FaultKind(GATEWAY),
    "head-roll": FaultKind(GATEWAY),
    "head-stop": FaultKind(GATEWAY),
    "head-freeze": FaultKind(GATEWAY),
    "list-stale": FaultKind(DISCOVERY, needs_by=True),
    "list-wrong": FaultKind(NODE),
    "burst": FaultKind(LOAD, needs_by=True),
    "hot-key": FaultKind(LOAD, needs_by=True),
    "scan": FaultKind(LOAD, needs_by=True),
    "give-up": FaultKind(LOAD, needs_by=True),
    "client-cuts": FaultKind(LOAD, needs_by=True),
}
"""The kinds of faults by their names in the settings."""


def parse_scheduled_fault(statement: Statement, report: ReportProblem) -> ScheduledFault | None:
    """Parses `at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]`.

    Args:
        statement: The directive.
        report: Takes a problem.

    Returns:
        The fault, or None if a problem was reported.
    """
    if statement.block is not None or len(statement.args) < 2:
        report(statement.name.position, "'at'", "at TIME TROUBLE [TARGET ...] [by FIGURE] [every TIME] for TIME")
        return None
    time, name, *rest = statement.args
    kind = FAULT_KINDS.get(name.text)
    if kind is None:
        nearest = difflib.get_close_matches(name.text, FAULT_KINDS, 1)
        expected = f"{nearest[0]} (the nearest known one)" if nearest else "one of " + ", ".join(FAULT_KINDS)
        report(name.position, f"unknown trouble {name.text!r}", expected)
        return None
    try:
        begin_ms = _parse_clause_number(time, "at")
        targets, clauses = _split_clauses(rest)
    except _WordError as error:
        report(error.word.position, repr(error.word.text), str(error))
        return None
    problem = _find_problem(name.text, kind, targets, clauses)
    if problem is not None:
        report(name.position, *problem)
        return None
    return ScheduledFault(
        at=begin_ms,
        name=name.text,
        target=targets,
        by=clauses.get("by"),
        every=clauses.get("every"),
        last=clauses.get("for"),
    )


class _WordError(InvalidValueError):
    """A word is invalid; the message says what was expected."""

    def __init__(self, word: Word, expected: str) -> None:
        super().__init__(expected)
        self.word = word


def _split_clauses(words: list[Word]) -> tuple[list[str], dict[str, float]]:
    """Returns the targets, and the numbers by clause.

    Raises:
        _WordError: A clause has no number, or an invalid one.
    """
    targets: list[str] = []
    clauses: dict[str, float] = {}
    remaining = iter(words)
    for word in remaining:
        if word.text not in CLAUSES:
            targets.append(word.text)
            continue
        number_word = next(remaining, None)
        if number_word is None:
            raise _WordError(word, f"a figure after {word.text}")
        clauses[word.text] = _parse_clause_number(number_word, word.text)
    return targets, clauses


def _parse_clause_number(word: Word, clause: str) -> float:
    """Returns the number of a clause: a time, or for `by` a share, a factor or a time.

    Raises:
        _WordError: The word is not such a number.
    """
    unit = "ms"
    if clause == "by":
        if word.text.endswith("%"):
            unit = "%"
        elif word.text.endswith("x") or is_decimal(word.text):
            unit = "x"
    try:
        return parse_number(word.text, unit)
    except InvalidValueError as error:
        raise _WordError(word, str(error)) from None


def _find_problem(name: str, kind: FaultKind, targets: list[str], clauses: dict[str, float]) -> tuple[str, str] | None:
    """Returns what was found and expected if a clause or target is missing or not allowed, else None."""
    for clause in kind.required_clauses():
        if clause not in clauses:
            return f"{name} without {clause!r}", f"{clause} and a figure"
    has_targets = kind.target in (NODE, GATEWAY)
    if has_targets and not targets:
        return f"{name} strikes nothing", f"{kind.target} names, rack NAME, a share or all"
    if targets and not has_targets:
        return f"{name} with {' '.join(targets)!r}", "no target"
    return None
