"""Fault scripts: parses and formats their lines, and converts them to timed steps. No I/O and no clock."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

# For each kind: what it affects, the unit of its magnitude (None: it has none), and whether it has a duration.
BOTH, ONE, PROCESS = "from", "to", ""
KINDS: dict[str, tuple[str, str | None, bool]] = {
    "cut": (BOTH, None, True),
    "silent": (ONE, None, True),
    "delay": (ONE, "ms", True),
    "slow": (ONE, "KiB", True),
    "lose": (ONE, "%", True),
    "repeat": (ONE, "%", True),
    "reset": (BOTH, None, False),
    "half-open": (BOTH, None, False),
    "kill": (PROCESS, None, True),
    "freeze": (PROCESS, None, True),
    "drift": (PROCESS, "%", True),
    "wall": (PROCESS, "ms", True),
    "disk-full": (PROCESS, None, True),
    "disk-slow": (PROCESS, "ms", True),
    "disk-fail": (PROCESS, None, True),
}
FORMS = {BOTH: "NAME ... from NAME ...", ONE: "NAME ... to NAME ...", PROCESS: "NAME ..."}
TIME = re.compile(r"(-?\d+(?:\.\d+)?)(ms|s)")
FIGURE = {"ms": TIME, "KiB": re.compile(r"(\d+(?:\.\d+)?)(KiB)"), "%": re.compile(r"(-?\d+(?:\.\d+)?)(%)")}
SIGNED = ("drift", "wall")  # these may be negative
MOST_LINES = 10_000


class ScriptError(Exception):
    """A script has syntax errors: one line per error, each with its position."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One line of a script. Times in ms; `by` in ms, bytes per second, or as a fraction of 1."""

    at_ms: float
    kind: str
    some: tuple[str, ...]
    others: tuple[str, ...] = ()
    by: float = 0.0
    last_ms: float = 0.0
    folder: str = ""  # for a kill, the folder to restart with: "" the current one, "old", "empty"
    old_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Step:
    """One timed action: `begin` or `end` of a fault, or `copy` of the folder that a kill will restore."""

    at_ms: float
    what: str
    fault: Fault


class _SyntaxProblem(Exception):
    def __init__(self, column: int, found: str, expected: str) -> None:
        super().__init__(f"{column}: {found}: expected {expected}")


def _parse_time(word: str, column: int, least: float = 0.0) -> float:
    found = TIME.fullmatch(word)
    value = float(found[1]) * (1000.0 if found[2] == "s" else 1.0) if found else least - 1.0
    if value < least:
        raise _SyntaxProblem(column, repr(word), "a time such as 300ms or 4s")
    return value


