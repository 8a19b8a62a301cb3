"""What heads say they act on, read from the files of all processes while the run goes on."""

from __future__ import annotations

import json
from bisect import bisect_left
from collections import Counter
from pathlib import Path
from typing import Any

IN_FORCE = ("active", "careful")  # what is pending besides changes nothing of that


class Following:
    """`look()` reads what has come since the last look. Times in seconds of the machine's monotonic clock."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.at: dict[Path, int] = {}
        self.rows: list[dict[str, Any]] = []
        self.now: dict[str, dict[str, Any]] = {}  # the last row of each head
        self.known: dict[str, tuple[int, int]] = {}  # by process, at the least: shelfs known, whole lists that came
        self.came: dict[str, list[tuple[int, float]]] = {}  # versions of each head with the time, both rising
        self.attempts: Counter[str] = Counter()

    def look(self) -> None:
        for path in sorted(self.folder.glob("*.rows")):
            with path.open("rb") as file:
                file.seek(self.at.get(path, 0))
                data = file.read()
            whole = data.rpartition(b"\n")[0]
            self.at[path] = self.at.get(path, 0) + len(whole) + (1 if whole else 0)
            for line in whole.splitlines():
                self._take(path.stem, json.loads(line))

    def _take(self, process: str, row: dict[str, Any]) -> None:
        if "known" in row:
            self.known[process] = (row["known"], row["wholes"])
            return
        if "trips" in row:
            self.attempts.update(row["trips"])
            return
        self.rows.append(row)
        head = row["head"]
        self.now[head] = row
        came = self.came.setdefault(head, [])
        if row["mode"] in IN_FORCE and (not came or row["version"] > came[-1][0]):
            came.append((row["version"], row["t"]))

    def since(self, head: str, version: int) -> float | None:
        """When a head first acted on a version or a later one in full; None: not yet."""
        came = self.came.get(head, [])
        at = bisect_left(came, version, key=lambda pair: pair[0])
        return came[at][1] if at < len(came) else None

    def missing(self, heads: list[str], version: int) -> list[str]:
        return [head for head in heads if self.since(head, version) is None]

    def unwell(self, heads: list[str], version: int, part: float) -> list[str]:
        """Heads that do not act on this version alone, in full, with nothing set aside."""
        found = []
        for head in heads:
            row = self.now.get(head)
            if row is None or (row["version"], row["mode"]) != (version, "active"):
                found.append(head)
            elif abs(row["part"] - part) > 1e-6 * part:
                found.append(head)
        return found


def summed(rows: list[dict[str, Any]], limits: dict[int, float]) -> dict[str, Any]:
    """All heads' parts of the shared limit at every moment, against the limit of the newest version that any head
    had acted on by then (milliseconds after the group's own word). What a head may do before the group has told it
    anything is not in it."""
    parts: dict[str, float] = {}
    total = worst = over_s = last = 0.0
    newest = over = 0
    is_over = False
    for row in sorted(rows, key=lambda r: r["t"]):
        over_s += row["t"] - last if is_over else 0.0
        last, is_over = row["t"], False
        part = row["part"] if row["version"] or row["mode"] == "dead" else 0.0
        total += part - parts.get(row["head"], 0.0)
        parts[row["head"]] = part
        if row["mode"] in IN_FORCE:
            newest = max(newest, row["version"])
        limit = limits.get(newest)
        if limit:
            worst = max(worst, total / limit)
            is_over = total > limit * (1 + 1e-6)
            over += is_over
    return {"looked_at": len(rows), "worst_share": round(worst, 6), "over": over, "over_s": round(over_s, 4)}
