"""Two events in one instant, each order forced: timers and what they time, and the shutdown."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from pathlib import Path

import pytest
from gated_loop import GatedLoop
from helpers import LOOPBACK, until
from service_rig import CONFIG, OK, SETTINGS, NodePeer, Rig, build_request, respond_with, run_on_rig
from test_service_life import connect_slow_reader, connect_socket, read_status

from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import Outcome

# ---- a timer and its event in one turn


@pytest.mark.parametrize("first", ["the connection", "its time"])
def test_a_connection_that_comes_up_as_its_time_is_over_is_used_or_closed_once(first: str) -> None:
    async def script(rig: Rig) -> None:
        storage_nodes, gate, dial_count = rig.gateway.pools, GatedLoop(rig.gateway.loop), []
        storage_nodes.loop = gate  # type: ignore[assignment]
        late = storage_nodes._cancel_connecting
        storage_nodes._cancel_connecting = lambda dial: dial_count.append(dial)  # type: ignore[method-assign]
        client = await rig.client()
        client.write(build_request(X_Deadline_Ms="800"))
        await until(lambda: dial_count)
        storage_nodes._cancel_connecting = late  # type: ignore[method-assign]
        acts = [gate.release_event.set, lambda: late(dial_count[0])]
        for act in acts if first == "the connection" else acts[::-1]:
            act()
        answer = await client.next_answer()
        assert answer.status in (200, 503)
        await until(lambda: not storage_nodes.attempt_count and not storage_nodes.dialing_count)
        kept = len(storage_nodes.nodes["s0"].idle_connections)
        await until(lambda: storage_nodes.connection_count == kept)
        assert rig.gateway.core.outcome_counts[Outcome.SUCCEEDED] == (answer.status == 200)

    run_on_rig(script, connect_timeout_ms=30.0)


@pytest.mark.parametrize("first", ["the answer", "its time"])
def test_an_answer_that_comes_as_its_time_is_over_is_one_answer(first: str) -> None:
    async def script(rig: Rig) -> None:
        held: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, request: held.append(conn)
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await until(lambda: held)
        (pending,) = rig.gateway.core.pending.values()
        held[0].write(OK)
        if first == "its time":
            rig.gateway.pools._time_out_attempt(pending.attempt)
        else:
            time.sleep(0.02)
            await until(lambda: not rig.gateway.core.pending)
        assert (await client.next_answer()).status == (502 if first == "its time" else 200)
        await asyncio.sleep(0.02)
        assert (
            len(client.answers) == 1
            and sum(rig.gateway.core.outcome_counts.values()) == 1
            and not rig.gateway.core.pending
        )

    run_on_rig(script)


def test_a_pooled_connection_that_ends_as_it_is_to_be_used_is_not() -> None:
    """The loop has not read it yet: the socket tells."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await client.next_answer()
        (conn,) = rig.storage_nodes[0].peers
        client.write(build_request("save", 0, b"abc"))
        with socket.socket(fileno=conn.transport.get_extra_info("socket").fileno()) as own:
            own.shutdown(socket.SHUT_WR)  # now, not when the loop comes to it
            own.detach()
        assert (await client.next_answer()).status == 200 and len(rig.storage_nodes[0].peers) == 2
        assert rig.gateway.core.outcome_counts[Outcome.CONNECTION_LOST] == 0

    run_on_rig(script)


def reset(data: bytes):  # type: ignore[no-untyped-def]
    def handle_request(conn: NodePeer, request: HttpRequest) -> None:
        sock = conn.transport.get_extra_info("socket")
        conn.write(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        asyncio.get_running_loop().call_later(0.01, conn.transport.abort)

    return handle_request


HEAD = b"HTTP/1.1 200 OK\r\n"
SPOILT = {
    "no length and a reset": reset(HEAD + b"\r\nok"),
    "no length and an end": respond_with(HEAD + b"\r\nok", close=True),
    "cut in its head": respond_with(HEAD + b"Content-Le", close=True),
    "cut in a chunk": respond_with(HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", close=True),
    "cut before the last chunk": respond_with(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", close=True),
    "cut in its body by a reset": reset(HEAD + b"Content-Length: 5\r\n\r\nok"),
    "two lengths": respond_with(HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!"),
    "a length and chunks": respond_with(HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    "a status too large": respond_with(b"HTTP/1.1 1200 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small": respond_with(b"HTTP/1.1 020 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small and no length": respond_with(b"HTTP/1.1 099 OK\r\n\r\nok"),
    "a status no class knows": respond_with(b"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok"),
    "1xx without end": respond_with(b"HTTP/1.1 103 Hints\r\n\r\n" * 50 + OK),
    "too long": respond_with(
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"10000\r\n"
        + b"x" * 65536
        + b"\r\n" * 1
        + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 20
    ),
    "chunks of one byte without end": respond_with(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 200_000
    ),
}


@pytest.mark.parametrize("what", SPOILT)
def test_a_spoilt_answer_is_passed_on_to_nobody_and_may_have_run(what: str) -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = SPOILT[what]
        answer = await rig.fetch(build_request("save", 0, b"abc", X_Deadline_Ms="400"))
        assert answer.status == 502 and answer.body == b"" and len(rig.storage_nodes[0].received_requests) == 1
        await until(lambda: rig.gateway.pools.buffered_bytes == 0 and rig.gateway.pools.connection_count == 0)
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(OK)
        assert (await rig.fetch(build_request("save", 0, b"abc"))).body == b"ok"

    run_on_rig(script)


# ---- the shutdown


def test_an_answer_that_is_partly_written_goes_out_whole_before_the_end() -> None:
    async def script(rig: Rig) -> None:
        body = bytes(range(256)) * 800
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(
            HEAD + b"Content-Length: 204800\r\n\r\n" + body
        )
        raw, conn = await connect_slow_reader(rig)
        assert conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        raw.sendall(build_request())
        await until(lambda: conn.write_paused)
        rig.gateway.shutdown.begin()
        await asyncio.sleep(1.2)  # past the kill, which may come late
        assert not rig.gateway.stopped_future.done()
        raw.settimeout(5.0)

        def read() -> bytes:
            got = b""
            while piece := raw.recv(65536):
                got += piece
            return got

        got = await asyncio.to_thread(read)
        await rig.gateway.stopped_future
        assert got.endswith(body)
        raw.close()

    run_on_rig(script, longest_wait_ms=400.0)


def test_a_reload_beside_the_end_changes_neither_the_end_nor_what_is_owed(tmp_path: Path) -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, request: None
        client, kept = await rig.client(), connect_socket(rig)
        client.write(build_request(X_Deadline_Ms="9000"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        file = tmp_path / "config.json"
        less = {
            **SETTINGS,
            "classes": SETTINGS["classes"][1:],
            "family_info": {**SETTINGS["family_info"], "writes": [True]},
        }
        file.write_text(json.dumps({**CONFIG, "discovery": f"{LOOPBACK}:{rig.discovery.port}", "settings": less}))
        rig.gateway.path = str(file)
        rig.gateway.reload()
        rig.gateway.shutdown.begin()
        rig.gateway.reload()
        rig.gateway.shutdown.begin()
        kept.sendall(build_request())  # its class is gone
        assert await read_status(kept) == b"400"
        assert (await client.next_answer()).status == 503
        await rig.gateway.stopped_future
        assert rig.gateway.core.open_count == 0 and not rig.gateway.core.pending

    run_on_rig(script, longest_wait_ms=400.0)
