"""Tests of snapshots: what a gateway's scheduler has learned, kept over restarts."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from helpers import FLEET, Rig, make_config, run_with_rig, until

from pebblehinge.decide import Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.store import memory
from pebblehinge.store.errors import StorageError


def trained_scheduler(seed: int = 1, now: float = 10_000.0) -> Scheduler:
    """Returns a scheduler that has served requests at two nodes, one of them slow."""
    scheduler = Scheduler(make_config("", FLEET).scheduler_settings(make_config("", FLEET).head["h1"]), seed, 0.0)
    scheduler.start(0.0)
    scheduler.apply_endpoint_list(
        0.0,
        ListKind.WHOLE,
        [EndpointEntry("A", EndpointState.READY, 0, 0.0), EndpointEntry("B", EndpointState.READY, 1, 0.0)],
    )
    for n in range(20):
        for slot in (0, 1):
            time_ms = 100.0 * n + slot
            request, _ = scheduler.submit(
                time_ms, n * 2 + slot, f"x{slot}", "look", "gold", "v", 1, slot, 2.0, time_ms + 2000.0
            )
            for number, attempt in enumerate(request.drain()[0]):
                request.on_attempt_end(time_ms + 20.0 + 60 * slot, number, Outcome.SUCCEEDED, True, 20.0 + 60 * slot)
                assert attempt.node_name in ("A", "B")
    return scheduler


def restored_scheduler(state: Any, age_ms: float, is_complete: bool = False, now: float = 50_000.0) -> Scheduler:
    """Returns a scheduler that was restored from a snapshot's state, with the same two nodes listed."""
    settings_ = make_config("", FLEET)
    scheduler = Scheduler(settings_.scheduler_settings(settings_.head["h1"]), 2, now)
    scheduler.restore(now, state, age_ms, is_complete)
    scheduler.apply_endpoint_list(
        now,
        ListKind.WHOLE,
        [EndpointEntry("A", EndpointState.READY, 0, 0.0), EndpointEntry("B", EndpointState.READY, 1, 0.0)],
    )
    return scheduler


def test_snapshot_counts_less_the_older_it_is() -> None:
    original = trained_scheduler()
    state = original.snapshot(2_100.0)
    restored = restored_scheduler(state, 100.0)
    latencies_ms = {name: restored.nodes.mean_latency(n, 50_000.0) for n, name in enumerate(restored.nodes.names)}
    assert (
        latencies_ms["B"] > 1.5 * latencies_ms["A"] > 0
        and restored.nodes.low_quartile_ms == original.nodes.low_quartile_ms
    )
    schedulers = [restored_scheduler(state, age_ms) for age_ms in (100.0, 3_000.0, 30_000.0, 600_000.0)]
    gaps_ms = [
        abs(scheduler.nodes.mean_latency(0, 50_000.0) - scheduler.nodes.mean_latency(1, 50_000.0))
        for scheduler in schedulers
    ]
    assert gaps_ms == sorted(gaps_ms, reverse=True) and gaps_ms[-1] < 1e-6
    counts = [
        sum(scheduler.dispatcher.extents["x0"].think_time_counts.values())
        if "x0" in scheduler.dispatcher.extents
        else 0.0
        for scheduler in schedulers
    ]
    assert counts == sorted(counts, reverse=True) and counts[0] > 0
    assert (
        schedulers[-1].nodes.low_quartile_ms == 0.0 and schedulers[-1].dispatcher.valuation.mean_value_per_unit == 0.0
    )


def test_tokens_of_a_limit_are_restored_only_from_a_complete_snapshot() -> None:
    state = trained_scheduler().snapshot(2_100.0) | {"limits": {"c": (7.0, 100.0)}}
    assert "c" not in restored_scheduler(state, 1000.0, is_complete=False).dispatcher.valuation.buckets
    scheduler = restored_scheduler(state, 1000.0, is_complete=True)
    assert (
        scheduler.dispatcher.valuation.buckets["c"].limit_tokens == 7.0
        and scheduler.dispatcher.valuation.buckets["c"].filled_until_ms == 48_900.0
    )


