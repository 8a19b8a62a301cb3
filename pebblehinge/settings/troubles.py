"""The troubles of a day: their names, what each takes, and the statements that call them up."""

from __future__ import annotations

import difflib
from collections.abc import Callable

from pebblehinge.settings.lines import Place, Statement
from pebblehinge.settings.schema import Trouble
from pebblehinge.settings.values import BadValue, is_plain, number

# What each trouble takes: targets (shelf, head, load, list), whether `by`, `every` and `for` are needed.
TROUBLES: dict[str, tuple[str, bool, bool, bool]] = {
    "crash": ("shelf", False, False, True),
    "slow": ("shelf", True, False, True),
    "hang": ("shelf", False, False, True),
    "freeze": ("shelf", False, False, True),
    "fast-errors": ("shelf", True, False, True),
    "pauses": ("shelf", True, True, True),
    "neighbour": ("shelf", True, True, True),
    "mass-restart": ("shelf", False, False, True),
    "drain": ("shelf", False, False, True),
    "release": ("shelf", False, False, True),
    "resets": ("shelf", True, False, True),
    "half-open": ("shelf", False, False, True),
    "garble": ("shelf", True, False, True),
    "lost-answers": ("shelf", True, False, True),
    "head-crash": ("head", False, False, True),
    "head-roll": ("head", False, False, True),
    "head-stop": ("head", False, False, True),
    "head-freeze": ("head", False, False, True),
    "list-stale": ("list", True, False, True),
    "list-wrong": ("shelf", False, False, True),
    "burst": ("load", True, False, True),
    "hot-key": ("load", True, False, True),
    "scan": ("load", True, False, True),
    "give-up": ("load", True, False, True),
    "client-cuts": ("load", True, False, True),
}


def trouble_of(st: Statement, report: Callable[[Place, str, str], None]) -> Trouble | None:
    """The trouble that `at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]` states; faults are reported."""
    words = list(st.args)
    if st.block is not None or len(words) < 2:
        report(st.name.place, "'at'", "at TIME TROUBLE [TARGET ...] [by FIGURE] [every TIME] for TIME")
        return None
    time, name = words[0], words[1]
    if name.text not in TROUBLES:
        near = difflib.get_close_matches(name.text, TROUBLES, 1)
        wants = f"{near[0]} (the nearest known one)" if near else "one of " + ", ".join(TROUBLES)
        report(name.place, f"unknown trouble {name.text!r}", wants)
        return None
    strikes, needs_by, needs_every, needs_for = TROUBLES[name.text]
    clauses: dict[str, float] = {}
    target: list[str] = []
    rest = words[2:]
    try:
        where = time
        at = number(time.text, "ms")
        while rest:
            where = rest.pop(0)
            if where.text in ("by", "every", "for"):
                if not rest:
                    raise BadValue(f"a figure after {where.text}")
                clause, where = where.text, rest.pop(0)
                clauses[clause] = _figure(where.text, clause)
            else:
                target.append(where.text)
    except BadValue as bad:
        report(where.place, repr(where.text), str(bad))
        return None
    needed = [c for c, n in (("by", needs_by), ("every", needs_every), ("for", needs_for)) if n]
    for clause in needed:
        if clause not in clauses:
            report(name.place, f"{name.text} without {clause!r}", f"{clause} and a figure")
            return None
    if strikes in ("shelf", "head") and not target:
        report(name.place, f"{name.text} strikes nothing", f"{strikes} names, rack NAME, a share or all")
        return None
    if strikes in ("load", "list") and target:
        report(name.place, f"{name.text} with {' '.join(target)!r}", "no target")
        return None
    return Trouble(
        at=at,
        name=name.text,
        target=target,
        by=clauses.get("by"),
        every=clauses.get("every"),
        last=clauses.get("for"),
    )


def _figure(text: str, clause: str) -> float:
    if clause != "by":
        return number(text, "ms")
    if text.endswith("%"):
        return number(text, "%")
    return number(text, "x") if text.endswith("x") or is_plain(text) else number(text, "ms")
