"""Many seeded runs of the Raft core under faults: `python benchmarks/raft_seeds.py FIRST COUNT [JOBS]`."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from raft_world import rough  # noqa: E402


def one(seed: int) -> tuple[int, str]:
    try:
        rough(seed)
    except Exception as error:  # a find is whatever a run ends with
        return seed, f"{type(error).__name__}: {error}"
    return seed, ""


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else None
    began = time.monotonic()
    with ProcessPoolExecutor(jobs) as executor:
        finds = [(s, why) for s, why in executor.map(one, range(first, first + count), chunksize=50) if why]
    print(f"{count} seeds in {time.monotonic() - began:.0f} s: {len(finds)} finds")
    for seed, why in finds[:20]:
        print(f"  seed {seed}: {why}")
    return 1 if finds else 0


if __name__ == "__main__":
    sys.exit(main())