def encoded_snapshot(**fields: Any) -> bytes:
    """Returns the content of a snapshot's file, with some fields changed."""
    values = {"gateway": "h1", "settings_hash": "s", "wall_ms": 1e6, "uptime_ms": 5e5, "boot_id": "b", "complete": True}
    return memory.encode(memory.Snapshot(**{**values, **fields}, state=trained_scheduler().snapshot(2_100.0)))


def test_truncated_or_damaged_snapshot_is_rejected() -> None:
    """A snapshot may be torn or damaged at any byte when its gateway is killed while writing it."""
    data = encoded_snapshot()
    assert memory.decode(data).gateway == "h1"
    for size in range(len(data)):
        with pytest.raises(StorageError):
            memory.decode(data[:size])
    for position in range(len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 8
        with pytest.raises(StorageError):
            memory.decode(bytes(damaged))


def test_restore_checks_the_gateway_the_age_and_the_settings() -> None:
    def restore(data: bytes, **changes: Any) -> Any:
        values = {
            "gateway": "h1",
            "settings_hash": "s",
            "wall_ms": 1e6 + 9,
            "uptime_ms": 5e5 + 9,
            "boot_id": "b",
        } | changes
        return memory.restore(data, **values)

    restored = restore(encoded_snapshot())
    assert (restored.age_ms, restored.complete) == (9.0, True)
    # The wall clock was set, but the machine has not restarted.
    assert restore(encoded_snapshot(), wall_ms=9e9).age_ms == 9.0
    restored = restore(encoded_snapshot(), boot_id="c", wall_ms=1e6 + 70)
    assert (restored.age_ms, restored.complete) == (70.0, False)
    restored = restore(encoded_snapshot(), settings_hash="other")
    assert not restored.complete and restored.state["every"][3] == 0.0 and "other settings" in restored.summary
    for changes, reason in [
        ({"boot_id": "c", "wall_ms": 1.0}, "a clock was set"),
        ({"uptime_ms": 9e9}, "minutes old"),
        ({"gateway": "h2"}, "h1's"),
    ]:
        with pytest.raises(StorageError, match=reason):
            restore(encoded_snapshot(), **changes)
    newer = bytearray(encoded_snapshot())
    newer[9] = 7
    with pytest.raises(StorageError, match="format 7"):
        restore(bytes(newer))


def test_gateway_restores_its_snapshot_after_a_restart_and_ignores_a_damaged_one() -> None:
    async def script(rig: Rig) -> None:
        from pebblehinge.gateway import GatewayServer
        from pebblehinge.lab.simulated_fleet import WarningLog

        disk = FaultyDisk(random.Random(1))

        async def start() -> GatewayServer:
            gateway = rig.gateway = GatewayServer(rig.loop, rig.clock, rig.config, "h1", WarningLog())
            gateway.enable_snapshots(disk, lambda: (rig.clock(), rig.clock(), "b"))
            await gateway.start()
            await until(lambda: len(gateway.core.scheduler.nodes.node_at_slot) == len(rig.nodes))
            return gateway

        rig.kill_gateway()
        await asyncio.sleep(0.02)
        gateway = await start()
        rig.nodes[1].on_attempt = lambda attempt: rig.loop.call_later(0.05, attempt.answer) and None
        client = await rig.client()
        for n in range(12):
            await client.write("v", f"x{n}", b"1", profile="look", slot=n % 2, units=1.0, patience_ms=1000.0)
        client.close()
        gateway.stop("the test stops it")
        await asyncio.wait_for(gateway.stopped, 5.0)
        restarted = await start()
        means_ms = dict(
            zip(restarted.core.scheduler.nodes.names, restarted.core.scheduler.nodes.mean_latency_ms, strict=True)
        )
        assert means_ms["s2"] > 3 * means_ms["s1"] > 0
        restarted.stop("the test stops it")
        await asyncio.wait_for(restarted.stopped, 5.0)
        disk.files[memory.SNAPSHOT_FILE][30] ^= 1
        without_snapshot = await start()
        assert (
            not any(without_snapshot.core.scheduler.nodes.mean_latency_ms)
            and without_snapshot.log.lines[0][2]["why"] == "it is damaged"
        )

    run_with_rig(script)
