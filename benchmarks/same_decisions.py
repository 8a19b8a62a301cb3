"""Whether two checkouts decide alike: the drawn runs of the properties, to the bit.

    python benchmarks/same_decisions.py --against ../other-checkout [--runs 2000]

Each run's every attempt, recall, answer, wake and call to the list, and at its end all that its heads would remember,
go into a digest; runs are spread over the rules that they are drawn for. For changes that move code and no decision.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent.parent
RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget", "data")


def digests(runs: int) -> None:
    """Prints a line a run: rule, seed, what was decided, how many calls."""
    sys.path.insert(1, str(HERE / "tests"))
    from drawn import COLD, CONFIG, events_of
    from drawn_world import World

    class Watched(World):
        def __init__(self, *given: Any) -> None:
            self.said, self.calls = hashlib.sha256(), 0
            super().__init__(*given)

        def _done(self, name: str, life: Any, changes: Any) -> None:
            self.calls += 1
            rows = [(a.id, a.attempts, a.cancellations, a.answer) for a in changes.handles]
            self.said.update(repr((self.now, name, rows, changes.wake_ms, changes.list_calls)).encode())
            super()._done(name, life, changes)

    for n in range(runs):
        rule, seed = RULES[n % len(RULES)], n // len(RULES)
        world = Watched(COLD if rule == "cold" else CONFIG, seed, rule)
        world.play(events_of(seed, rule))
        for name, life in world.lives.items():
            world.said.update(repr((name, life.head.remembered(world.now))).encode())
        print(rule, seed, world.said.hexdigest(), world.calls)


def of(checkout: Path, runs: int) -> subprocess.Popen[str]:
    env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-P", __file__, "--digests", "--runs", str(runs)]
    return subprocess.Popen(command, env=env, stdout=subprocess.PIPE, text=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path)
    parser.add_argument("--runs", type=int, default=2_000)
    parser.add_argument("--digests", action="store_true", help="print this checkout's own")
    told = parser.parse_args()
    if told.digests:
        digests(told.runs)
        return 0
    if told.against is None or not (told.against / "pebblehinge").is_dir():
        parser.error("--against wants another checkout of this project")
    both = [of(HERE, told.runs), of(told.against.resolve(), told.runs)]
    here, there = (p.communicate()[0].splitlines() for p in both)
    if any(p.returncode for p in both) or len(here) != told.runs:
        print("a side failed")
        return 2
    other = [a for a, b in zip(here, there, strict=True) if a != b]
    calls = sum(int(line.split()[-1]) for line in here)
    print(f"{len(here)} runs, {calls} calls: {len(other)} differ")
    for line in other[:5]:
        print("  " + " ".join(line.split()[:2]))
    return 1 if other else 0


if __name__ == "__main__":
    sys.exit(main())
