"""The running head and its clients: many, odd, slow, malformed, and what is refused at the door."""

from __future__ import annotations

import asyncio
import os

import pytest
from helpers import FLEET, LOOPBACK, Rig, on_rig, until
from raw_frames import LOOK_OPTIONS, NO_ANSWER, SAVE_OPTIONS, encode_hello, open_raw_connection, read_remaining_frames

from pebblehinge.client import connect
from pebblehinge.interface import Outcome
from pebblehinge.wire import FrameDecoder, Kind, encode


def test_two_thousand_connections_at_once() -> None:
    async def script(rig: Rig) -> None:
        clients = []
        for _ in range(20):
            clients += await asyncio.gather(*(rig.client(timeout_ms=10_000) for _ in range(100)))
        assert len(rig.head.client_connections) == 2000
        order = [
            c.read("v", f"x{i}", 1, request_class="look", slot=i % 2, units=1.0, timeout_ms=8000.0)
            for i, c in enumerate(clients)
        ]
        got = await asyncio.gather(*order)
        assert len(got) == 2000 and {g.status for g in got} <= {"honoured", "pushed back"}
        # The first connection to a shelf is made while the loop is late by the burst itself: found as a shelf that
        # counted as unreachable, with everything after it rejected.
        assert rig.head.core.outcome_counts[Outcome.CONNECT_FAILED] == 0
        assert (await clients[7].read("v", "calm", 1, **LOOK_OPTIONS)).succeeded

    on_rig(script, fleet=FLEET.replace("keepalive 500ms", "keepalive 5s"))


