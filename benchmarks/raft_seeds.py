"""Runs many randomized fault scripts against the Raft core: `python benchmarks/raft_seeds.py FIRST COUNT [JOBS]`.

The script of the first failing seed is shrunk and printed.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from raft_scripts import generate_script, run_script, run_seed, shrink_script  # noqa: E402


def check_seed(seed: int) -> tuple[int, str]:
    """Runs the script of a seed; returns the seed and the error, which is empty if the run passed."""
    try:
        run_seed(seed)
    except Exception as error:  # any exception is a failure of the run
        return seed, f"{type(error).__name__}: {error}"
    return seed, ""


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else None
    started_at = time.monotonic()
    with ProcessPoolExecutor(jobs) as executor:
        failures = [
            (seed, error)
            for seed, error in executor.map(check_seed, range(first, first + count), chunksize=50)
            if error
        ]
    print(f"{count} seeds in {time.monotonic() - started_at:.0f} s: {len(failures)} failures")
    for seed, error in failures[:20]:
        print(f"  seed {seed}: {error}")
    if failures:
        seed, error = failures[0]
        print(
            f"# seed {seed}: {error}",
            *shrink_script(generate_script(seed), lambda script: fails_alike(script, seed, error)),
            sep="\n",
        )
    return 1 if failures else 0


def fails_alike(script: list[str], seed: int, expected_error: str) -> bool:
    """Returns whether a script fails with the expected error, apart from the digits in its text."""
    try:
        run_script(script, seed)
    except Exception as error:
        return "".join(c for c in f"{type(error).__name__}: {error}" if not c.isdigit()) == "".join(
            c for c in expected_error if not c.isdigit()
        )
    return False


if __name__ == "__main__":
    sys.exit(main())
