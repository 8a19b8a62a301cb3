"""Clients of a running gateway: many, slow, silent and malformed ones, and requests that are rejected on arrival."""

from __future__ import annotations

import asyncio
import os

import pytest
from helpers import FLEET, LOOPBACK, Rig, run_with_rig, until
from raw_frames import LOOK_OPTIONS, NO_ANSWER, SAVE_OPTIONS, encode_hello, open_raw_connection, read_remaining_frames

from pebblehinge.client import connect
from pebblehinge.interface import Outcome
from pebblehinge.wire import FrameDecoder, Kind, encode


def test_two_thousand_connections_are_served_at_once() -> None:
    async def script(rig: Rig) -> None:
        clients = []
        for _ in range(20):
            clients += await asyncio.gather(*(rig.client(within_ms=10_000) for _ in range(100)))
        assert len(rig.gateway.client_connections) == 2000
        requests = [
            client.read("v", f"x{i}", 1, profile="look", slot=i % 2, units=1.0, patience_ms=8000.0)
            for i, client in enumerate(clients)
        ]
        results = await asyncio.gather(*requests)
        assert len(results) == 2000 and {result.final for result in results} <= {"honoured", "pushed back"}
        # The burst delays the event loop while the first connection to a storage node is opened. The node was then
        # taken for unreachable, and all later requests were rejected.
        assert rig.gateway.core.outcome_counts[Outcome.CONNECT_FAILED] == 0
        assert (await clients[7].read("v", "calm", 1, **LOOK_OPTIONS)).succeeded

    run_with_rig(script, fleet=FLEET.replace("keepalive 500ms", "keepalive 5s"))


def test_connection_above_the_limit_is_rejected_with_the_reason() -> None:
    async def script(rig: Rig) -> None:
        first = await rig.client()
        await rig.client()
        with pytest.raises(ConnectionError, match="2 connections are open here already"):
            await connect(rig.config.head["h1"].listen, loop=rig.loop)
        assert (await first.read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    run_with_rig(script, fleet=FLEET.replace("stall 1s", "stall 1s\n    connections 2"))


def test_frames_received_byte_by_byte_are_decoded() -> None:
    async def script(rig: Rig) -> None:
        reader, writer = await open_raw_connection(rig)
        request = encode(Kind.TAKE, 1, "t-1", "v", None, "look", "x", 0, 1.0, 2000.0, None, None, 0, 0, 1, b"")
        for byte in encode_hello() + request:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0.0005)
        decoder = FrameDecoder(1 << 20)
        frames = []
        while len(frames) < 2:
            decoder.feed(await asyncio.wait_for(reader.read(4096), 5.0))
            while (frame := decoder.next()) is not None:
                frames.append(frame)
        assert [kind for kind, _ in frames] == [Kind.HELLO, Kind.ANSWER] and frames[1][1][:2] == (1, 0)
        writer.close()

    run_with_rig(script)


@pytest.mark.parametrize(
    ("data", "reason"),
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
def test_malformed_input_gets_one_error_frame_and_does_not_affect_others(data: bytes, reason: str) -> None:
    async def script(rig: Rig) -> None:
        other_client = await rig.client()
        reader, writer = await open_raw_connection(rig)
        writer.write(data)
        frames = await read_remaining_frames(reader)
        errors = [values[0] for kind, values in frames if kind is Kind.ERROR]
        assert len(errors) == 1 and reason in errors[0], frames
        assert (await other_client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        writer.close()

    run_with_rig(script)


def test_gateway_serves_requests_after_random_bytes() -> None:
    async def script(rig: Rig) -> None:
        for seed in range(40):
            reader, writer = await open_raw_connection(rig)
            writer.write((encode_hello() if seed % 2 else b"") + os.urandom(200))
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
        assert (await (await rig.client()).read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    run_with_rig(script)


def test_client_without_greeting_or_answers_to_pings_is_disconnected() -> None:
    async def script(rig: Rig) -> None:
        reader, writer = await open_raw_connection(rig)
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        reader, writer = await open_raw_connection(rig)
        writer.write(encode_hello())
        frames = await read_remaining_frames(reader)  # never answers the PING
        assert [kind for kind, _ in frames][:2] == [Kind.HELLO, Kind.PING]
        await until(lambda: not rig.gateway.client_connections)

    run_with_rig(script)


def test_client_that_does_not_read_is_throttled_and_then_disconnected() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer(data=b"z" * 900_000)
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
        await until(lambda: any(client_connection.write_paused for client_connection in rig.gateway.client_connections))
        connection = next(iter(rig.gateway.client_connections))
        assert connection.transport.get_write_buffer_size() < 40 * 900_000
        await until(lambda: not rig.gateway.client_connections, 6.0)
        await until(lambda: not rig.gateway.core.pending)
        assert rig.gateway.core.open_count == 0 and rig.gateway.core.payload_bytes == 0
        writer.close()

    run_with_rig(script)


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        ({"profile": "nothing"}, "profile 'nothing' is not known"),
        ({"volume": "w"}, "volume 'w' is not known"),
        ({"plan": "tin"}, "a plan that is not known"),
        ({"plan": "capped"}, "stands on another plan"),
        ({"units": 7.0}, "at most 6"),
        ({"op": 5}, "no read or write"),
    ],
)
def test_invalid_request_is_rejected_with_the_reason(options: dict, reason: str) -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        arguments = {"volume": "v", "extent": "x", "op": 0, "length": 1, **LOOK_OPTIONS, **options}
        result = await client.request(**arguments)
        assert result.final == "pushed back" and reason in result.reason and 200.0 <= result.stay_ms <= 400.0
        assert not rig.nodes[0].attempts

    run_with_rig(script)


def test_open_requests_and_their_bytes_are_limited() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        pending = [client.read("v", f"x{i}", 1, **LOOK_OPTIONS) for i in range(12)]
        results = await asyncio.gather(*pending)
        assert sum("accesses are open here already" in result.reason for result in results) >= 1
        large_write = await client.write("v", "x", b"1" * 5000, **SAVE_OPTIONS)
        assert "bytes of accesses are held" in large_write.reason

    run_with_rig(script, fleet=FLEET.replace("stall 1s", "stall 1s\n    accesses 8\n    bytes 4096B"))


def test_settings_change_keeps_queued_requests() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        options = dict(profile="look", slot=0, units=6.0, patience_ms=2000.0)
        await asyncio.sleep(1.3)
        assert (await client.read("c", "x", 1, **options)).succeeded
        queued = client.read("c", "y", 1, **options)  # waits for 6 tokens at 10 per second
        await asyncio.sleep(0.01)
        config = rig.config
        config.plan["capped"].limit, config.plan["capped"].burst = 100.0, 100.0
        rig.gateway.apply_config(config)
        result = await queued
        assert result.succeeded and result.took_ms < 400
        assert rig.gateway.core.scheduler.settings.quota_plans["capped"].limit_rate == 100.0

    run_with_rig(script)


def test_listening_on_an_address_in_use_raises_oserror() -> None:
    async def script(rig: Rig) -> None:
        from pebblehinge.gateway import GatewayServer
        from pebblehinge.lab.simulated_fleet import WarningLog

        second_gateway = GatewayServer(rig.loop, rig.clock, rig.config, "h1", WarningLog())
        with pytest.raises(OSError):
            await second_gateway.start()
        assert LOOPBACK in rig.config.head["h1"].listen

    run_with_rig(script)
