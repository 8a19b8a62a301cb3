"""A client goes: whatever stands in front of its end, nothing is begun for it, and what it held is settled once.

The head runs in the test's own loop: what a test does without waiting all lies on the sockets when the head reads next.
"""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from helpers import LOOPBACK, until
from service_rig import OK, SETTINGS, NodePeer, Rig, build_request, run_on_rig
from test_service_life import connect_slow_reader, connect_socket, read_status

from pebblehinge.http1 import HttpRequest
from pebblehinge.platform_settings import read_settings
from pebblehinge.service import client_connection, connection_registry, socket_state


def ends(raw: socket.socket, how: str) -> None:
    if how == "a reset":
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "an end of its sending":
        raw.shutdown(socket.SHUT_WR)
    else:
        raw.close()


def at_rest(rig: Rig) -> bool:
    gateway, registry = rig.gateway, rig.gateway.registry
    held = (
        gateway.core.open_count,
        gateway.core.pending,
        registry.open_request_ids,
        gateway.pools.attempt_count,
        registry.active_group,
        registry.incomplete_group,
        registry.idle_group,
    )
    return not any(held)


ENDS = ("a close", "a reset", "an end of its sending")
# Where a system tells no end by itself, one is seen once all before it is read.
ORDERS = [(how, behind, True) for how in ENDS for behind in (0, 30_000, 300_000)] + [(how, 0, False) for how in ENDS]


