"""What a head has learned, over its restarts."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from helpers import FLEET, Rig, config, on_rig, until

from pebblehinge.decide import Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.store import memory
from pebblehinge.store.errors import StorageError


def learned(seed: int = 1, now: float = 10_000.0) -> Scheduler:
    """A head that has seen two shelfs, one of them slow."""
    head = Scheduler(config("", FLEET).module_settings(config("", FLEET).head["h1"]), seed, 0.0)
    head.start(0.0)
    head.apply_endpoint_list(
        0.0,
        ListKind.WHOLE,
        [EndpointEntry("A", EndpointState.READY, 0, 0.0), EndpointEntry("B", EndpointState.READY, 1, 0.0)],
    )
    for n in range(20):
        for slot in (0, 1):
            at = 100.0 * n + slot
            request, _ = head.submit(at, n * 2 + slot, f"x{slot}", "look", "gold", "v", 1, slot, 2.0, at + 2000.0)
            for number, attempt in enumerate(request.drain()[0]):
                request.on_attempt_end(at + 20.0 + 60 * slot, number, Outcome.SUCCEEDED, True, 20.0 + 60 * slot)
                assert attempt.node_name in ("A", "B")
    return head


def life(state: Any, age: float, whole: bool = False, now: float = 50_000.0) -> Scheduler:
    settings_ = config("", FLEET)
    head = Scheduler(settings_.module_settings(settings_.head["h1"]), 2, now)
    head.restore(now, state, age, whole)
    head.apply_endpoint_list(
        now,
        ListKind.WHOLE,
        [EndpointEntry("A", EndpointState.READY, 0, 0.0), EndpointEntry("B", EndpointState.READY, 1, 0.0)],
    )
    return head


def test_what_was_learned_counts_less_the_longer_it_lay() -> None:
    old = learned()
    state = old.snapshot(2_100.0)
    fresh_ = life(state, 100.0)
    known = {n: fresh_.nodes.mean_latency(s, 50_000.0) for s, n in enumerate(fresh_.nodes.names)}
    assert known["B"] > 1.5 * known["A"] > 0 and fresh_.nodes.low_quartile_ms == old.nodes.low_quartile_ms
    aged = [life(state, age) for age in (100.0, 3_000.0, 30_000.0, 600_000.0)]
    gaps = [abs(h.nodes.mean_latency(0, 50_000.0) - h.nodes.mean_latency(1, 50_000.0)) for h in aged]
    assert gaps == sorted(gaps, reverse=True) and gaps[-1] < 1e-6
    counts = [
        sum(h.dispatcher.extents["x0"].think_time_counts.values()) if "x0" in h.dispatcher.extents else 0.0
        for h in aged
    ]
    assert counts == sorted(counts, reverse=True) and counts[0] > 0
    assert aged[-1].nodes.low_quartile_ms == 0.0 and aged[-1].dispatcher.valuation.mean_value_per_unit == 0.0


def test_units_of_a_limit_are_known_only_where_nothing_was_sent_since() -> None:
    state = learned().snapshot(2_100.0) | {"limits": {"c": (7.0, 100.0)}}
    assert "c" not in life(state, 1000.0, whole=False).dispatcher.valuation.buckets
    head = life(state, 1000.0, whole=True)
    assert (
        head.dispatcher.valuation.buckets["c"].limit_tokens == 7.0
        and head.dispatcher.valuation.buckets["c"].filled_until_ms == 48_900.0
    )


def snapshot(**more: Any) -> bytes:
    values = {"gateway": "h1", "settings_hash": "s", "wall_ms": 1e6, "uptime_ms": 5e5, "boot_id": "b", "complete": True}
    return memory.encode(memory.Snapshot(**{**values, **more}, state=learned().snapshot(2_100.0)))


def test_a_snapshot_cut_off_or_damaged_anywhere_is_none() -> None:
    """Killed while it was written, at every byte: sound knowledge, or none."""
    data = snapshot()
    assert memory.decode(data).gateway == "h1"
    for kept in range(len(data)):
        with pytest.raises(StorageError):
            memory.decode(data[:kept])
    for at in range(len(data)):
        hurt = bytearray(data)
        hurt[at] ^= 8
        with pytest.raises(StorageError):
            memory.decode(bytes(hurt))


def test_whose_and_how_old_a_snapshot_is() -> None:
    def ask(data: bytes, **more: Any) -> Any:
        values = {
            "gateway": "h1",
            "settings_hash": "s",
            "wall_ms": 1e6 + 9,
            "uptime_ms": 5e5 + 9,
            "boot_id": "b",
        } | more
        return memory.restore(data, **values)

    found = ask(snapshot())
    assert (found.age_ms, found.complete) == (9.0, True)
    assert ask(snapshot(), wall_ms=9e9).age_ms == 9.0  # the wall clock was set, the machine is still up
    found = ask(snapshot(), boot_id="c", wall_ms=1e6 + 70)
    assert (found.age_ms, found.complete) == (70.0, False)
    found = ask(snapshot(), settings_hash="other")
    assert not found.complete and found.state["every"][3] == 0.0 and "other settings" in found.summary
    for more, why in [
        ({"boot_id": "c", "wall_ms": 1.0}, "a clock was set"),
        ({"uptime_ms": 9e9}, "minutes old"),
        ({"gateway": "h2"}, "h1's"),
    ]:
        with pytest.raises(StorageError, match=why):
            ask(snapshot(), **more)
    newer = bytearray(snapshot())
    newer[9] = 7
    with pytest.raises(StorageError, match="format 7"):
        ask(bytes(newer))


def test_a_head_that_stops_and_starts_knows_its_shelfs_and_one_with_a_bad_file_knows_none() -> None:
    async def script(rig: Rig) -> None:
        from pebblehinge.gateway import GatewayServer
        from pebblehinge.lab.village import Quiet

        disk = FaultyDisk(random.Random(1))

        async def start() -> GatewayServer:
            head = rig.head = GatewayServer(rig.loop, rig.clock, rig.config, "h1", Quiet())
            head.enable_snapshots(disk, lambda: (rig.clock(), rig.clock(), "b"))
            await head.start()
            await until(lambda: len(head.core.scheduler.nodes.node_at_slot) == len(rig.shelfs))
            return head

        rig.kill_head()
        await asyncio.sleep(0.02)
        head = await start()
        rig.shelfs[1].does = lambda attempt: rig.loop.call_later(0.05, attempt.answer) and None
        client = await rig.client()
        for n in range(12):
            await client.write("v", f"x{n}", b"1", profile="look", slot=n % 2, units=1.0, patience_ms=1000.0)
        client.close()
        head.stop("the test says so")
        await asyncio.wait_for(head.stopped, 5.0)
        again = await start()
        means = dict(zip(again.core.scheduler.nodes.names, again.core.scheduler.nodes.mean_latency_ms, strict=True))
        assert means["s2"] > 3 * means["s1"] > 0
        again.stop("the test says so")
        await asyncio.wait_for(again.stopped, 5.0)
        disk.files[memory.SNAPSHOT_FILE][30] ^= 1
        none = await start()
        assert not any(none.core.scheduler.nodes.mean_latency_ms) and none.log.lines[0][2]["why"] == "it is damaged"

    on_rig(script)
