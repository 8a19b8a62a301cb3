"""A gateway with write-back on sockets: confirmation, reads of dirty data, write-back, rejections, shutdown."""

from __future__ import annotations

import asyncio
import math
import random

import pytest
from helpers import FLEET, Rig, make_config, run_with_rig, until

from pebblehinge.gateway.write_back import WriteBack
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.settings import SettingsError
from pebblehinge.store.journal import Batch
from pebblehinge.wire import Kind

BUFFERED_SETTINGS = """
profile bring {
    importance 1
    expected 400ms
    patience 2s
    repeat labelled
    group all
    window 5s
}
volume b {
    plan gold
    slots 0 1
    save buffered
    back bring
}
buffer {
    delay 5ms
    most 64KiB
    patience 1s
    stop 6s
}
"""


class ControlledDisk:
    """A simulated disk of a gateway, whose syncs a test may delay or fail.

    Attributes:
        disk: The simulated disk.
        sync_gate: Future for which each sync waits, None for no delay.
        fail: Whether syncs fail.
    """

    def __init__(self) -> None:
        self.disk = FaultyDisk(random.Random(1))
        self.sync_gate: asyncio.Future[None] | None = None
        self.fail = False

    async def commit(self, batch: Batch) -> None:
        """Appends a batch of the journal and syncs it."""
        self.disk.append(batch.file_name, batch.data)
        if self.sync_gate is not None:
            await self.sync_gate
        if self.fail:
            raise OSError(28, "No space left on device")
        self.disk.sync(batch.file_name)


async def restart_with_write_back(rig: Rig, disk: ControlledDisk) -> WriteBack:
    """Restarts the rig's gateway with a journal."""
    from pebblehinge.gateway import GatewayServer
    from pebblehinge.lab.simulated_fleet import WarningLog

    rig.kill_gateway()
    await asyncio.sleep(0.02)
    rig.gateway = GatewayServer(rig.loop, rig.clock, rig.config, "h1", WarningLog())
    rig.gateway.enable_write_back(disk.disk, disk.commit)
    await rig.gateway.start()
    await until(lambda: len(rig.gateway.core.scheduler.nodes.node_at_slot) == len(rig.nodes))
    assert rig.gateway.write_back is not None
    return rig.gateway.write_back


SAVE_OPTIONS = {"profile": "save", "slot": 0, "units": 1.0, "patience_ms": 1000.0}


def test_request_with_a_non_finite_timeout_is_rejected_and_the_connection_stays_open() -> None:
    """Such a timeout used to end the connection and all requests open on it, buffered or not."""

    async def script(rig: Rig) -> None:
        await restart_with_write_back(rig, ControlledDisk())
        client, events = await rig.client(), []
        client.observer = lambda event, **values: events.append((event, values.get("id"), values.get("final")))
        for n, (volume, timeout_ms) in enumerate([("b", math.inf), ("b", math.nan), ("v", math.inf), ("v", math.nan)]):
            other_fields = (None, "save", "x", 0, 1.0, timeout_ms, None, None, 1, 0, 1, b"1")
            client.send(Kind.TAKE, 900 + n, f"t{n}", volume, *other_fields)
        await until(lambda: len(events) == 4)
        assert events == [("extra", str(900 + n), "pushed back") for n in range(4)]
        assert (await client.write("b", "x", b"hello", **SAVE_OPTIONS)).succeeded

    run_with_rig(script, BUFFERED_SETTINGS)


def test_buffered_write_is_confirmed_and_can_be_read_before_it_is_written_back() -> None:
    async def script(rig: Rig) -> None:
        disk = ControlledDisk()
        write_back = await restart_with_write_back(rig, disk)
        rig.nodes[0].on_attempt = lambda attempt: None  # receives attempts, but never answers
        client = await rig.client()
        result = await client.write("b", "x", b"hello", **SAVE_OPTIONS)
        assert result.succeeded
        assert (await client.read("b", "x", 5, **SAVE_OPTIONS)).data == b"hello"
        assert (await client.barrier("b", profile="save", patience_ms=500.0)).succeeded
        result = await client.flush_volume("b", profile="save", patience_ms=300.0)
        assert result.final == "terminated"  # the storage node does not hold the write, so the flush does not succeed
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer(0, b"" if attempt.op else b"other")
        await until(lambda: not len(write_back.dirty), 8.0)
        assert (await client.flush_volume("b", profile="save", patience_ms=300.0)).succeeded
        write_attempts = [attempt for attempt in rig.nodes[0].attempts if attempt.op == 1]
        assert write_attempts[-1].data == b"hello" and write_attempts[-1].label.startswith("wb.")

    run_with_rig(script, BUFFERED_SETTINGS)