@pytest.mark.parametrize(("how", "behind", "tells"), ORDERS)
def test_what_lies_unread_with_its_end_behind_it_is_not_sent(
    how: str, behind: int, tells: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request was sent on when it was read; the end came to light a read later."""
    if not tells:
        monkeypatch.setattr(socket_state, "HANGUP_EVENTS", 0)

    async def script(rig: Rig) -> None:
        assert (
            await rig.fetch(build_request())
        ).status == 200  # a connection to the shelf is up: nothing has to be waited for
        for _ in range(10):
            raw = connect_socket(rig)  # it waits in the listen queue
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            raw.setblocking(False)
            try:
                raw.send(build_request() + b"x" * behind)
            except BlockingIOError:
                pass
            ends(raw, how)
            await asyncio.sleep(0.01)
            await until(lambda: rig.gateway.registry.connection_count <= 1 and not rig.gateway.core.open_count)
        assert len(rig.storage_nodes[0].received_requests) == 1
        assert rig.gateway.core.counts.client_gone == rig.gateway.core.counts.received - 1

    run_on_rig(script)


def test_one_that_sends_much_ahead_and_goes_is_seen_at_once() -> None:
    """Past a bound reading was paused, and the end behind it not seen: its request went on, and others that waited."""

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, request: None
        client = await rig.client()
        client.write(build_request(X_Deadline_Ms="1900"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        client.write(build_request() * 3 + b"x" * 4 * client_connection.MAX_PIPELINED_BYTES)
        client.transport.write_eof()
        await until(lambda: rig.gateway.core.counts.client_gone == 1, 1.5)
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed, 1.5)
        assert len(rig.storage_nodes[0].received_requests) == 1 and at_rest(rig)

    run_on_rig(script)


def test_further_attempts_end_with_their_client() -> None:
    """Between an attempt that failed and the next one the client goes, in the same turn as the failure is read."""

    async def script(rig: Rig) -> None:
        raw = connect_socket(rig)
        held: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, request: held.append(conn)
        raw.sendall(build_request())
        await until(lambda: held)
        raw.close()
        held[0].write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        await until(lambda: at_rest(rig))
        await asyncio.sleep(0.05)
        assert len(held) == 1

    run_on_rig(script)


def test_one_that_does_not_read_and_ends_its_sending_is_gone_before_its_connection_is() -> None:
    """Its connection stays until what was written has gone; what it asked behind that ends with its sending."""

    async def script(rig: Rig) -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(large)
        rig.storage_nodes[1].handle_request = lambda conn, request: None
        raw, conn = await connect_slow_reader(rig)
        raw.sendall(build_request() + build_request(shard=1, X_Deadline_Ms="1900"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        await until(lambda: rig.storage_nodes[1].received_requests)
        assert conn.transport.get_write_buffer_size()
        raw.shutdown(socket.SHUT_WR)
        await until(lambda: rig.gateway.core.open_count == 0 and not rig.gateway.registry.open_request_ids, 1.5)
        assert rig.gateway.registry.connection_count == 1
        await until(lambda: rig.storage_nodes[1].peers[0].is_closed)
        raw.close()
        await until(lambda: rig.gateway.registry.connection_count == 0)

    run_on_rig(script)


def test_a_burst_of_clients_that_leave_gives_back_all_that_they_held(monkeypatch: pytest.MonkeyPatch) -> None:
    """Held for their plan's limit and for their turn by key: those that stay are served, each in turn, once."""
    plan = {"base_rate": 5.0, "ceiling_rate": 20.0, "limit_burst": 2.0, "cap_slack": 0.0, "name": "gold"}
    platform_settings = {
        **SETTINGS,
        "service_levels": [plan],
        "classes": [{**SETTINGS["classes"][0], "sequential": True}, SETTINGS["classes"][1]],
        "rules": {**SETTINGS["rules"], "order_settle_s": 0.0},
    }

    async def script(rig: Rig) -> None:
        callers = [connect_socket(rig) for _ in range(30)]
        for raw in callers:
            raw.sendall(build_request(X_Deadline_Ms="1900", Cookie="block=00000000000000aa"))
        await until(lambda: rig.gateway.core.counts.received == 30)
        sent = len(rig.storage_nodes[0].received_requests)
        stay = callers[-2:]
        for raw in callers[:-2]:
            raw.close()
        await until(lambda: rig.gateway.core.open_count <= 2)
        assert [await read_status(raw) for raw in stay] == [b"200", b"200"]
        assert len(rig.storage_nodes[0].received_requests) <= sent + 3
        assert not rig.gateway.core.pending and not rig.gateway.core.scheduler.dispatcher.limits.extent_queues.queues
        assert not any(rig.gateway.core.scheduler.nodes.queues) and not any(rig.gateway.core.scheduler.nodes.in_flight)

    run_on_rig(script, settings=read_settings(platform_settings))


def test_a_client_that_goes_as_its_answer_comes_is_settled_once() -> None:
    """Both in one turn of the loop, in either order."""

    async def script(rig: Rig) -> None:
        held: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, request: held.append(conn)
        for first in ("answer", "end") * 5:
            raw = connect_socket(rig)
            raw.sendall(build_request())
            await until(lambda: held)
            conn = held.pop()
            acts = {"answer": lambda c=conn: c.write(OK), "end": lambda r=raw: r.close()}
            for act in sorted(acts, key=lambda name, f=first: name != f):
                acts[act]()
            await until(lambda: at_rest(rig))
        counts = rig.gateway.core.counts
        assert counts.succeeded + counts.client_gone == 10 == counts.received and counts.failed == 0

    run_on_rig(script)


def test_one_that_asks_for_health_and_never_reads_is_bounded_and_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its answers were kept without bound, and so was what it sent behind them."""
    monkeypatch.setattr(connection_registry.ConnectionRegistry, "STALL_TIMEOUT_MS", 200.0)

    async def script(rig: Rig) -> None:
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.connect((LOOPBACK, rig.port))
        raw.setblocking(False)
        data, most = b"GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n" * 5000, 0
        for _ in range(200):
            try:
                raw.send(data)
            except BlockingIOError:
                pass
            except OSError:
                break
            for conn in (
                *rig.gateway.registry.idle_group,
                *rig.gateway.registry.closing_group,
                *rig.gateway.registry.incomplete_group,
            ):
                most = max(most, len(conn.parser.buffer) + conn.transport.get_write_buffer_size())
            await asyncio.sleep(0.005)
        assert most < 2_000_000
        await until(lambda: rig.gateway.registry.connection_count == 0)

    run_on_rig(script)


def test_a_look_at_a_socket_tells_its_end_from_what_lies_before() -> None:
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    ours.setblocking(False)
    assert not socket_state.is_peer_closed(ours)
    theirs.sendall(b"x")
    assert socket_state.is_readable(ours.fileno()) and not socket_state.is_peer_closed(ours)
    theirs.shutdown(socket.SHUT_WR)
    assert socket_state.is_peer_closed(ours)
    for sock in (ours, theirs):
        sock.close()


def test_a_request_in_form_is_still_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The look at the client's socket costs nobody an answer, whatever it sent ahead."""

    async def script(rig: Rig) -> None:
        def handle_request(conn: NodePeer, request: HttpRequest) -> None:
            conn.write(OK)

        rig.storage_nodes[0].handle_request = handle_request
        client = await rig.client()
        client.write(build_request() + build_request() + build_request())
        assert [(await client.next_answer()).status for _ in range(3)] == [
            200
        ] * 3 and rig.gateway.registry.skipped_attempt_count == 0

    run_on_rig(script)
