"""Virtual time and its network in memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from pebblehinge.lab.virtual import HIGH_WATER_BYTES, VirtualLoop


class Echo(asyncio.Protocol):
    def __init__(self) -> None:
        self.got, self.lost, self.paused = b"", [], 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data

    def pause_writing(self) -> None:
        self.paused += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)


def in_virtual(script: Callable[[VirtualLoop, Any, Echo, Echo], Any]) -> None:
    loop = VirtualLoop(seed=1)

    async def main() -> None:
        a, b = loop.node("a"), loop.node("b")
        there = Echo()
        await b.create_server(lambda: there, "b", 1)
        _, here = await a.create_connection(Echo, "b", 1)
        await asyncio.sleep(0)
        await script(loop, (a, b), here, there)

    loop.run_until_complete(main())
    loop.close()
    assert not loop.callback_errors, loop.callback_errors


def test_time_passes_at_once_and_bytes_take_their_way() -> None:
    async def script(loop: VirtualLoop, nodes: Any, here: Echo, there: Echo) -> None:
        loop.net.own_link("a", "b").delay_ms = 5000.0
        began = loop.time()
        here.transport.write(b"one")
        here.transport.write(b"two")
        await asyncio.sleep(4.9)
        assert there.got == b""
        await asyncio.sleep(3600.0)
        assert there.got == b"onetwo" and loop.time() - began == pytest.approx(3604.9)

    in_virtual(script)


def test_a_partition_keeps_bytes_until_it_heals_and_one_way_is_one_way() -> None:
    async def script(loop: VirtualLoop, nodes: Any, here: Echo, there: Echo) -> None:
        loop.net.partition(["a"], ["b"], both=False)
        here.transport.write(b"x")
        there.transport.write(b"y")
        await asyncio.sleep(10.0)
        assert (there.got, here.got) == (b"", b"y")
        with pytest.raises(TimeoutError):
            await nodes[0].create_connection(Echo, "b", 1)
        loop.net.heal(["a"], ["b"])
        await asyncio.sleep(1.0)
        assert there.got == b"x"

    in_virtual(script)


def test_a_reset_at_any_byte_delivers_what_went_before() -> None:
    async def script(loop: VirtualLoop, nodes: Any, here: Echo, there: Echo) -> None:
        loop.net.own_link("a", "b").reset_after_bytes = 7
        here.transport.write(b"12345")
        await asyncio.sleep(1.0)
        here.transport.write(b"67890")
        await asyncio.sleep(1.0)
        assert there.got == b"1234567"
        assert [type(e) for e in here.lost + there.lost] == [ConnectionResetError] * 2

    in_virtual(script)


def test_a_reader_that_stops_holds_its_writer_and_a_slow_way_takes_its_time() -> None:
    async def script(loop: VirtualLoop, nodes: Any, here: Echo, there: Echo) -> None:
        there.transport.pause_reading()
        here.transport.write(b"z" * (HIGH_WATER_BYTES + 1))
        await asyncio.sleep(1.0)
        assert here.paused == 1 and there.got == b""
        there.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert len(there.got) == HIGH_WATER_BYTES + 1
        loop.net.own_link("a", "b").rate = 10.0  # bytes a millisecond
        here.transport.write(b"z" * 10_000)
        await asyncio.sleep(0.9)
        assert len(there.got) == HIGH_WATER_BYTES + 1
        await asyncio.sleep(0.2)
        assert len(there.got) == HIGH_WATER_BYTES + 10_001

    in_virtual(script)


def test_a_killed_node_runs_no_further_and_a_frozen_one_later() -> None:
    async def script(loop: VirtualLoop, nodes: Any, here: Echo, there: Echo) -> None:
        ran: list[str] = []
        nodes[1].freeze()
        nodes[1].call_later(1.0, ran.append, "thawed")
        here.transport.write(b"x")
        await asyncio.sleep(2.0)
        assert ran == [] and there.got == b""
        nodes[1].thaw()
        await asyncio.sleep(0.1)
        assert ran == ["thawed"] and there.got == b"x"
        nodes[1].call_later(1.0, ran.append, "dead")
        nodes[1].kill()
        await asyncio.sleep(2.0)
        assert ran == ["thawed"] and there.lost == [] and isinstance(here.lost[0], ConnectionResetError)

    in_virtual(script)
