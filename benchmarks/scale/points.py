"""What scale runs printed, as points for the data behind the capacity page.

    python benchmarks/scale/points.py RUN.json ...

Each argument is one run's `--json`; one JSON list goes to standard output. Times in seconds, memory in MB, processor
time as a share of a core, frames and bytes for one head.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

CONTROL = ("NEWS", "RENEW", "GRANT", "RAFT", "LIST")
X = ("heads", "shelfs", "members", "seed", "event", "regions", "counted", "cap_s", "text")


def worst(rows: list[dict[str, Any]], key: str) -> Any:
    """The largest; None where any is missing: it was not in force by the cap."""
    values = [row.get(key) for row in rows]
    return None if not values or None in values else max(values)


def stretch(told: dict[str, Any], name: str, leader: str) -> dict[str, Any]:
    """One window: the roles' processor time, memory and lag, control frames for each head."""
    found: dict[str, Any] = {}
    for kind in CONTROL:
        found[f"{name}_{kind}_a_second_and_head"] = told["frames_a_second_and_head"][kind]
        found[f"{name}_{kind}_bytes_a_second_and_head"] = told["bytes_a_second_and_head"][kind]
    for group, row in told["groups"].items():
        key = f"{name}_{group.replace(' ', '_')}"
        for figure in ("most_cpu_share", "most_rss_mb", "most_lag_ms"):
            found[f"{key}_{figure}"] = row[figure]
    if leader in told["processes"]:
        found[f"{name}_leader_cpu_share"] = round(told["processes"][leader]["cpu_s"] / told["seconds"], 4)
    found[f"{name}_busiest_second_frames"] = told["busiest_second"]["frames"]
    found[f"{name}_busiest_second_bytes"] = told["busiest_second"]["bytes"]
    found[f"{name}_busiest_second_of_one"] = told["busiest_second"]["most_of_one"]["frames"]
    return found


def point(told: dict[str, Any]) -> dict[str, Any]:
    first, *rows = told["versions"]
    y: dict[str, Any] = {"first_last_s": first.get("last_s"), "first_missing": first.get("missing")}
    if rows:
        y |= {f"version_{key}": worst(rows, key) for key in ("accepted_s", "median_s", "p99_s", "last_s")}
        y["version_missing"] = max(row.get("missing", told["heads"]) for row in rows)
        y["versions"] = len(rows)
        for kind in CONTROL[:-1]:
            counts = [row["frames_a_head"][kind] for row in rows if "frames_a_head" in row]
            if counts:
                y[f"version_{kind}_a_head"] = max(counts)
    for name in ("rest", "event"):
        y |= stretch(told["windows"][name], name, told.get("leader", ""))
    y |= {"well": told["well"]["well"], "well_after_s": told["well"]["after_s"], "unwell": told["well"]["unwell"]}
    y |= {"text_bytes": told["text_bytes"], "most_mb": told["most_mb"], "most_processes": told["most_processes"]}
    y |= {"parts_worst_share": told["parts_summed"]["worst_share"], "parts_over": told["parts_summed"]["over"]}
    y["parts_over_s"] = told["parts_summed"].get("over_s")
    y |= {"rules_kept": told["rules_kept"], "real_service": told["real"]["service"], "faults": len(told["faults"])}
    return {"x": {key: told.get(key, "flat" if key == "text" else None) for key in X}, "y": y}


def main() -> None:
    print(json.dumps([point(json.loads(Path(name).read_text())) for name in sys.argv[1:]], indent=1))


if __name__ == "__main__":
    main()
