"""Runs random faults against a group with hundreds of gateways in virtual time, and checks limits at every change.

    python benchmarks/wide_group.py --seeds 1 10 --heads 200 --length 30 --json

With odd seeds the clocks drift apart by up to 4.6%, of the 5% that the settings allow. All runs in one process;
`seconds` is its CPU time. A failed seed is printed with its first error, and the exit status is 1.
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


def run_seed(seed: int, gateway_count: int, fault_duration_s: float) -> dict[str, Any]:
    """Runs one seed and returns its row; `fault` is "" if it passed."""
    started_at = time.process_time()
    try:
        group = run_simulation(seed, gateway_count, fault_duration_s)
    except Exception as error:  # any exception fails the seed
        return {"seed": seed, "fault": f"{type(error).__name__}: {error}", "seconds": time.process_time() - started_at}
    return {
        "seed": seed,
        "fault": "",
        "seconds": round(time.process_time() - started_at, 1),
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
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.seeds[0], options.seeds[0] + options.seeds[1]):
        row = run_seed(seed, options.heads, options.length)
        failed_seeds += bool(row["fault"])
        print(json.dumps(row) if options.json else row, flush=True)
    print(
        json.dumps(
            {
                "heads": options.heads,
                "length_s": options.length,
                "seeds": options.seeds[1],
                "broken": failed_seeds,
                "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1),
            }
        )
    )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
