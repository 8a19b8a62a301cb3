"""Tests of the virtual event loop and the connections of its in-memory network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from pebblehinge.lab.virtual import HIGH_WATER_BYTES, VirtualLoop


class RecordingProtocol(asyncio.Protocol):
    def __init__(self) -> None:
        self.received, self.close_errors, self.pause_count = b"", [], 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def pause_writing(self) -> None:
        self.pause_count += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.close_errors.append(exc)


def run_in_virtual_time(script: Callable[[VirtualLoop, Any, RecordingProtocol, RecordingProtocol], Any]) -> None:
    loop = VirtualLoop(seed=1)

    async def main() -> None:
        a, b = loop.node("a"), loop.node("b")
        server = RecordingProtocol()
        await b.create_server(lambda: server, "b", 1)
        _, client = await a.create_connection(RecordingProtocol, "b", 1)
        await asyncio.sleep(0)
        await script(loop, (a, b), client, server)

    loop.run_until_complete(main())
    loop.close()
    assert not loop.callback_errors, loop.callback_errors


def test_virtual_time_advances_and_bytes_arrive_after_the_link_delay() -> None:
    async def script(loop: VirtualLoop, nodes: Any, client: RecordingProtocol, server: RecordingProtocol) -> None:
        loop.net.own_link("a", "b").delay_ms = 5000.0
        started_at = loop.time()
        client.transport.write(b"one")
        client.transport.write(b"two")
        await asyncio.sleep(4.9)
        assert server.received == b""
        await asyncio.sleep(3600.0)
        assert server.received == b"onetwo" and loop.time() - started_at == pytest.approx(3604.9)

    run_in_virtual_time(script)


def test_a_one_way_partition_holds_bytes_of_that_direction_until_it_heals() -> None:
    async def script(loop: VirtualLoop, nodes: Any, client: RecordingProtocol, server: RecordingProtocol) -> None:
        loop.net.partition(["a"], ["b"], both=False)
        client.transport.write(b"x")
        server.transport.write(b"y")
        await asyncio.sleep(10.0)
        assert (server.received, client.received) == (b"", b"y")
        with pytest.raises(TimeoutError):
            await nodes[0].create_connection(RecordingProtocol, "b", 1)
        loop.net.heal(["a"], ["b"])
        await asyncio.sleep(1.0)
        assert server.received == b"x"

    run_in_virtual_time(script)


def test_a_reset_within_a_write_delivers_the_bytes_before_it() -> None:
    async def script(loop: VirtualLoop, nodes: Any, client: RecordingProtocol, server: RecordingProtocol) -> None:
        loop.net.own_link("a", "b").reset_after_bytes = 7
        client.transport.write(b"12345")
        await asyncio.sleep(1.0)
        client.transport.write(b"67890")
        await asyncio.sleep(1.0)
        assert server.received == b"1234567"
        assert [type(error) for error in client.close_errors + server.close_errors] == [ConnectionResetError] * 2

    run_in_virtual_time(script)


def test_a_paused_reader_pauses_its_writer_and_a_link_rate_delays_delivery() -> None:
    async def script(loop: VirtualLoop, nodes: Any, client: RecordingProtocol, server: RecordingProtocol) -> None:
        server.transport.pause_reading()
        client.transport.write(b"z" * (HIGH_WATER_BYTES + 1))
        await asyncio.sleep(1.0)
        assert client.pause_count == 1 and server.received == b""
        server.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert len(server.received) == HIGH_WATER_BYTES + 1
        loop.net.own_link("a", "b").rate = 10.0  # bytes per millisecond
        client.transport.write(b"z" * 10_000)
        await asyncio.sleep(0.9)
        assert len(server.received) == HIGH_WATER_BYTES + 1
        await asyncio.sleep(0.2)
        assert len(server.received) == HIGH_WATER_BYTES + 10_001

    run_in_virtual_time(script)


def test_a_killed_node_runs_no_callbacks_and_a_frozen_node_runs_them_when_thawed() -> None:
    async def script(loop: VirtualLoop, nodes: Any, client: RecordingProtocol, server: RecordingProtocol) -> None:
        calls: list[str] = []
        nodes[1].freeze()
        nodes[1].call_later(1.0, calls.append, "thawed")
        client.transport.write(b"x")
        await asyncio.sleep(2.0)
        assert calls == [] and server.received == b""
        nodes[1].thaw()
        await asyncio.sleep(0.1)
        assert calls == ["thawed"] and server.received == b"x"
        nodes[1].call_later(1.0, calls.append, "dead")
        nodes[1].kill()
        await asyncio.sleep(2.0)
        assert (
            calls == ["thawed"]
            and server.close_errors == []
            and isinstance(client.close_errors[0], ConnectionResetError)
        )

    run_in_virtual_time(script)
