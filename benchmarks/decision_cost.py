"""Measures the time of single decisions and the memory of the decision module, at 40 and 400 storage nodes.

    python benchmarks/decision_cost.py [--against ../other-checkout]

Calls the module directly, without sockets. Times depend on the machine and its load; the ratios are the result. With
--against only whole requests are timed, in turns with another checkout's module and in a new process each time;
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


def endpoint_entries(node_count: int, first_number: int = 0) -> list[EndpointEntry]:
    return [EndpointEntry(f"s{first_number + index}", EndpointState.READY, index, 0.0) for index in range(node_count)]


def scheduler_with_nodes(node_count: int) -> Scheduler:
    scheduler = Scheduler(SETTINGS, 1, 0.0)
    scheduler.apply_endpoint_list(0.0, ListKind.WHOLE, endpoint_entries(node_count))
    return scheduler


def submit_request(scheduler: Scheduler, now: float, n: int, slot: int, plan: str = "g") -> Request:
    return scheduler.submit(now, n, f"x{n % 3000}", "p", plan, f"v{n % 500}", 2, slot, 2.0, now + 90_000.0)[0]


def time_call(call: Callable[[], Any], times_us: list[float]) -> Any:
    started = time.perf_counter_ns()
    result = call()
    times_us.append((time.perf_counter_ns() - started) / 1000.0)
    return result


def median_and_p99(times_us: list[float]) -> tuple[float, float]:
    return statistics.median(times_us), sorted(times_us)[int(0.99 * len(times_us))]


def slot_release_times(node_count: int, queued_count: int) -> tuple[float, float]:
    """Times the end of an attempt at a node with queued requests, including the next dispatch; median and p99, us."""
    scheduler, now, times_us = scheduler_with_nodes(node_count), 0.0, []
    for n in range(node_count * 8):
        submit_request(scheduler, now, n, n % node_count)
    for n in range(queued_count + 4):
        submit_request(scheduler, now, n + 7, 0)
    for n in range(ROUNDS):
        now += 0.05
        while len(scheduler.nodes.queues[0]) < queued_count:
            submit_request(scheduler, now, n + 11, 0)
        request = scheduler.nodes.in_flight[0][0]
        time_call(
            lambda r=request, t=now: r.on_attempt_end(t, r.attempt_count - 1, Outcome.SUCCEEDED, True, 5.0), times_us
        )
    return median_and_p99(times_us)


def list_change_times(node_count: int) -> tuple[float, float]:
    """Times the change of one entry of the endpoint list; median and p99, us."""
    scheduler, times_us, now = scheduler_with_nodes(node_count), [], 0.0
    for n in range(ROUNDS // 4):
        now += 10.0
        state = EndpointState.DRAINING if n % 2 else EndpointState.READY
        changed_entries = [EndpointEntry("s3", state, 3, 0.0)]
        time_call(lambda t=now, r=changed_entries: scheduler.apply_endpoint_list(t, ListKind.CHANGES, r), times_us)
    return median_and_p99(times_us)


def placement_times(node_count: int) -> tuple[float, float]:
    """Times the choice of a node for a new object; median and p99, us."""
    scheduler, times_us = scheduler_with_nodes(node_count), []
    for _ in range(ROUNDS):
        time_call(scheduler.nodes.pick_for_new_object, times_us)
    return median_and_p99(times_us)


def memory_kib(node_count: int, extent_count: int, volume_count: int) -> dict[str, float]:
    """Returns the growth of memory that tracemalloc traces for nodes, volumes and extents, in KiB."""
    tracemalloc.start()
    kib_by_purpose, scheduler, previous_bytes = {}, Scheduler(SETTINGS, 1, 0.0), 0
    previous_bytes = tracemalloc.get_traced_memory()[0]

    def record_growth(purpose: str) -> None:
        nonlocal previous_bytes
        now = tracemalloc.get_traced_memory()[0]
        kib_by_purpose[purpose], previous_bytes = (now - previous_bytes) / 1024.0, now

    scheduler.apply_endpoint_list(0.0, ListKind.WHOLE, endpoint_entries(node_count))
    record_growth("shelfs")
    for n in range(volume_count):
        request = scheduler.submit(0.0, n, None, "p", "c", f"v{n}", 2, n % node_count, 2.0, 90_000.0)[0]
        request.on_client_disconnect(0.0)
        request.on_attempt_end(0.0, 0, Outcome.CANCELLED, True, 1.0)
    record_growth("volumes")
    for n in range(extent_count):
        for time_ms in (1.0, 3.0, 7.0):
            request = scheduler.submit(time_ms + n, n, f"x{n}", "p", "g", "v0", 2, n % node_count, 2.0, 90_000.0)[0]
            request.on_attempt_end(time_ms + n + 0.5, 0, Outcome.SUCCEEDED, True, 0.5)
    scheduler.on_wake_up(1e6)
    record_growth("extents")
    tracemalloc.stop()
    return kib_by_purpose


def tables_after_churn(name_count: int, node_count: int = 40) -> dict[str, int]:
    """Returns the sizes of the tables after so many node names have appeared and disappeared."""
    scheduler, now = Scheduler(SETTINGS, 1, 0.0), 0.0
    for n in range(name_count // node_count):
        now += 1000.0
        scheduler.apply_endpoint_list(now, ListKind.WHOLE, endpoint_entries(node_count, n * node_count))
        for slot in range(node_count):
            request = submit_request(scheduler, now, n, slot)
            request.on_attempt_end(now + 1.0, 0, Outcome.SUCCEEDED, True, 1.0)
        scheduler.on_wake_up(now + 900.0)
    return {
        "columns": len(scheduler.nodes.names),
        "names": len(scheduler.nodes.index),
        "wakes": len(scheduler.change_set.wake_ups),
    }


def request_time_us(node_count: int = 40, requests: int = 20_000, queued_count: int = 12) -> float:
    """Returns the time per request from submission to end, in us; two thirds of the nodes have queued requests."""
    scheduler, rng, now, sent_requests = scheduler_with_nodes(node_count), random.Random(1), 0.0, []
    scheduler.start(now)
    started = time.perf_counter()
    for n in range(requests):
        now += 0.05
        plan = "c" if n % 5 == 0 else "g"
        slot = rng.randrange(node_count)
        request, changes = scheduler.submit(
            now, n, f"x{n % 3000}", "p", plan, f"v{n % 500}", 2, slot, 2.0, now + 90_000.0
        )
        while True:
            sent_requests += [handle for handle in changes.handles if handle.drain()[0]]
            if len(sent_requests) <= node_count * 2 + queued_count * node_count // 3:
                break
            ended_request = sent_requests.pop(rng.randrange(len(sent_requests)))
            outcome = Outcome.SUCCEEDED if n % 50 else Outcome.SERVER_ERROR
            changes = ended_request.on_attempt_end(
                now, ended_request.attempt_count - 1, outcome, outcome is Outcome.SUCCEEDED, now - ended_request.sent_ms
            )
        if changes.wake_ms is not None and changes.wake_ms <= now:
            scheduler.on_wake_up(now)
    return (time.perf_counter() - started) / requests * 1e6


def compare_checkouts(other: Path) -> None:
    """Runs both checkouts in pairs, in alternating order; prints the median of the pairs' ratios."""
    checkouts = (Path(__file__).resolve().parent.parent, other.resolve())
    scripts = {checkout: next(checkout.glob("benchmarks/**/decision_cost.py")) for checkout in checkouts}
    rows: list[tuple[float, ...]] = []
    for n in range(15):
        pair = {}
        for checkout in checkouts if n % 2 else checkouts[::-1]:
            env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1"}
            command = [sys.executable, "-P", str(scripts[checkout]), "--way"]
            process = subprocess.run(command, env=env, capture_output=True, check=True)
            pair[checkout] = float(process.stdout)
        rows.append(tuple(pair[checkout] for checkout in checkouts))
    ratios = sorted(here / there for here, there in rows)
    here_us, there_us = (statistics.median(column) for column in zip(*rows, strict=True))
    print(f"time of a request: {here_us:.2f} us here, {there_us:.2f} us there; ratio of {len(rows)} pairs: "
          f"median {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path)
    parser.add_argument("--way", action="store_true", help="print only the time of a request, us")
    options = parser.parse_args()
    if options.way:
        print(min(request_time_us() for _ in range(3)))
        return
    if options.against is not None:
        compare_checkouts(options.against)
        return
    print("| | 40 shelfs, us | 400 shelfs, us | ratio | p99 40 | p99 400 |\n| --- | --- | --- | --- | --- | --- |")
    for operation, call in (
        ("a slot frees, 10 held", lambda n: slot_release_times(n, 10)),
        ("a slot frees, 100 held", lambda n: slot_release_times(n, 100)),
        ("one entry of the list changes", list_change_times), ("a new object is placed", placement_times),
    ):  # fmt: skip
        rows = [call(n) for n in (40, 400, 40, 400, 40, 400)]
        small, large = min(rows[0::2]), min(rows[1::2])
        print(
            f"| {operation} | {small[0]:.1f} | {large[0]:.1f} | {large[0] / small[0]:.2f} "
            f"| {small[1]:.1f} | {large[1]:.1f} |"
        )
    small, large = memory_kib(40, 400, 40), memory_kib(400, 4000, 400)
    print("\n| held for | 40 shelfs, 400 extents, 40 volumes, KiB | ten times that, KiB | ratio |")
    print("| --- | --- | --- | --- |")
    for purpose in small:
        print(
            f"| {purpose} | {small[purpose]:.0f} | {large[purpose]:.0f} "
            f"| {large[purpose] / max(1e-9, small[purpose]):.1f} |"
        )
    print(f"\nAfter 400 names: {tables_after_churn(400)}; after 4,000: {tables_after_churn(4_000)}.")


if __name__ == "__main__":
    main()
