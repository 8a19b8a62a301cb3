"""What one decision costs and what the module holds, at forty and four hundred shelfs.

    python benchmarks/decision_cost.py [--against ../other-checkout]

The module alone, with calls and no sockets. Times are of this machine and this hour; the ratios are what counts. With
--against only the way of a request is timed, in turn with another checkout's module, a process each time;
each checkout runs its own copy of this script, so that their names may differ.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import (
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListKind,
    Outcome,
    QuotaPlan,
    RequestClass,
    Settings,
)

SETTINGS = Settings(
    request_classes=(
        RequestClass("p", 1.0, 60_000.0, 90_000.0, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, False),
    ),
    quota_plans=(QuotaPlan("g", 1e6, 1e6, 0.0, 0.0, 0.0, 1.0, 1.0), QuotaPlan("c", 1e6, 0.0, 1e6, 1e6, 0.0, 1.0, 1.0)),
    mean_units=2.0, max_units=6.0, share_value=0.3, excess_value=0.1, must_request_watch=False,
    clients_mark_retries=False, cancellation_allowed=True, max_retry_after_ms=500.0, max_attempts=3,
    clock_resolution_ms=1.0, slow_start_initial_share=0.3, slow_start_duration_ms=10_000.0,
    slow_start_failure_multiple=2.0, order_settle_ms=0.0, retry_budget_share=None, retry_budget_min_retries=0.0,
    retry_budget_window_ms=5_000.0,
)  # fmt: skip
ROUNDS = 2_000


def fleet(count: int, first: int = 0) -> list[EndpointEntry]:
    return [EndpointEntry(f"s{first + i}", EndpointState.READY, i, 0.0) for i in range(count)]


def head_of(count: int) -> Scheduler:
    head = Scheduler(SETTINGS, 1, 0.0)
    head.apply_endpoint_list(0.0, ListKind.WHOLE, fleet(count))
    return head


def take(head: Scheduler, now: float, n: int, slot: int, plan: str = "g") -> Request:
    return head.submit(now, n, f"x{n % 3000}", "p", plan, f"v{n % 500}", 2, slot, 2.0, now + 90_000.0)[0]


def timed(call: Callable[[], Any], into: list[float]) -> Any:
    began = time.perf_counter_ns()
    got = call()
    into.append((time.perf_counter_ns() - began) / 1000.0)
    return got


def told(times: list[float]) -> tuple[float, float]:
    return statistics.median(times), sorted(times)[int(0.99 * len(times))]


def freed(shelfs: int, held: int) -> tuple[float, float]:
    """A slot frees at a shelf with so many requests held: until the next one has left; median and p99, us."""
    head, now, times = head_of(shelfs), 0.0, []
    for n in range(shelfs * 8):
        take(head, now, n, n % shelfs)
    for n in range(held + 4):
        take(head, now, n + 7, 0)
    for n in range(ROUNDS):
        now += 0.05
        while len(head.nodes.queues[0]) < held:
            take(head, now, n + 11, 0)
        out = head.nodes.in_flight[0][0]
        timed(lambda a=out, t=now: a.on_attempt_end(t, a.attempt_count - 1, Outcome.SUCCEEDED, True, 5.0), times)
    return told(times)


def changed(shelfs: int) -> tuple[float, float]:
    """One entry of the list changes."""
    head, times, now = head_of(shelfs), [], 0.0
    for n in range(ROUNDS // 4):
        now += 10.0
        standing = EndpointState.DRAINING if n % 2 else EndpointState.READY
        row = [EndpointEntry("s3", standing, 3, 0.0)]
        timed(lambda t=now, r=row: head.apply_endpoint_list(t, ListKind.CHANGES, r), times)
    return told(times)


def picked(shelfs: int) -> tuple[float, float]:
    """A shelf is drawn for a new object."""
    head, times = head_of(shelfs), []
    for _ in range(ROUNDS):
        timed(head.nodes.pick_for_new_object, times)
    return told(times)


def memory(shelfs: int, extents: int, volumes: int) -> dict[str, float]:
    """KiB by what it is for, as tracemalloc sees it grow."""
    tracemalloc.start()
    found, head, before = {}, Scheduler(SETTINGS, 1, 0.0), 0
    before = tracemalloc.get_traced_memory()[0]

    def note(what: str) -> None:
        nonlocal before
        now = tracemalloc.get_traced_memory()[0]
        found[what], before = (now - before) / 1024.0, now

    head.apply_endpoint_list(0.0, ListKind.WHOLE, fleet(shelfs))
    note("shelfs")
    for n in range(volumes):
        a = head.submit(0.0, n, None, "p", "c", f"v{n}", 2, n % shelfs, 2.0, 90_000.0)[0]
        a.on_client_disconnect(0.0)
        a.on_attempt_end(0.0, 0, Outcome.CANCELLED, True, 1.0)
    note("volumes")
    for n in range(extents):
        for at in (1.0, 3.0, 7.0):
            a = head.submit(at + n, n, f"x{n}", "p", "g", "v0", 2, n % shelfs, 2.0, 90_000.0)[0]
            a.on_attempt_end(at + n + 0.5, 0, Outcome.SUCCEEDED, True, 0.5)
    head.on_wake_up(1e6)
    note("extents")
    tracemalloc.stop()
    return found


def churned(names: int, shelfs: int = 40) -> dict[str, int]:
    """What is held after so many names have come and gone."""
    head, now = Scheduler(SETTINGS, 1, 0.0), 0.0
    for n in range(names // shelfs):
        now += 1000.0
        head.apply_endpoint_list(now, ListKind.WHOLE, fleet(shelfs, n * shelfs))
        for slot in range(shelfs):
            a = take(head, now, n, slot)
            a.on_attempt_end(now + 1.0, 0, Outcome.SUCCEEDED, True, 1.0)
        head.on_wake_up(now + 900.0)
    return {"columns": len(head.nodes.names), "names": len(head.nodes.index), "wakes": len(head.change_set.wake_ups)}


def way(shelfs: int = 40, requests: int = 20_000, held: int = 12) -> float:
    """Whole ways of requests, from the take to the end: us each. Two thirds of the shelfs have a few held."""
    head, rng, now, out = head_of(shelfs), random.Random(1), 0.0, []
    head.start(now)
    began = time.perf_counter()
    for n in range(requests):
        now += 0.05
        plan = "c" if n % 5 == 0 else "g"
        slot = rng.randrange(shelfs)
        a, changes = head.submit(now, n, f"x{n % 3000}", "p", plan, f"v{n % 500}", 2, slot, 2.0, now + 90_000.0)
        while True:
            out += [b for b in changes.handles if b.drain()[0]]
            if len(out) <= shelfs * 2 + held * shelfs // 3:
                break
            b = out.pop(rng.randrange(len(out)))
            outcome = Outcome.SUCCEEDED if n % 50 else Outcome.SERVER_ERROR
            changes = b.on_attempt_end(now, b.attempt_count - 1, outcome, outcome is Outcome.SUCCEEDED, now - b.sent_ms)
        if changes.wake_ms is not None and changes.wake_ms <= now:
            head.on_wake_up(now)
    return (time.perf_counter() - began) / requests * 1e6


def against(other: Path) -> None:
    """Pairs of runs, turn and turn about; the ratio of each pair, the median of all."""
    both = (Path(__file__).resolve().parent.parent, other.resolve())
    scripts = {checkout: next(checkout.glob("benchmarks/**/decision_cost.py")) for checkout in both}
    rows: list[tuple[float, ...]] = []
    for n in range(15):
        pair = {}
        for checkout in both if n % 2 else both[::-1]:
            env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1"}
            command = [sys.executable, "-P", str(scripts[checkout]), "--way"]
            done = subprocess.run(command, env=env, capture_output=True, check=True)
            pair[checkout] = float(done.stdout)
        rows.append(tuple(pair[checkout] for checkout in both))
    ratios = sorted(a / b for a, b in rows)
    here, there = (statistics.median(column) for column in zip(*rows, strict=True))
    print(f"the way of an access: {here:.2f} us here, {there:.2f} us there; ratio of {len(rows)} pairs: "
          f"median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path)
    parser.add_argument("--way", action="store_true", help="print only what the way of an access costs, us")
    told = parser.parse_args()
    if told.way:
        print(min(way() for _ in range(3)))
        return
    if told.against is not None:
        against(told.against)
        return
    print("| | 40 shelfs, us | 400 shelfs, us | ratio | p99 40 | p99 400 |\n| --- | --- | --- | --- | --- | --- |")
    for what, call in (
        ("a slot frees, 10 held", lambda n: freed(n, 10)), ("a slot frees, 100 held", lambda n: freed(n, 100)),
        ("one entry of the list changes", changed), ("a new object is placed", picked),
    ):  # fmt: skip
        rows = [call(n) for n in (40, 400, 40, 400, 40, 400)]
        few, many = min(rows[0::2]), min(rows[1::2])
        print(f"| {what} | {few[0]:.1f} | {many[0]:.1f} | {many[0] / few[0]:.2f} | {few[1]:.1f} | {many[1]:.1f} |")
    few, many = memory(40, 400, 40), memory(400, 4000, 400)
    print("\n| held for | 40 shelfs, 400 extents, 40 volumes, KiB | ten times that, KiB | ratio |")
    print("| --- | --- | --- | --- |")
    for what in few:
        print(f"| {what} | {few[what]:.0f} | {many[what]:.0f} | {many[what] / max(1e-9, few[what]):.1f} |")
    print(f"\nAfter 400 names: {churned(400)}; after 4,000: {churned(4_000)}.")


if __name__ == "__main__":
    main()
