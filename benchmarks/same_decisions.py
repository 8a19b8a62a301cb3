"""Checks that two checkouts make the same scheduling decisions, to the bit, in the random runs of the property tests.

    python benchmarks/same_decisions.py --saved tests/compatibility/decisions.json [--runs 2000]
    python benchmarks/same_decisions.py --against ../other-checkout [--runs 2000]

Use it for changes that move code but must change no decision. The digest of a run covers each attempt, cancellation,
answer, wake-up and call to discovery, and at its end the snapshots of its gateways. The runs are spread evenly over the
rules that they are made for.

Digests are of values by position: names of classes, fields and enum members do not count, so renames don't change
them. `--saved` compares with a file that `--save FILE` wrote; `--against` needs a checkout with the same names as this
one.
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

CHECKOUT = Path(__file__).resolve().parent.parent
RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget", "data")


def positional_values(value: Any) -> Any:
    """Returns a value as plain values by position.

    An enum's member counts as its index. The keys of a dict are data and count, with their order.
    """
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
    raise TypeError(f"{type(value)} cannot be turned into positional values")


def run_digests(run_count: int) -> Iterator[tuple[str, int, str, int]]:
    """Plays runs; yields the rule, the seed, the digest and the number of scheduler calls of each."""
    if str(CHECKOUT / "tests") not in sys.path:
        sys.path.insert(1, str(CHECKOUT / "tests"))
    from random_runs import CONFIG, SLOW_START_CONFIG, random_events
    from simulated_run import SimulatedRun

    class DigestedRun(SimulatedRun):
        def __init__(self, *arguments: Any) -> None:
            self.digest, self.call_count = hashlib.sha256(), 0
            super().__init__(*arguments)

        def _apply_changes(self, name: str, incarnation: Any, changes: Any) -> None:
            self.call_count += 1
            rows = [
                (request.id, request.attempts, request.cancellations, request.answer) for request in changes.handles
            ]
            self.update_digest((self.now, name, rows, changes.wake_ms, changes.discovery_calls))
            super()._apply_changes(name, incarnation, changes)

        def update_digest(self, value: Any) -> None:
            self.digest.update(repr(positional_values(value)).encode())

    for n in range(run_count):
        rule, seed = RULES[n % len(RULES)], n // len(RULES)
        run = DigestedRun(SLOW_START_CONFIG if rule == "cold" else CONFIG, seed, rule)
        run.play(random_events(seed, rule))
        for name, incarnation in run.incarnations.items():
            run.update_digest((name, incarnation.scheduler.snapshot(run.now)))
        yield rule, seed, run.digest.hexdigest()[:16], run.call_count


def group_by_rule(lines: list[str]) -> dict[str, list[str]]:
    """Returns printed lines in the form of a saved file: for each rule, by seed, the digest and the number of calls."""
    rows: dict[str, list[str]] = {rule: [] for rule in RULES}
    for line in lines:
        rule, _, digest, call_count = line.split()
        rows[rule].append(f"{digest} {call_count}")
    return rows


def saved_lines(saved: dict[str, list[str]], run_count: int) -> list[str]:
    """Returns the content of a saved file as printed lines, of at most so many runs."""
    rows = [(seed, n, rule, row) for n, rule in enumerate(RULES) for seed, row in enumerate(saved[rule])]
    return [f"{rule} {seed} {row}" for seed, _, rule, row in sorted(rows)][:run_count]


def start(checkout: Path, run_count: int) -> subprocess.Popen[str]:
    """Starts a process that prints the digests of a checkout."""
    env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-P", __file__, "--digests", "--runs", str(run_count)]
    return subprocess.Popen(command, env=env, stdout=subprocess.PIPE, text=True)


def read_lines(process: subprocess.Popen[str], run_count: int) -> list[str]:
    """Returns what a process that `start` started has printed; exits if it failed."""
    lines = process.communicate()[0].splitlines()
    if process.returncode or len(lines) != run_count:
        sys.exit("the process that computes a checkout's digests failed")
    return lines


def compare(actual: list[str], expected: list[str]) -> int:
    """Prints how many runs differ, and the first five of them; returns the exit status."""
    differing = [ours for ours, theirs in zip(actual, expected, strict=True) if ours != theirs]
    call_count = sum(int(line.split()[-1]) for line in actual)
    print(f"{len(actual)} runs, {call_count} calls: {len(differing)} differ")
    for line in differing[:5]:
        print("  " + " ".join(line.split()[:2]))
    return 1 if differing else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout to compare with")
    parser.add_argument("--saved", type=Path, help="file of digests that --save wrote, to compare with")
    parser.add_argument("--save", type=Path, help="file to write the digests of this checkout to")
    parser.add_argument("--runs", type=int, default=2_000)
    parser.add_argument("--digests", action="store_true", help="print the digests of this checkout")
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
        return compare(read_lines(start(CHECKOUT, len(expected)), len(expected)), expected)
    if options.against is None or not (options.against / "pebblehinge").is_dir():
        parser.error("--saved needs a file, or --against another checkout of this project")
    processes = [start(CHECKOUT, options.runs), start(options.against.resolve(), options.runs)]
    return compare(*(read_lines(process, options.runs) for process in processes))


if __name__ == "__main__":
    sys.exit(main())
