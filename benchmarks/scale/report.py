"""From the files of a scale run to its figures: by process, by kind of frame, at rest and in the event's window."""

from __future__ import annotations

import json
from bisect import bisect_right
from collections import defaultdict
from pathlib import Path
from typing import Any

GROUPS = ("instances", "list", "real heads", "hollow heads", "real shelfs", "hollow shelfs", "load")


def group_of(process: str) -> str:
    for prefix, group in (
        ("heads", "hollow heads"),
        ("shelfs", "hollow shelfs"),
        ("listing", "list"),
        ("load", "load"),
        ("g", "instances"),
        ("h", "real heads"),
        ("s", "real shelfs"),
    ):
        if process.startswith(prefix):
            return group
    return process


class Line:
    """One process's samples: what it has counted by each time, over all its lives."""

    def __init__(self, path: Path) -> None:
        self.times: list[float] = []
        self.rows: list[dict[str, Any]] = []
        base: dict[str, Any] = {"cpu": 0.0, "out": {}, "in": {}}
        last: dict[str, Any] = base
        for line in path.read_text().splitlines():
            row = json.loads(line)
            if self.rows and row["cpu"] < last["cpu"]:  # another life: it counts from none again
                base = self.rows[-1]
            last = row
            joined = {**row, "cpu": base["cpu"] + row["cpu"]}
            for side in ("out", "in"):
                kinds = {**base[side], **row[side]}
                joined[side] = {
                    kind: [base[side].get(kind, (0, 0))[n] + row[side].get(kind, (0, 0))[n] for n in (0, 1)]
                    for kind in kinds
                }
            self.times.append(row["t"])
            self.rows.append(joined)

    def at(self, t: float) -> dict[str, Any]:
        place = bisect_right(self.times, t) - 1
        return self.rows[place] if place >= 0 else {"cpu": 0.0, "out": {}, "in": {}, "rss": 0, "lag_ms": 0.0}

    def between(self, begin: float, end: float) -> dict[str, Any]:
        """What was counted in a window, the greatest memory and the longest lag of it."""
        a, b = self.at(begin), self.at(end)
        inside = [r for t, r in zip(self.times, self.rows, strict=True) if begin < t <= end] or [b]
        return {
            "cpu_s": round(b["cpu"] - a["cpu"], 3),
            "rss_mb": round(max(r["rss"] for r in inside) / 2**20, 1),
            "lag_ms": max(r["lag_ms"] for r in inside),
            **{side: _less(b[side], a[side]) for side in ("out", "in")},
        }


def _less(b: dict[str, Any], a: dict[str, Any]) -> dict[str, list[int]]:
    found = {kind: [v - a.get(kind, (0, 0))[n] for n, v in enumerate(row)] for kind, row in sorted(b.items())}
    return {kind: row for kind, row in found.items() if row[0]}


def _added(rows: list[dict[str, list[int]]]) -> dict[str, list[int]]:
    total: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for row in rows:
        for kind, (count, size) in row.items():
            total[kind][0] += count
            total[kind][1] += size
    return dict(sorted(total.items()))


def window(lines: dict[str, Line], begin: float, end: float, heads: int) -> dict[str, Any]:
    """Figures of a stretch of time (seconds): by process, by group, and of all frames that were sent."""
    by_process = {name: line.between(begin, end) for name, line in lines.items()}
    length = max(1e-9, end - begin)
    groups = {}
    for group in GROUPS:
        rows = [r for n, r in by_process.items() if group_of(n) == group]
        if rows:
            groups[group] = {
                "processes": len(rows),
                "cpu_share": round(sum(r["cpu_s"] for r in rows) / length, 4),
                "most_cpu_share": round(max(r["cpu_s"] for r in rows) / length, 4),
                "most_rss_mb": max(r["rss_mb"] for r in rows),
                "most_lag_ms": max(r["lag_ms"] for r in rows),
                "out": _added([r["out"] for r in rows]),
                "in": _added([r["in"] for r in rows]),
            }
    sent = _added([r["out"] for r in by_process.values()])
    control = {kind: sent.get(kind, [0, 0]) for kind in ("NEWS", "RENEW", "GRANT", "RAFT", "LIST")}
    return {
        "seconds": round(length, 3),
        "frames_a_second_and_head": {k: round(v[0] / length / heads, 4) for k, v in control.items()},
        "bytes_a_second_and_head": {k: round(v[1] / length / heads, 1) for k, v in control.items()},
        "frames": {k: v[0] for k, v in sent.items()},
        "busiest_second": busiest(lines, begin, end),
        "groups": groups,
        "processes": by_process,
    }


def busiest(lines: dict[str, Line], begin: float, end: float) -> dict[str, Any]:
    """The second of a window with the most frames sent, over all processes, and the greatest of one process."""
    best, most = {"frames": 0, "bytes": 0, "at_s": 0.0}, {"process": "", "frames": 0}
    steps = max(1, int((end - begin - 1.0) / 0.25) + 1)
    for n in range(steps):
        at = begin + 0.25 * n
        frames = size = 0
        for name, line in lines.items():
            sent = _less(line.at(at + 1.0)["out"], line.at(at)["out"])
            own = sum(row[0] for row in sent.values())
            frames, size = frames + own, size + sum(row[1] for row in sent.values())
            if own > most["frames"]:
                most = {"process": name, "frames": own}
        if frames > best["frames"]:
            best = {"frames": frames, "bytes": size, "at_s": round(at - begin, 2)}
    return {**best, "most_of_one": most}


def versions(lines: dict[str, Line], rows: list[dict[str, Any]], rest: dict[str, Any], heads: int) -> None:
    """Adds to each version the frames that it took beyond those at rest, for each head."""
    for row in rows:
        until = row.pop("until", None)
        if until is None:
            continue
        told = window(lines, row["asked"], until, heads)["frames"]
        length = until - row["asked"]
        row["frames_a_head"] = {
            kind: round((told.get(kind, 0) - rest["frames"].get(kind, 0) / rest["seconds"] * length) / heads, 3)
            for kind in ("NEWS", "RENEW", "GRANT", "RAFT")
        }
