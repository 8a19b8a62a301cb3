"""The table of the scale runs on docs/CAPACITY.md: a row for each run, chosen figures, and which lines it did not keep.

All figures of a run stay in benchmarks/capacity.json; the lines are those of the size's own section.
"""

from __future__ import annotations

from typing import Any

from capacity_fits import Data
from capacity_text import figure, rows

KINDS = ("NEWS", "RENEW", "GRANT")
COLUMNS = (
    ("heads", "heads"),
    ("shelfs", "shelfs"),
    ("members", "instances"),
    ("event", "event"),
    ("seed", "seed"),
    ("version_median_s", "in force, median head, s"),
    ("version_p99_s", "99th percentile, s"),
    ("version_last_s", "last head, s"),
    ("version_missing", "heads not in force"),
    ("version_frames", "frames a version and head"),
    ("rest_frames", "frames at rest, a second and head"),
    ("rest_bytes", "bytes at rest, a second and head"),
    ("rest_leader_cpu_share", "leader at rest, cores"),
    ("event_leader_cpu_share", "leader in the event, cores"),
    ("event_real_heads_most_cpu_share", "real head in the event, cores"),
    ("event_real_heads_most_lag_ms", "its longest lag, ms"),
    ("event_instances_most_lag_ms", "an instance's, ms"),
    ("event_busiest_second_frames", "frames in the busiest second"),
    ("well_after_s", "until all is well, s"),
    ("parts_over", "times parts were over the limit"),
    ("rules_kept", "rules kept"),
)


def whole(point: dict[str, Any]) -> dict[str, Any]:
    """A point's figures with the sums that the table shows."""
    found = {**point["x"], **point["y"]}
    for name, start, end in (
        ("version_frames", "version_", "_a_head"),
        ("rest_frames", "rest_", "_a_second_and_head"),
        ("rest_bytes", "rest_", "_bytes_a_second_and_head"),
    ):
        parts = [found[f"{start}{kind}{end}"] for kind in KINDS if f"{start}{kind}{end}" in found]
        if parts:
            found[name] = round(sum(parts), 2)
    return found


def broken(names: dict[str, float], found: dict[str, Any]) -> str:
    """The lines that a run did not keep, in words."""
    lines = (
        ("version_last_s", names["within_s"], "last head"),
        ("version_p99_s", names["p99_s"], "99th percentile"),
        ("version_missing", 0, "heads not in force"),
        ("rest_frames", names["rest_frames"], "frames at rest"),
        ("rest_bytes", names["budget_bytes_s"], "bytes at rest"),
        ("rest_leader_cpu_share", names["instance_core"], "leader at rest"),
        ("event_real_heads_most_lag_ms", names["loop_s"] * 1000.0, "a head's loop"),
        ("parts_over", 0, "parts over the limit"),
    )
    said = [what for key, line, what in lines if (found.get(key) or 0) > line]
    said += [
        what for key, what in (("rules_kept", "rules"), ("well", "not well in the end")) if found.get(key) is False
    ]
    return ", ".join(said) or "none"


def scale(data: Data) -> str:
    """One table over all scale runs, each run's note under it."""
    body, notes, names = [], [], data.size("coming")
    for name, run in sorted(data.runs.items()):
        if not name.startswith("scale"):
            continue
        mark = " (trial)" if run["kind"] == "trial" else ""
        if run.get("note"):
            notes.append(f"- **{name}**: {run['note'].strip()}\n")
        for point in run["points"]:
            found = whole(point)
            body.append([name + mark, *(figure(found.get(key)) for key, _ in COLUMNS), broken(names, found)])
    if not body:
        return "*not measured*\n"
    return rows(["run", *(title for _, title in COLUMNS), "lines not kept"], body) + "\n" + "".join(notes)
