"""Hundreds of heads and five instances struck by chance in virtual time, limits summed at every change.

    python benchmarks/wide_group.py --seeds 1 10 --heads 200 --length 30 --json

Odd seeds have clocks that differ by up to 4.6% of the 5% that are stated. One process; `seconds` are processor time.
A broken seed is told with its first fault and the program ends with 1.
"""

from __future__ import annotations

import argparse
import json
import resource
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from large_group_faults import run_simulation  # noqa: E402


def one(seed: int, heads: int, length_s: float) -> dict[str, Any]:
    began = time.process_time()
    try:
        group = run_simulation(seed, heads, length_s)
    except Exception as error:  # a find is whatever a run ends with
        return {"seed": seed, "fault": f"{type(error).__name__}: {error}", "seconds": time.process_time() - began}
    return {
        "seed": seed,
        "fault": "",
        "seconds": round(time.process_time() - began, 1),
        "versions": group.active_version(),
        "proposed": group.event_counts["proposed"],
        "said_yes": len(group.accepted_names),
        "most": round(group.peak_utilization, 4),
        "reached_s": round(group.loop.now - 1000.0, 1),
        "counts": {k: n for k, n in sorted(group.event_counts.items()) if " " in k},
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 5), metavar=("FIRST", "COUNT"))
    parser.add_argument("--heads", type=int, default=200)
    parser.add_argument("--length", type=float, default=30.0, help="seconds of faults")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    broken = 0
    for seed in range(told.seeds[0], told.seeds[0] + told.seeds[1]):
        row = one(seed, told.heads, told.length)
        broken += bool(row["fault"])
        print(json.dumps(row) if told.json else row, flush=True)
    print(
        json.dumps(
            {
                "heads": told.heads,
                "length_s": told.length,
                "seeds": told.seeds[1],
                "broken": broken,
                "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1),
            }
        )
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
