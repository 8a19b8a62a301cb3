"""Coinciding events in each forced order: timers with the events that they limit, and the shutdown."""

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

# ---- a timer and its event in one loop iteration


@pytest.mark.parametrize("first_event", ["the connection", "the timeout"])
def test_connection_opened_at_its_timeout_is_used_or_closed_once(first_event: str) -> None:
    async def script(rig: Rig) -> None:
        pools, gated_loop, connecting_tasks = rig.gateway.pools, GatedLoop(rig.gateway.loop), []
        pools.loop = gated_loop  # type: ignore[assignment]
        cancel_connecting = pools._cancel_connecting
        pools._cancel_connecting = lambda tasks: connecting_tasks.append(tasks)  # type: ignore[method-assign]
        client = await rig.client()
        client.write(build_request(X_Deadline_Ms="800"))
        await until(lambda: connecting_tasks)
        pools._cancel_connecting = cancel_connecting  # type: ignore[method-assign]
        actions = [gated_loop.release_event.set, lambda: cancel_connecting(connecting_tasks[0])]
        for action in actions if first_event == "the connection" else actions[::-1]:
            action()
        answer = await client.next_answer()
        assert answer.status in (200, 503)
        await until(lambda: not pools.attempt_count and not pools.dialing_count)
        idle_count = len(pools.nodes["s0"].idle_connections)
        await until(lambda: pools.connection_count == idle_count)
        assert rig.gateway.core.outcome_counts[Outcome.SUCCEEDED] == (answer.status == 200)

    run_on_rig(script, connect_timeout_ms=30.0)


@pytest.mark.parametrize("first_event", ["the answer", "the timeout"])
def test_answer_that_arrives_at_the_timeout_counts_once(first_event: str) -> None:
    async def script(rig: Rig) -> None:
        pending_attempts: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, request: pending_attempts.append(conn)
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await until(lambda: pending_attempts)
        (pending,) = rig.gateway.core.pending.values()
        pending_attempts[0].write(OK)
        if first_event == "the timeout":
            rig.gateway.pools._time_out_attempt(pending.attempt)
        else:
            time.sleep(0.02)
            await until(lambda: not rig.gateway.core.pending)
        assert (await client.next_answer()).status == (502 if first_event == "the timeout" else 200)
        await asyncio.sleep(0.02)
        assert (
            len(client.answers) == 1
            and sum(rig.gateway.core.outcome_counts.values()) == 1
            and not rig.gateway.core.pending
        )

    run_on_rig(script)


def test_pooled_connection_that_has_just_closed_is_not_used() -> None:
    """The event loop has not noticed the end yet; only the socket shows it."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await client.next_answer()
        (conn,) = rig.storage_nodes[0].peers
        client.write(build_request("save", 0, b"abc"))
        with socket.socket(fileno=conn.transport.get_extra_info("socket").fileno()) as node_socket:
            node_socket.shutdown(socket.SHUT_WR)  # Takes effect now, not in a later loop iteration.
            node_socket.detach()
        assert (await client.next_answer()).status == 200 and len(rig.storage_nodes[0].peers) == 2
        assert rig.gateway.core.outcome_counts[Outcome.CONNECTION_LOST] == 0

    run_on_rig(script)


def respond_and_reset(data: bytes):  # type: ignore[no-untyped-def]
    """Returns a handler that answers with `data` and then resets the connection."""

    def handle_request(conn: NodePeer, request: HttpRequest) -> None:
        sock = conn.transport.get_extra_info("socket")
        conn.write(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        asyncio.get_running_loop().call_later(0.01, conn.transport.abort)

    return handle_request


OK_LINE = b"HTTP/1.1 200 OK\r\n"
INVALID_ANSWERS = {
    "no length and a reset": respond_and_reset(OK_LINE + b"\r\nok"),
    "no length and a close": respond_with(OK_LINE + b"\r\nok", close=True),
    "cut in its header": respond_with(OK_LINE + b"Content-Le", close=True),
    "cut in a chunk": respond_with(OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", close=True),
    "cut before the end chunk": respond_with(OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", close=True),
    "cut in its body by a reset": respond_and_reset(OK_LINE + b"Content-Length: 5\r\n\r\nok"),
    "two lengths": respond_with(OK_LINE + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!"),
    "length and chunks": respond_with(OK_LINE + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    "a status too large": respond_with(b"HTTP/1.1 1200 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small": respond_with(b"HTTP/1.1 020 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small and no length": respond_with(b"HTTP/1.1 099 OK\r\n\r\nok"),
    "a status of no class": respond_with(b"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok"),
    "endless 1xx responses": respond_with(b"HTTP/1.1 103 Hints\r\n\r\n" * 50 + OK),
    "a body that is too large": respond_with(
        OK_LINE
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"10000\r\n"
        + b"x" * 65536
        + b"\r\n" * 1
        + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 20
    ),
    "endless chunks of one byte": respond_with(
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 200_000
    ),
}


@pytest.mark.parametrize("case", INVALID_ANSWERS)
def test_invalid_answer_is_not_forwarded_and_counts_as_possibly_executed(case: str) -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = INVALID_ANSWERS[case]
        answer = await rig.fetch(build_request("save", 0, b"abc", X_Deadline_Ms="400"))
        assert answer.status == 502 and answer.body == b"" and len(rig.storage_nodes[0].received_requests) == 1
        await until(lambda: rig.gateway.pools.buffered_bytes == 0 and rig.gateway.pools.connection_count == 0)
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(OK)
        assert (await rig.fetch(build_request("save", 0, b"abc"))).body == b"ok"

    run_on_rig(script)


# ---- the shutdown


def test_partly_written_answer_is_completed_before_the_exit() -> None:
    async def script(rig: Rig) -> None:
        body = bytes(range(256)) * 800
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(
            OK_LINE + b"Content-Length: 204800\r\n\r\n" + body
        )
        sock, conn = await connect_slow_reader(rig)
        assert conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.sendall(build_request())
        await until(lambda: conn.write_paused)
        rig.gateway.shutdown.begin()
        await asyncio.sleep(1.2)  # Past the kill, which may be late.
        assert not rig.gateway.stopped_future.done()
        sock.settimeout(5.0)

        def read_to_end() -> bytes:
            received = b""
            while data_piece := sock.recv(65536):
                received += data_piece
            return received

        received = await asyncio.to_thread(read_to_end)
        await rig.gateway.stopped_future
        assert received.endswith(body)
        sock.close()

    run_on_rig(script, longest_wait_ms=400.0)


def test_reload_during_shutdown_changes_neither_the_shutdown_nor_open_requests(tmp_path: Path) -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, request: None
        client, idle_conn = await rig.client(), connect_socket(rig)
        client.write(build_request(X_Deadline_Ms="9000"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        path = tmp_path / "config.json"
        other_settings = {
            **SETTINGS,
            "classes": SETTINGS["classes"][1:],
            "family_info": {**SETTINGS["family_info"], "writes": [True]},
        }
        path.write_text(
            json.dumps({**CONFIG, "discovery": f"{LOOPBACK}:{rig.discovery.port}", "settings": other_settings})
        )
        rig.gateway.path = str(path)
        rig.gateway.reload()
        rig.gateway.shutdown.begin()
        rig.gateway.reload()
        rig.gateway.shutdown.begin()
        idle_conn.sendall(build_request())  # Its request class no longer exists.
        assert await read_status(idle_conn) == b"400"
        assert (await client.next_answer()).status == 503
        await rig.gateway.stopped_future
        assert rig.gateway.core.open_count == 0 and not rig.gateway.core.pending

    run_on_rig(script, longest_wait_ms=400.0)
