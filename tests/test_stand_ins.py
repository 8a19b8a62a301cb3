"""The stand-in storage node as a machine, what it stores, and what the stand-in list tells when."""

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

INF = float("inf")


def machine(warm: bool = True, **more: object) -> Machine:
    kind = KindBlock(**{"cores": 1, "unit_work": 10.0, "noise": 0.0, "flush": 1e7, **more})
    return Machine(kind, RulesBlock(fall_multiple=2.0, fall_window=1000.0, most_units=4.0), random.Random(1), 0.0, warm)


def job(units: float = 1.0, extent: str = "x", write: bool = False, until: float = INF, attempt: int = 0) -> Job:
    return Job(object(), units, write, extent, attempt, until)


def run(m: Machine, until: float) -> list[tuple[float, Job]]:
    ended = []
    m.start_queued(m.now_ms)
    while (at := m.next_event_ms()) <= until:
        ended += [(m.now_ms, j) for j in m.advance(at)]
    m.advance(until)
    return ended


def test_jobs_run_in_turn_at_the_machines_speed() -> None:
    m = machine(speed=(2.0, 2.0))
    jobs = [job(2.0, f"x{i}") for i in range(3)]
    assert all(m.submit(0.0, j) for j in jobs)
    assert [(round(t), j) for t, j in run(m, 100.0)] == [(10, jobs[0]), (20, jobs[1]), (30, jobs[2])]


def test_a_remembered_extent_costs_less_at_its_first_attempt_only() -> None:
    m = machine(seek=0.5, remembers=1)
    works = []
    for j in (job(), job(), job(attempt=1), job(extent="y"), job()):
        m.submit(0.0, j)
        works.append(j.work_ms)
    assert works == [10.0, 5.0, 10.0, 10.0, 10.0]


def test_a_full_queue_turns_away_and_what_is_out_of_time_is_not_begun() -> None:
    m = machine(queue=2)
    first, second, late, refused = job(4.0), job(1.0, "b"), job(1.0, "c", until=45.0), job(1.0, "d")
    assert [m.submit(0.0, j) for j in (first, second, late, refused)] == [True, True, True, False]
    assert [j for _, j in run(m, 200.0)] == [first, second] and not late.has_started


def test_recalled_work_is_dropped_while_it_waits_and_goes_on_while_it_runs() -> None:
    m = machine()
    running, waiting = job(2.0), job(2.0, "y")
    m.submit(0.0, running)
    m.start_queued(0.0)
    m.submit(0.0, waiting)
    running.is_cancelled = True
    waiting.is_cancelled = True
    assert [j for _, j in run(m, 200.0)] == [running]


def test_put_off_work_is_done_at_the_flush() -> None:
    m = machine(defer=0.5, flush=100.0)
    m.next_flush_ms = 100.0
    m.submit(0.0, job(4.0, write=True))
    assert [round(t) for t, _ in run(m, 99.0)] == [20]
    m.advance(100.0)
    m.submit(100.0, job(1.0, "y"))
    assert [round(t) for t, _ in run(m, 200.0)] == [130]  # behind 20 ms that were put off


def test_troubles_slow_pause_and_stop_the_machine_and_end() -> None:
    m = machine()
    m.set_faults(0.0, MachineFaults(slowdown=4.0))
    m.submit(0.0, job())
    assert [round(t) for t, _ in run(m, 100.0)] == [40]
    m.set_faults(100.0, MachineFaults(is_hung=True))
    m.submit(100.0, job(extent="y"))
    assert run(m, 500.0) == []
    m.set_faults(500.0, MachineFaults())
    assert [round(t) for t, _ in run(m, 600.0)] == [510]
    m.set_faults(600.0, MachineFaults(neighbor_share=0.5, neighbor_period_ms=1e6))
    m.submit(600.0, job(extent="z"))
    assert [round(t) for t, _ in run(m, 700.0)] == [620]