def _parse_line(words: list[tuple[int, str]], names: set[str]) -> Fault:
    last = words[-1][0] + len(words[-1][1])
    todo = iter(words)

    def after(what: str) -> tuple[int, str]:
        found = next(todo, None)
        if found is None:
            raise _SyntaxProblem(last, "the end", what)
        return found

    column, word = after("at TIME KIND")
    if word != "at":
        raise _SyntaxProblem(column, repr(word), "at TIME KIND ...")
    column, word = after("a time")
    at = _parse_time(word, column)
    column, kind = after("a kind of fault")
    if kind not in KINDS:
        raise _SyntaxProblem(column, f"unknown fault {kind!r}", "one of " + ", ".join(KINDS))
    form, unit, lasts = KINDS[kind]
    sides: list[list[str]] = [[]]
    by = length = old = 0.0
    seen, folder, clause = set(), "", 0
    for column, word in todo:
        if word in ("from", "to") and word == form and len(sides) == 1 and not seen:
            sides.append([])
        elif word in ("by", "for", "old", "empty") and word not in seen:
            seen.add(word)
            clause = column
            if word == "by" and unit is not None:
                column, word = after("a figure")
                found = FIGURE[unit].fullmatch(word)
                if found is None:
                    raise _SyntaxProblem(
                        column, repr(word), {"ms": "a time", "KiB": "KiB a second", "%": "a share"}[unit]
                    )
                by = float(found[1]) * {"ms": 1.0, "s": 1000.0, "KiB": 1024.0, "%": 0.01}[found[2]]
                if (by <= 0.0 and kind not in SIGNED) or (unit == "%" and not -1.0 < by <= 1.0):
                    raise _SyntaxProblem(column, repr(word), "more than none, and no share beyond the whole")
            elif word == "for" and lasts:
                length = _parse_time(*reversed(after("a time")), 1.0)  # type: ignore[arg-type]
            elif word == "old" and kind == "kill" and not folder:
                folder, old = "old", _parse_time(*reversed(after("a time")), 1.0)  # type: ignore[arg-type]
            elif word == "empty" and kind == "kill" and not folder:
                folder = "empty"
            else:
                raise _SyntaxProblem(clause, f"{word!r} with {kind}", "none")
        elif not seen and word in names:
            sides[-1].append(word)
        else:
            raise _SyntaxProblem(column, repr(word), "a name of the fleet" if not seen else "by, for, or the end")
    if not all(sides) or (len(sides) == 1) != (form == PROCESS):
        raise _SyntaxProblem(last, f"{kind} {' '.join(sides[0])}".strip(), f"{kind} {FORMS[form]}")
    for word, needed in (("by", unit is not None), ("for", lasts)):
        if needed and word not in seen:
            raise _SyntaxProblem(last, f"{kind} without {word!r}", f"{word} and a figure")
    if folder == "old" and old > at:
        raise _SyntaxProblem(clause, f"a folder of {old:g} ms before {at:g} ms", "one of after the beginning")
    others = tuple(sides[1]) if len(sides) == 2 else ()
    return Fault(at, kind, tuple(sides[0]), others, by, length, folder, old)


def read(text: str, names: Iterable[str], file: str = "script") -> list[Fault]:
    """Returns the faults of a text in order of time. Raises ScriptError with all syntax errors."""
    known, found, wrong = set(names), [], []
    lines = text.splitlines()
    if len(lines) > MOST_LINES:
        raise ScriptError(f"{file}: {len(lines)} lines: expected at most {MOST_LINES}")
    for number, line in enumerate(lines, 1):
        words = [(m.start() + 1, m[0]) for m in re.finditer(r"\S+", line.partition("#")[0])]
        if words:
            try:
                found.append(_parse_line(words, known))
            except _SyntaxProblem as bad:
                wrong.append(f"{file}:{number}:{bad}")
    if wrong:
        raise ScriptError("\n".join(wrong))
    return sorted(found, key=lambda f: f.at_ms)


def _format_value(value: float, unit: str) -> str:
    if unit == "ms":
        return f"{value / 1000:g}s" if value and value % 1000 == 0 else f"{value:.12g}ms"
    return f"{value / 1024:.12g}KiB" if unit == "KiB" else f"{value * 100:.12g}%"


def write(faults: Iterable[Fault]) -> str:
    """Formats faults as text, which `read` parses to equal faults."""
    lines = []
    for f in faults:
        form, unit, lasts = KINDS[f.kind]
        words = ["at", _format_value(f.at_ms, "ms"), f.kind, *f.some, *([form, *f.others] if form != PROCESS else [])]
        words += ["by", _format_value(f.by, unit)] if unit is not None else []
        words += ["for", _format_value(f.last_ms, "ms")] if lasts else []
        words += ["old", _format_value(f.old_ms, "ms")] if f.folder == "old" else ["empty"] if f.folder else []
        lines.append(" ".join(words) + "\n")
    return "".join(lines)


def steps(faults: Iterable[Fault]) -> list[Step]:
    """Returns the steps in order of time; an end precedes a beginning at the same time."""
    found = []
    for f in faults:
        if f.folder == "old":
            found.append(Step(f.at_ms - f.old_ms, "copy", f))
        found.append(Step(f.at_ms, "begin", f))
        if KINDS[f.kind][2]:
            found.append(Step(f.at_ms + f.last_ms, "end", f))
    return sorted(found, key=lambda s: (s.at_ms, s.what == "begin"))
