"""Stand-ins: the storage node's machine, contents and faults, and the delays of service discovery."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest

from pebblehinge.discovery import EndpointRegistry, EndpointState
from pebblehinge.settings.policy import RulesBlock
from pebblehinge.settings.schema import Config, KindBlock, ListingBlock, ShelfBlock
from pebblehinge.storage_node import StorageNodeServer
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.errors import ControlError, JournalError
from pebblehinge.storage_node.faults import MachineFaults
from pebblehinge.storage_node.job import Job
from pebblehinge.storage_node.journal import Effect, read_journal
from pebblehinge.storage_node.machine import Machine

INFINITE_MS = float("inf")


def make_machine(is_warm: bool = True, **settings: object) -> Machine:
    kind = KindBlock(**{"cores": 1, "unit_work": 10.0, "noise": 0.0, "flush": 1e7, **settings})
    return Machine(
        kind, RulesBlock(fall_multiple=2.0, fall_window=1000.0, most_units=4.0), random.Random(1), 0.0, is_warm
    )


def make_job(
    units: float = 1.0,
    extent: str = "x",
    is_write: bool = False,
    deadline_ms: float = INFINITE_MS,
    attempt_index: int = 0,
) -> Job:
    return Job(object(), units, is_write, extent, attempt_index, deadline_ms)


def run_until(machine: Machine, end_ms: float) -> list[tuple[float, Job]]:
    """Advances a machine event by event; returns the jobs that ended, each with the time of its end."""
    ended_jobs = []
    machine.start_queued(machine.now_ms)
    while (event_ms := machine.next_event_ms()) <= end_ms:
        ended_jobs += [(machine.now_ms, job) for job in machine.advance(event_ms)]
    machine.advance(end_ms)
    return ended_jobs


def test_jobs_run_in_order_at_the_machine_speed() -> None:
    machine = make_machine(speed=(2.0, 2.0))
    jobs = [make_job(2.0, f"x{i}") for i in range(3)]
    assert all(machine.submit(0.0, job) for job in jobs)
    assert [(round(time_ms), job) for time_ms, job in run_until(machine, 100.0)] == [
        (10, jobs[0]),
        (20, jobs[1]),
        (30, jobs[2]),
    ]


def test_cached_extent_costs_less_only_for_a_first_attempt() -> None:
    machine = make_machine(seek=0.5, remembers=1)
    work_ms = []
    for job in (make_job(), make_job(), make_job(attempt_index=1), make_job(extent="y"), make_job()):
        machine.submit(0.0, job)
        work_ms.append(job.work_ms)
    assert work_ms == [10.0, 5.0, 10.0, 10.0, 10.0]


def test_full_queue_rejects_jobs_and_expired_jobs_are_not_started() -> None:
    machine = make_machine(queue=2)
    first, second, expired, rejected = (
        make_job(4.0),
        make_job(1.0, "b"),
        make_job(1.0, "c", deadline_ms=45.0),
        make_job(1.0, "d"),
    )
    assert [machine.submit(0.0, job) for job in (first, second, expired, rejected)] == [True, True, True, False]
    assert [job for _, job in run_until(machine, 200.0)] == [first, second] and not expired.has_started


def test_cancelled_job_is_dropped_if_queued_and_continues_if_running() -> None:
    machine = make_machine()
    running, queued = make_job(2.0), make_job(2.0, "y")
    machine.submit(0.0, running)
    machine.start_queued(0.0)
    machine.submit(0.0, queued)
    running.is_cancelled = True
    queued.is_cancelled = True
    assert [job for _, job in run_until(machine, 200.0)] == [running]


def test_deferred_work_is_done_at_the_flush() -> None:
    machine = make_machine(defer=0.5, flush=100.0)
    machine.next_flush_ms = 100.0
    machine.submit(0.0, make_job(4.0, is_write=True))
    assert [round(t) for t, _ in run_until(machine, 99.0)] == [20]
    machine.advance(100.0)
    machine.submit(100.0, make_job(1.0, "y"))
    assert [round(t) for t, _ in run_until(machine, 200.0)] == [130]  # after 20 ms of deferred work


def test_faults_slow_down_or_stop_the_machine_until_they_end() -> None:
    machine = make_machine()
    machine.set_faults(0.0, MachineFaults(slowdown=4.0))
    machine.submit(0.0, make_job())
    assert [round(t) for t, _ in run_until(machine, 100.0)] == [40]
    machine.set_faults(100.0, MachineFaults(is_hung=True))
    machine.submit(100.0, make_job(extent="y"))
    assert run_until(machine, 500.0) == []
    machine.set_faults(500.0, MachineFaults())
    assert [round(t) for t, _ in run_until(machine, 600.0)] == [510]
    machine.set_faults(600.0, MachineFaults(neighbor_share=0.5, neighbor_period_ms=1e6))
    machine.submit(600.0, make_job(extent="z"))
    assert [round(t) for t, _ in run_until(machine, 700.0)] == [620]


def test_cold_machine_warms_up_and_crashes_under_too_much_work() -> None:
    machine = make_machine(is_warm=False, cold_from=0.5, cold=1000.0, queue=1000)
    assert (machine.warm_up_fraction(0.0), machine.warm_up_fraction(500.0), machine.warm_up_fraction(1000.0)) == (
        0.5,
        0.75,
        1.0,
    )
    # The limit is 2 x 0.5 x 1000 ms and two requests of the largest size: 1080 ms of work within the window.
    for i in range(27):
        assert machine.submit(0.0, make_job(4.0, f"x{i}"))
    assert not machine.has_crashed and machine.cold_budget.peak_load == pytest.approx(1.0)
    assert not machine.submit(0.0, make_job(1.0, "last")) and machine.has_crashed
    assert machine.advance(5000.0) == [] and machine.next_event_ms() == INFINITE_MS


def test_effects_survive_a_kill_and_a_torn_tail_is_truncated(tmp_path: Path) -> None:
    contents = Contents(tmp_path)
    contents.write(Effect(10.0, "a.0", "v/x", 0, None, b"hello", 0))
    contents.write(Effect(20.0, "b.0", "v/x", 3, "label", b"p me", 0))
    contents.close()
    path = tmp_path / "effects.journal"
    valid_bytes = path.read_bytes()
    path.write_bytes(valid_bytes + valid_bytes[: len(valid_bytes) // 4])  # killed during a write
    recovered = Contents(tmp_path)
    assert recovered.read("v/x", 0, 99) == b"help me" and path.stat().st_size == len(valid_bytes)
    assert recovered.is_applied("label", 25.0, 10.0) and not recovered.is_applied("label", 31.0, 10.0)
    recovered.close()
    damaged = bytearray(valid_bytes)
    damaged[12] ^= 1
    path.write_bytes(damaged)
    with pytest.raises(JournalError, match="byte 0 is damaged"):
        Contents(tmp_path)


def test_changes_of_a_storage_node_are_published_late_and_in_order() -> None:
    registry = EndpointRegistry(
        ListingBlock(add=(100.0, 100.0), notice=(500.0, 500.0), drain=(50.0, 50.0)), random.Random(1)
    )
    registry.register(0.0, "a", "h:1", 0, -1.0, True)
    assert [row.state for row in registry.publish_due(0.0)] == ["ready"]
    registry.remove(10.0, "a")
    registry.register(20.0, "a", "h:1", 0, 20.0, False)  # registers again before its end was published
    assert registry.publish_due(509.0) == [] and registry.next_due_ms() == 510.0
    assert [(row.state, row.started_ms) for row in registry.publish_due(510.0)] == [("gone", -1.0), ("ready", 20.0)]
    registry.extra_delay_ms = 1000.0
    registry.set_state(600.0, "a", EndpointState.DRAINING)
    assert registry.publish_due(1649.0) == [] and [row.state for row in registry.publish_due(1650.0)] == ["draining"]
    assert [row.node for row in registry.snapshot()] == ["a"]


def test_journal_format_is_stable(tmp_path: Path) -> None:
    """The bytes were written by a version that stored effects as tuples."""
    stored_bytes = bytes.fromhex(
        "0000001cce31f64497cb4024000000000000a3612e30a3762f7800c0c40568656c6c6f00"
        "0000001edb38aa2297cb4034800000000000a3622e30a3762f7803a36b6579c40470206d6501"
    )
    effects = [
        Effect(10.0, "a.0", "v/x", 0, None, b"hello", 0),
        Effect(20.5, "b.0", "v/x", 3, "key", b"p me", 1),
    ]
    contents = Contents(tmp_path)
    for effect in effects:
        contents.write(effect)
    contents.close()
    path = tmp_path / "effects.journal"
    assert path.read_bytes() == stored_bytes
    assert [entry.effect for entry in read_journal(path)] == effects


MACHINE_FAULT_CASES = [
    ("slow", {"slow": 4.0}, MachineFaults(slowdown=4.0)),
    ("hang", {}, MachineFaults(is_hung=True)),
    ("neighbour", {"neighbour": 0.5, "neighbour_ms": 20}, MachineFaults(neighbor_share=0.5, neighbor_period_ms=20.0)),
    ("pauses", {"pause_ms": 5, "pause_every_ms": 9.0}, MachineFaults(pause_ms=5.0, pause_interval_ms=9.0)),
    ("fast-errors", {"errors": 0.5}, MachineFaults(error_share=0.5)),
]


def make_storage_node() -> StorageNodeServer:
    config = Config(kind={"plain": KindBlock()}, shelf={"s1": ShelfBlock()})
    return StorageNodeServer(asyncio.new_event_loop(), lambda: 0.0, config, "s1", None)


@pytest.mark.parametrize(("verb", "values", "faults"), MACHINE_FAULT_CASES)
def test_machine_fault_starts_and_ends(verb: str, values: dict[str, Any], faults: MachineFaults) -> None:
    node = make_storage_node()
    assert node.control(verb, values) == "done" and node.machine.faults == faults
    assert node.control(verb, {"off": 1}) == "done" and node.machine.faults == MachineFaults()
    node.loop.close()


def test_network_faults_draining_and_statistics_are_controlled_and_invalid_values_raise() -> None:
    node = make_storage_node()
    network = node.requests.network
    for verb in ("resets", "garble", "lost-answers"):
        assert node.control(verb, {"by": 0.25}) == "done"
    assert (network.reset_probability, network.garble_probability, network.response_loss_probability) == (
        0.25,
        0.25,
        0.25,
    )
    assert node.control("garble", {"off": 1}) == "done" and network.garble_probability == 0.0
    assert node.control("drain", {}) == "done" and node.requests.is_draining
    assert node.control("stats", {}) == "effects=0 worst_fill=0.000 fell=0 speed=1.000"
    for verb, values, reason in [
        ("resets", {}, "'by'"),
        ("slow", {"slow": "x"}, "could not convert"),
        ("no", {}, "'no'"),
    ]:
        with pytest.raises(ControlError, match=reason):
            node.control(verb, values)
    node.loop.close()
