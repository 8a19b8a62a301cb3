"""The verdict of crash rounds: compares confirmed writes with the contents of the storage nodes."""

from __future__ import annotations

from collections import Counter
from typing import Any

from pebblehinge.lab.crash.writers import WriteRecords


def judge(books: WriteRecords, extents: dict[str, bytearray], effects: list[tuple[str, int]]) -> dict[str, Any]:
    """Counts violations. `effects` holds the label and order of each effect at the storage nodes."""
    missing = [
        label
        for label in books.confirmed
        if bytes(extents.get(books.sent[label][0], b"")[books.sent[label][2] :][: len(books.sent[label][3])])
        != books.sent[label][3]
    ]
    times = Counter(label for label, _ in effects)
    doubled = [label for label, n in times.items() if n > 1]
    first = {label: n for label, n in reversed(effects)}
    broken = 0
    for asked, succeeded in books.barriers:
        # Writes confirmed before a barrier was sent must be applied before writes sent after it succeeded.
        before = [first[x] for x, at in books.confirmed.items() if at < asked and x in first]
        after = [first[x] for x, at in books.asked.items() if at > succeeded and x in first]
        broken += bool(before and after and max(before) > min(after))
    return {
        "confirmed": len(books.confirmed),
        "missing": len(missing),
        "doubled": len(doubled),
        "claimed_wrongly": len(books.claimed_wrongly),
        "order_broken": broken,
        "unknown": len(books.unknown),
        "flushes": books.flushes,
        "barriers": len(books.barriers),
        "first": (missing or doubled or books.claimed_wrongly or [""])[0],
    }


def sum_rounds(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the sums of all rounds, and the first violation."""
    total: Counter[str] = Counter()
    first = ""
    for n, totals in enumerate(rounds):
        for key, value in totals.items():
            if key != "first":
                total[key] += value
        if totals["first"] and not first:
            first = f"round {n}: {totals['first']}"
    keys = (
        "confirmed",
        "missing",
        "doubled",
        "claimed_wrongly",
        "order_broken",
        "unknown",
        "flushes",
        "barriers",
        "fault",
    )
    return {"rounds": len(rounds), **{k: total[k] for k in keys}, "first": first}


def sound(totals: dict[str, Any]) -> bool:
    return not any(totals.get(k) for k in ("missing", "doubled", "claimed_wrongly", "order_broken", "fault"))
