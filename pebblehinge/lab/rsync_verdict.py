"""The verdict of the rsync load, from the records of clients and storage nodes alone."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from pebblehinge.wire.frames import APPEND


def judged(rows: Iterable[dict[str, Any]], shelfs: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """What clients' and shelfs' records say of a day's transfers; nothing that a head says of itself is looked at."""
    began: dict[str, dict[str, Any]] = {}
    ends: dict[str, list[dict[str, Any]]] = defaultdict(list)
    tries: Counter[int] = Counter()
    for row in rows:
        if row["e"] == "copy":
            began[row["id"]] = row
        elif row["e"] == "copied":
            ends[row["id"]].append(row)
        elif row["e"] == "tried":
            tries[row["code"]] += 1
    saves: Counter[str] = Counter()
    attempts: Counter[str] = Counter()
    beside = 0
    for row in shelfs:
        # A save is an append to a directory's log, named by its label.
        if row["e"] == "effect" and row.get("label") and "/d/" in row["x"]:
            saves[row["label"]] += 1
        elif row["e"] == "got" and row.get("op") == APPEND and not row["full"]:
            attempts[row["id"]] += 1
        elif row["e"] == "beside":
            beside += 1
    done = [e[0] for e in ends.values()]
    wrong = [f"{e['id']}: {name}" for e in done for name in e["wrong"]]
    return {
        "started": len(began),
        "completed": sum(e["code"] == 0 for e in done),
        "failed": sum(e["code"] != 0 for e in done),
        "unanswered": sum(len(ends[i]) != 1 for i in began),
        "landed_twice": sum(n > 1 for n in saves.values()),
        "contents_wrong": len(wrong),
        "first_wrong": wrong[0] if wrong else "",
        "tries": dict(sorted(tries.items())),
        "saves": len(saves),
        "second_trips": sum(n > 1 for n in attempts.values()),
        "beside": beside,
        "looked_at": sum(e["last"] and e["code"] == 0 for e in done),
        "not_looked_at": sum(e["last"] and e["code"] != 0 for e in done),
    }


def sound(told: dict[str, Any]) -> bool:
    """Whether a day's transfers are as they must be."""
    return not any(told[k] for k in ("unanswered", "landed_twice", "contents_wrong", "second_trips", "not_looked_at"))
