"""Many seeded runs of the Raft core under faults: `python benchmarks/raft_seeds.py FIRST COUNT [JOBS]`.

The first find is shrunk and written out as a script; one in `tests/raft/` is played by the tests from then on.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from raft_scripts import draw_script, play_script, play_seed, shrink_script  # noqa: E402


def one(seed: int) -> tuple[int, str]:
    try:
        play_seed(seed)
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
    if finds:
        seed, why = finds[0]
        print(
            f"# seed {seed}: {why}",
            *shrink_script(draw_script(seed), lambda script: fails(script, seed, why)),
            sep="\n",
        )
    return 1 if finds else 0


def fails(script: list[str], seed: int, why: str) -> bool:
    """In the same way: figures apart."""
    try:
        play_script(script, seed)
    except Exception as error:
        return "".join(c for c in f"{type(error).__name__}: {error}" if not c.isdigit()) == "".join(
            c for c in why if not c.isdigit()
        )
    return False


if __name__ == "__main__":
    sys.exit(main())