def test_more_connections_than_allowed_are_told_so() -> None:
    async def script(rig: Rig) -> None:
        first = await rig.client()
        await rig.client()
        with pytest.raises(ConnectionError, match="2 connections are open here already"):
            await connect(rig.config.head["h1"].listen, loop=rig.loop)
        assert (await first.read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    on_rig(script, fleet=FLEET.replace("stall 1s", "stall 1s\n    connections 2"))


def test_bytes_one_at_a_time_are_read() -> None:
    async def script(rig: Rig) -> None:
        reader, writer = await open_raw_connection(rig)
        take = encode(Kind.TAKE, 1, "t-1", "v", None, "look", "x", 0, 1.0, 2000.0, None, None, 0, 0, 1, b"")
        for byte in encode_hello() + take:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0.0005)
        frames = FrameDecoder(1 << 20)
        got = []
        while len(got) < 2:
            frames.feed(await asyncio.wait_for(reader.read(4096), 5.0))
            while (frame := frames.next()) is not None:
                got.append(frame)
        assert [k for k, _ in got] == [Kind.HELLO, Kind.ANSWER] and got[1][1][:2] == (1, 0)
        writer.close()

    on_rig(script)


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (b"\xff\xff\xff\xff", "4294967295 bytes"),
        (encode_hello() + b"\xff\xff\xff\xff", "4294967295 bytes"),
        (encode_hello(7, 9), "versions 7 to 9 are offered"),
        (b"GET / HTTP/1.1\r\n\r\n", "bytes is announced"),
        (encode_hello()[:-1] + b"\x00", "checksum"),
        (encode_hello() + encode_hello(), "a second HELLO"),
        (encode(Kind.CANCEL, 1), "CANCEL before HELLO"),
        (encode_hello() + encode(Kind.OUTCOME, 1, 0, "", b""), "OUTCOME is not for this connection"),
        (encode_hello() + encode(Kind.TAKE, "one"), "TAKE: Expected"),
        (encode_hello() + encode(Kind.CONTROL, 1, "slow", {}), "CONTROL is not for this connection"),
    ],
)
def test_what_is_malformed_gets_one_error_frame_and_others_live_on(sent: bytes, reason: str) -> None:
    async def script(rig: Rig) -> None:
        other = await rig.client()
        reader, writer = await open_raw_connection(rig)
        writer.write(sent)
        got = await read_remaining_frames(reader)
        errors = [values[0] for kind, values in got if kind is Kind.ERROR]
        assert len(errors) == 1 and reason in errors[0], got
        assert (await other.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        writer.close()

    on_rig(script)


def test_random_bytes_never_break_the_head() -> None:
    async def script(rig: Rig) -> None:
        for seed in range(40):
            reader, writer = await open_raw_connection(rig)
            writer.write((encode_hello() if seed % 2 else b"") + os.urandom(200))
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
        assert (await (await rig.client()).read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    on_rig(script)


def test_a_client_that_never_greets_or_goes_silent_is_cut() -> None:
    async def script(rig: Rig) -> None:
        reader, writer = await open_raw_connection(rig)
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        reader, writer = await open_raw_connection(rig)
        writer.write(encode_hello())
        got = await read_remaining_frames(reader)  # never answers the ping
        assert [k for k, _ in got][:2] == [Kind.HELLO, Kind.PING]
        await until(lambda: not rig.head.client_connections)

    on_rig(script)


def test_a_client_that_does_not_read_is_not_read_from_and_cut_in_the_end() -> None:
    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = lambda attempt: attempt.answer(data=b"z" * 900_000)
        reader, writer = await open_raw_connection(rig)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(encode_hello())
        for i in range(40):
            writer.write(
                encode(
                    Kind.TAKE, i + 1, f"t-{i}", "v", None, "look", "x", 0, 1.0, 2000.0, None, None, 0, 0, 900_000, b""
                )
            )
            await asyncio.sleep(0.01)
        await until(lambda: any(c.write_paused for c in rig.head.client_connections))
        conn = next(iter(rig.head.client_connections))
        assert conn.transport.get_write_buffer_size() < 40 * 900_000
        await until(lambda: not rig.head.client_connections, 6.0)
        await until(lambda: not rig.head.core.pending)
        assert rig.head.core.open_count == 0 and rig.head.core.payload_bytes == 0
        writer.close()

    on_rig(script)


@pytest.mark.parametrize(
    ("more", "reason"),
    [
        ({"request_class": "nothing"}, "profile 'nothing' is not known"),
        ({"volume": "w"}, "volume 'w' is not known"),
        ({"quota_plan": "tin"}, "a plan that is not known"),
        ({"quota_plan": "capped"}, "stands on another plan"),
        ({"units": 7.0}, "at most 6"),
        ({"operation": 5}, "no read or write"),
    ],
)
def test_what_cannot_be_taken_is_pushed_back_with_the_reason(more: dict, reason: str) -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        asked = {"volume": "v", "extent": "x", "operation": 0, "length": 1, **LOOK_OPTIONS, **more}
        got = await client.request(**asked)
        assert got.status == "pushed back" and reason in got.reason and 200.0 <= got.retry_after_ms <= 400.0
        assert not rig.shelfs[0].attempts

    on_rig(script)


def test_requests_and_bytes_held_are_bounded() -> None:
    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = NO_ANSWER
        client = await rig.client()
        pending = [client.read("v", f"x{i}", 1, **LOOK_OPTIONS) for i in range(12)]
        got = await asyncio.gather(*pending)
        assert sum("accesses are open here already" in g.reason for g in got) >= 1
        big = await client.write("v", "x", b"1" * 5000, **SAVE_OPTIONS)
        assert "bytes of accesses are held" in big.reason

    on_rig(script, fleet=FLEET.replace("stall 1s", "stall 1s\n    accesses 8\n    bytes 4096B"))


def test_settings_taken_up_in_service_drop_nothing() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        lim = dict(request_class="look", slot=0, units=6.0, timeout_ms=2000.0)
        await asyncio.sleep(1.3)
        assert (await client.read("c", "x", 1, **lim)).succeeded
        held = client.read("c", "y", 1, **lim)  # its store has to fill: 6 units at 10 a second
        await asyncio.sleep(0.01)
        new = rig.config
        new.plan["capped"].limit, new.plan["capped"].burst = 100.0, 100.0
        rig.head.apply_config(new)
        got = await held
        assert got.succeeded and got.duration_ms < 400
        assert rig.head.core.scheduler.settings.quota_plans["capped"].limit_rate == 100.0

    on_rig(script)


def test_address_in_use_is_an_oserror_with_the_address() -> None:
    async def script(rig: Rig) -> None:
        from pebblehinge.gateway import GatewayServer
        from pebblehinge.lab.village import Quiet

        second = GatewayServer(rig.loop, rig.clock, rig.config, "h1", Quiet())
        with pytest.raises(OSError):
            await second.start()
        assert LOOPBACK in rig.config.head["h1"].listen

    on_rig(script)