def test_a_cold_machine_warms_and_falls_over_when_pushed() -> None:
    m = machine(warm=False, cold_from=0.5, cold=1000.0, queue=1000)
    assert (m.warm_up_fraction(0.0), m.warm_up_fraction(500.0), m.warm_up_fraction(1000.0)) == (0.5, 0.75, 1.0)
    # 2 x 0.5 x 1000 ms and two largest requests: 1080 ms of work within the window
    for i in range(27):
        assert m.submit(0.0, job(4.0, f"x{i}"))
    assert not m.has_crashed and m.cold_budget.peak_load == pytest.approx(1.0)
    assert not m.submit(0.0, job(1.0, "last")) and m.has_crashed
    assert m.advance(5000.0) == [] and m.next_event_ms() == INF


def test_effects_survive_a_kill_and_a_torn_tail_is_cut(tmp_path: Path) -> None:
    c = Contents(tmp_path)
    c.write(Effect(10.0, "a.0", "v/x", 0, None, b"hello", 0))
    c.write(Effect(20.0, "b.0", "v/x", 3, "label", b"p me", 0))
    c.close()
    path = tmp_path / "effects.journal"
    whole = path.read_bytes()
    path.write_bytes(whole + whole[: len(whole) // 4])  # killed in the middle of a write
    again = Contents(tmp_path)
    assert again.read("v/x", 0, 99) == b"help me" and path.stat().st_size == len(whole)
    assert again.is_applied("label", 25.0, 10.0) and not again.is_applied("label", 31.0, 10.0)
    again.close()
    damaged = bytearray(whole)
    damaged[12] ^= 1
    path.write_bytes(damaged)
    with pytest.raises(JournalError, match="byte 0 is damaged"):
        Contents(tmp_path)


def test_the_list_is_late_and_tells_the_news_of_a_shelf_in_order() -> None:
    r = EndpointRegistry(ListingBlock(add=(100.0, 100.0), notice=(500.0, 500.0), drain=(50.0, 50.0)), random.Random(1))
    r.register(0.0, "a", "h:1", 0, -1.0, True)
    assert [row.state for row in r.publish_due(0.0)] == ["ready"]
    r.remove(10.0, "a")
    r.register(20.0, "a", "h:1", 0, 20.0, False)  # back before the list has told that it went
    assert r.publish_due(509.0) == [] and r.next_due_ms() == 510.0
    assert [(row.state, row.started_ms) for row in r.publish_due(510.0)] == [("gone", -1.0), ("ready", 20.0)]
    r.extra_delay_ms = 1000.0
    r.set_state(600.0, "a", EndpointState.DRAINING)
    assert r.publish_due(1649.0) == [] and [row.state for row in r.publish_due(1650.0)] == ["draining"]
    assert [row.node for row in r.snapshot()] == ["a"]


def test_the_bytes_of_the_journal_stay(tmp_path: Path) -> None:
    """Bytes as a version wrote them that stored effects as tuples."""
    written = bytes.fromhex(
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
    assert path.read_bytes() == written
    assert [entry.effect for entry in read_journal(path)] == effects


CONTROLS = [
    ("slow", {"slow": 4.0}, MachineFaults(slowdown=4.0)),
    ("hang", {}, MachineFaults(is_hung=True)),
    ("neighbour", {"neighbour": 0.5, "neighbour_ms": 20}, MachineFaults(neighbor_share=0.5, neighbor_period_ms=20.0)),
    ("pauses", {"pause_ms": 5, "pause_every_ms": 9.0}, MachineFaults(pause_ms=5.0, pause_interval_ms=9.0)),
    ("fast-errors", {"errors": 0.5}, MachineFaults(error_share=0.5)),
]


def storage_node() -> StorageNodeServer:
    config = Config(kind={"plain": KindBlock()}, shelf={"s1": ShelfBlock()})
    return StorageNodeServer(asyncio.new_event_loop(), lambda: 0.0, config, "s1", None)


@pytest.mark.parametrize(("verb", "values", "faults"), CONTROLS)
def test_each_fault_of_the_machine_begins_and_ends(verb: str, values: dict[str, Any], faults: MachineFaults) -> None:
    node = storage_node()
    assert node.control(verb, values) == "done" and node.machine.faults == faults
    assert node.control(verb, {"off": 1}) == "done" and node.machine.faults == MachineFaults()
    node.loop.close()


def test_network_faults_draining_and_statistics_are_controlled_and_nonsense_is_an_error() -> None:
    node = storage_node()
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
