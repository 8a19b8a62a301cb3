"""A running head that buffers writes: confirmed, read back, landed, refused, and killed."""

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

BUFFERED = """
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


class OnDisk:
    """What a head is given: a disk in memory, and syncs that a test may hold up or fail."""

    def __init__(self) -> None:
        self.disk = FaultyDisk(random.Random(1))
        self.hold: asyncio.Future[None] | None = None
        self.fail = False

    async def lasts(self, batch: Batch) -> None:
        self.disk.append(batch.file_name, batch.data)
        if self.hold is not None:
            await self.hold
        if self.fail:
            raise OSError(28, "No space left on device")
        self.disk.sync(batch.file_name)


async def buffered(rig: Rig, disk: OnDisk) -> WriteBack:
    """Starts the rig's head anew, with a journal."""
    from pebblehinge.gateway import GatewayServer
    from pebblehinge.lab.village import Quiet

    rig.kill_gateway()
    await asyncio.sleep(0.02)
    rig.gateway = GatewayServer(rig.loop, rig.clock, rig.config, "h1", Quiet())
    rig.gateway.enable_write_back(disk.disk, disk.lasts)
    await rig.gateway.start()
    await until(lambda: len(rig.gateway.core.scheduler.nodes.node_at_slot) == len(rig.nodes))
    assert rig.gateway.write_back is not None
    return rig.gateway.write_back


WHERE = {"profile": "save", "slot": 0, "units": 1.0, "patience_ms": 1000.0}


def test_a_time_that_is_no_number_is_refused_at_the_door_and_the_connection_goes_on() -> None:
    """Seen: it cut the connection with all that was open on it, buffered or not."""

    async def script(rig: Rig) -> None:
        await buffered(rig, OnDisk())
        client, seen = await rig.client(), []
        client.observer = lambda event, **values: seen.append((event, values.get("id"), values.get("final")))
        for n, (volume, left) in enumerate([("b", math.inf), ("b", math.nan), ("v", math.inf), ("v", math.nan)]):
            rest = (None, "save", "x", 0, 1.0, left, None, None, 1, 0, 1, b"1")
            client.send(Kind.TAKE, 900 + n, f"t{n}", volume, *rest)
        await until(lambda: len(seen) == 4)
        assert seen == [("extra", str(900 + n), "pushed back") for n in range(4)]
        assert (await client.write("b", "x", b"hello", **WHERE)).succeeded

    run_with_rig(script, BUFFERED)


def test_a_write_is_confirmed_from_the_journal_and_read_back_before_it_lands() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        back = await buffered(rig, disk)
        rig.nodes[0].on_attempt = lambda attempt: None  # takes, never answers
        client = await rig.client()
        got = await client.write("b", "x", b"hello", **WHERE)
        assert got.succeeded
        assert (await client.read("b", "x", 5, **WHERE)).data == b"hello"
        assert (await client.barrier("b", profile="save", patience_ms=500.0)).succeeded
        got = await client.flush_volume("b", profile="save", patience_ms=300.0)
        assert got.final == "terminated"  # it does not stand there, and is not said to
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer(0, b"" if attempt.op else b"other")
        await until(lambda: not len(back.dirty), 8.0)
        assert (await client.flush_volume("b", profile="save", patience_ms=300.0)).succeeded
        landed = [t for t in rig.nodes[0].attempts if t.op == 1]
        assert landed[-1].data == b"hello" and landed[-1].label.startswith("wb.")

    run_with_rig(script, BUFFERED)


def test_a_disk_that_fails_confirms_nothing_and_the_head_says_so() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        await buffered(rig, disk)
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **WHERE)).succeeded
        disk.fail = True
        got = await client.write("b", "y", b"2", **WHERE)
        assert got.final == "terminated" and "No space left" in got.reason
        disk.fail = False
        got = await client.write("b", "z", b"3", **WHERE)
        assert got.final == "pushed back" and "buffers no more" in got.reason
        assert (await client.write("v", "q", b"4", **WHERE)).succeeded  # other volumes go on

    run_with_rig(script, BUFFERED)


def test_a_sync_that_takes_longer_than_its_client_waits_is_not_claimed() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        await buffered(rig, disk)
        disk.hold = rig.loop.create_future()
        client = await rig.client()
        got = await client.write("b", "x", b"1", **{**WHERE, "patience_ms": 200.0})
        assert got.final == "terminated" and got.took_ms < 250.0
        disk.hold.set_result(None)
        disk.hold = None
        await asyncio.sleep(0.05)
        assert client.open_requests == {} and (await client.write("b", "y", b"2", **WHERE)).succeeded

    run_with_rig(script, BUFFERED)


def test_a_full_buffer_refuses_and_a_stop_brings_all_to_the_shelfs() -> None:
    async def script(rig: Rig) -> None:
        back = await buffered(rig, OnDisk())
        rig.nodes[0].on_attempt = lambda attempt: None
        client = await rig.client()
        ends = [await client.write("b", f"x{n}", b"z" * 20_000, **WHERE) for n in range(5)]
        assert [e.final for e in ends] == ["honoured"] * 3 + ["pushed back"] * 2
        assert "wait for their shelfs" in ends[-1].reason
        assert len(back.dirty) == 3
        rig.gateway.stop("the test says so")
        rig.loop.call_later(0.2, lambda: [attempt.answer() for attempt in rig.nodes[0].attempts])
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer()
        began = rig.clock()
        await asyncio.wait_for(rig.gateway.stopped, 8.0)
        assert not len(back.dirty) and not back.write_back_runner.written_back_numbers
        assert rig.clock() - began < 2000.0  # once all is noted it ends, and not with its grace

    run_with_rig(script, BUFFERED)


def test_a_write_that_was_buffered_before_its_plan_changed_lands_by_the_new_one() -> None:
    async def script(rig: Rig) -> None:
        back = await buffered(rig, OnDisk())
        rig.nodes[0].on_attempt = lambda attempt: None
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **WHERE)).succeeded
        new = make_config(BUFFERED.replace("volume b {\n    plan gold", "volume b {\n    plan capped"), FLEET)
        rig.gateway.apply_config(new)
        for attempt in rig.nodes[0].attempts:
            attempt.answer()
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer()
        ends = [await client.write("b", f"y{n}", b"2", **WHERE) for n in range(30)]
        assert all(e.succeeded for e in ends)  # confirming costs no units
        began = rig.clock()
        await until(lambda: not len(back.dirty), 10.0)
        # Ten units a second and a store that began empty: each write-back was counted there, once.
        assert rig.clock() - began > 1500.0
        assert len([t for t in rig.nodes[0].attempts if t.op == 1]) == 31

    run_with_rig(script, BUFFERED)


def test_settings_of_buffered_volumes_are_checked() -> None:
    bad = BUFFERED.replace("back bring", "back save\n    heads 2")
    with pytest.raises(SettingsError) as raised:
        make_config(bad, FLEET)
    assert "is buffered, back 'save'" in str(raised.value) and "through 2 heads" in str(raised.value)