def test_write_fails_if_its_sync_fails_and_later_writes_are_rejected_with_the_reason() -> None:
    async def script(rig: Rig) -> None:
        disk = ControlledDisk()
        await restart_with_write_back(rig, disk)
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **SAVE_OPTIONS)).succeeded
        disk.fail = True
        result = await client.write("b", "y", b"2", **SAVE_OPTIONS)
        assert result.final == "terminated" and "No space left" in result.reason
        disk.fail = False
        result = await client.write("b", "z", b"3", **SAVE_OPTIONS)
        assert result.final == "pushed back" and "buffers no more" in result.reason
        assert (await client.write("v", "q", b"4", **SAVE_OPTIONS)).succeeded  # other volumes are served as before

    run_with_rig(script, BUFFERED_SETTINGS)


def test_write_fails_if_its_sync_takes_longer_than_its_timeout() -> None:
    async def script(rig: Rig) -> None:
        disk = ControlledDisk()
        await restart_with_write_back(rig, disk)
        disk.sync_gate = rig.loop.create_future()
        client = await rig.client()
        result = await client.write("b", "x", b"1", **{**SAVE_OPTIONS, "patience_ms": 200.0})
        assert result.final == "terminated" and result.took_ms < 250.0
        disk.sync_gate.set_result(None)
        disk.sync_gate = None
        await asyncio.sleep(0.05)
        assert client.open_requests == {} and (await client.write("b", "y", b"2", **SAVE_OPTIONS)).succeeded

    run_with_rig(script, BUFFERED_SETTINGS)


def test_full_buffer_rejects_writes_and_shutdown_writes_all_back() -> None:
    async def script(rig: Rig) -> None:
        write_back = await restart_with_write_back(rig, ControlledDisk())
        rig.nodes[0].on_attempt = lambda attempt: None
        client = await rig.client()
        results = [await client.write("b", f"x{n}", b"z" * 20_000, **SAVE_OPTIONS) for n in range(5)]
        assert [result.final for result in results] == ["honoured"] * 3 + ["pushed back"] * 2
        assert "wait for their shelfs" in results[-1].reason
        assert len(write_back.dirty) == 3
        rig.gateway.stop("stopped by the test")
        rig.loop.call_later(0.2, lambda: [attempt.answer() for attempt in rig.nodes[0].attempts])
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer()
        start_ms = rig.clock()
        await asyncio.wait_for(rig.gateway.stopped, 8.0)
        assert not len(write_back.dirty) and not write_back.write_back_runner.written_back_numbers
        assert rig.clock() - start_ms < 2000.0  # shutdown ends once all is written back, before its limit of 6 s

    run_with_rig(script, BUFFERED_SETTINGS)


def test_write_buffered_before_a_change_of_the_quota_plan_is_written_back_under_the_new_plan() -> None:
    async def script(rig: Rig) -> None:
        write_back = await restart_with_write_back(rig, ControlledDisk())
        rig.nodes[0].on_attempt = lambda attempt: None
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **SAVE_OPTIONS)).succeeded
        new_config = make_config(
            BUFFERED_SETTINGS.replace("volume b {\n    plan gold", "volume b {\n    plan capped"), FLEET
        )
        rig.gateway.apply_config(new_config)
        for attempt in rig.nodes[0].attempts:
            attempt.answer()
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer()
        results = [await client.write("b", f"y{n}", b"2", **SAVE_OPTIONS) for n in range(30)]
        assert all(result.succeeded for result in results)  # a confirmation costs no units
        start_ms = rig.clock()
        await until(lambda: not len(write_back.dirty), 10.0)
        # The plan allows ten units a second and its bucket starts empty; each write-back is charged to it once.
        assert rig.clock() - start_ms > 1500.0
        assert len([attempt for attempt in rig.nodes[0].attempts if attempt.op == 1]) == 31

    run_with_rig(script, BUFFERED_SETTINGS)


def test_invalid_settings_of_a_buffered_volume_are_rejected() -> None:
    invalid_settings = BUFFERED_SETTINGS.replace("back bring", "back save\n    heads 2")
    with pytest.raises(SettingsError) as raised:
        make_config(invalid_settings, FLEET)
    assert "is buffered, back 'save'" in str(raised.value) and "through 2 heads" in str(raised.value)
