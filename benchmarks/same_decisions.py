"""Whether two checkouts decide alike: the drawn runs of the properties, to the bit.

    python benchmarks/same_decisions.py --saved tests/compatibility/decisions.json [--runs 2000]
    python benchmarks/same_decisions.py --against ../other-checkout [--runs 2000]

Each run's every attempt, recall, answer, wake and call to the list, and at its end all that its heads would remember,
go into a digest; runs are spread over the rules that they are drawn for. For changes that move code and no decision.

Digests are of values by place: names of classes, fields and enum members do not count, so they hold over renames.
`--saved` compares with a file that `--save FILE` wrote; `--against` wants a checkout whose names are these.
"""

from __future__ import annotations

import argparse
import dataclasses
import hashlib
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

HERE = Path(__file__).resolve().parent.parent
RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget", "data")


def positional_values(value: Any) -> Any:
    """Plain values by place. An enum's member is its index; a dict's keys are data, and count with their order."""
    if isinstance(value, Enum):
        return ("member", list(type(value)).index(value))
    if dataclasses.is_dataclass(value):
        return tuple(positional_values(getattr(value, field.name)) for field in dataclasses.fields(value))
    if isinstance(value, msgspec.Struct):
        return tuple(positional_values(part) for part in msgspec.structs.astuple(value))
    if isinstance(value, dict):
        return ("pairs", *((positional_values(key), positional_values(part)) for key, part in value.items()))
    if isinstance(value, list | tuple):
        return tuple(positional_values(part) for part in value)
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return value
    raise TypeError(f"{type(value)} has no values by place")


def run_digests(runs: int) -> Iterator[tuple[str, int, str, int]]:
    """For each run its rule, its seed, what was decided, and how many calls that took."""
    if str(HERE / "tests") not in sys.path:
        sys.path.insert(1, str(HERE / "tests"))
    from random_runs import CONFIG, SLOW_START_CONFIG, random_events
    from simulated_run import SimulatedRun

    class Watched(SimulatedRun):
        def __init__(self, *given: Any) -> None:
            self.said, self.calls = hashlib.sha256(), 0
            super().__init__(*given)

        def _done(self, name: str, life: Any, changes: Any) -> None:
            self.calls += 1
            rows = [(a.id, a.attempts, a.cancellations, a.answer) for a in changes.handles]
            self.note((self.now, name, rows, changes.wake_ms, changes.discovery_calls))
            super()._done(name, life, changes)

        def note(self, what: Any) -> None:
            self.said.update(repr(positional_values(what)).encode())

    for n in range(runs):
        rule, seed = RULES[n % len(RULES)], n // len(RULES)
        world = Watched(SLOW_START_CONFIG if rule == "cold" else CONFIG, seed, rule)
        world.play(random_events(seed, rule))
        for name, life in world.lives.items():
            world.note((name, life.head.snapshot(world.now)))
        yield rule, seed, world.said.hexdigest()[:16], world.calls


def group_by_rule(lines: list[str]) -> dict[str, list[str]]:
    """Printed lines as a saved file has them: for each rule its seeds in order, each a digest and a count of calls."""
    found: dict[str, list[str]] = {rule: [] for rule in RULES}
    for line in lines:
        rule, _, digest, calls = line.split()
        found[rule].append(f"{digest} {calls}")
    return found


def saved_lines(saved: dict[str, list[str]], runs: int) -> list[str]:
    """The other way, as far as it goes."""
    rows = [(seed, n, rule, row) for n, rule in enumerate(RULES) for seed, row in enumerate(saved[rule])]
    return [f"{rule} {seed} {row}" for seed, _, rule, row in sorted(rows)][:runs]


def start(checkout: Path, runs: int) -> subprocess.Popen[str]:
    """A process that prints the lines of a checkout's package."""
    env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-P", __file__, "--digests", "--runs", str(runs)]
    return subprocess.Popen(command, env=env, stdout=subprocess.PIPE, text=True)


def lines_from(process: subprocess.Popen[str], runs: int) -> list[str]:
    lines = process.communicate()[0].splitlines()
    if process.returncode or len(lines) != runs:
        sys.exit("a side failed")
    return lines


def compare(here: list[str], there: list[str]) -> int:
    """Prints how many runs differ, and the first few; the exit status."""
    other = [a for a, b in zip(here, there, strict=True) if a != b]
    calls = sum(int(line.split()[-1]) for line in here)
    print(f"{len(here)} runs, {calls} calls: {len(other)} differ")
    for line in other[:5]:
        print("  " + " ".join(line.split()[:2]))
    return 1 if other else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout")
    parser.add_argument("--saved", type=Path, help="digests that --save wrote")
    parser.add_argument("--save", type=Path, help="write this checkout's")
    parser.add_argument("--runs", type=int, default=2_000)
    parser.add_argument("--digests", action="store_true", help="print this checkout's own")
    options = parser.parse_args()
    if options.digests:
        for row in run_digests(options.runs):
            print(*row)
        return 0
    if options.save is not None:
        rows = group_by_rule([" ".join(map(str, row)) for row in run_digests(options.runs)])
        options.save.write_text(json.dumps(rows, indent=0) + "\n")
        return 0
    if options.saved is not None:
        expected = saved_lines(json.loads(options.saved.read_text()), options.runs)
        return compare(lines_from(start(HERE, len(expected)), len(expected)), expected)
    if options.against is None or not (options.against / "pebblehinge").is_dir():
        parser.error("--saved wants a file, or --against another checkout of this project")
    both = [start(HERE, options.runs), start(options.against.resolve(), options.runs)]
    return compare(*(lines_from(process, options.runs) for process in both))


if __name__ == "__main__":
    sys.exit(main())
