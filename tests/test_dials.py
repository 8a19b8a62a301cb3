"""Slow connects to a storage node: attempts that end meanwhile are not sent. A gated loop forces each order."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from gated_loop import GatedLoop
from helpers import until
from service_rig import OK, SETTINGS, Client, Rig, ScriptedNode, build_request, entry, listing, respond_with, run_on_rig

from pebblehinge.interface import Outcome
from pebblehinge.platform_settings import read_settings

SETTINGS_WITHOUT_CANCELLATION = read_settings({**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "cancel": False}})


async def start_connecting(rig: Rig, request: bytes, node: int = 0) -> tuple[Client, GatedLoop]:
    """Returns a client whose request waits for a connection to its node, and the loop that holds it back."""
    gated_loop = GatedLoop(rig.gateway.loop)
    rig.gateway.pools.loop = gated_loop  # type: ignore[assignment]
    client = await rig.client()
    client.write(request)
    await until(lambda: rig.storage_nodes[node].peers)
    return client, gated_loop


async def assert_nothing_is_sent(rig: Rig, gated_loop: GatedLoop) -> None:
    """Releases the held connections and checks that no request is sent on them."""
    gated_loop.release_event.set()
    await asyncio.sleep(0.05)
    assert not any(s.received_requests for s in rig.storage_nodes)
    assert rig.gateway.pools.attempt_count == rig.gateway.pools.dialing_count == 0 and not rig.gateway.core.pending


@pytest.mark.parametrize("is_cancellation_allowed", [True, False])
@pytest.mark.parametrize("end_kind", ["a reset", "an end"])
def test_nothing_is_sent_for_a_client_that_disconnects_during_connecting(
    is_cancellation_allowed: bool, end_kind: str
) -> None:
    """Where attempts may not be cancelled, one that waited for its connection was sent although the client was gone."""

    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request())
        client.transport.abort() if end_kind == "a reset" else client.transport.write_eof()
        await until(lambda: rig.gateway.core.counts.client_gone == 1)
        await assert_nothing_is_sent(rig, gated_loop)
        rig.gateway.pools.loop = rig.gateway.loop
        assert (await rig.fetch(build_request())).status == 200  # The connection was kept for other attempts.
        assert len(rig.storage_nodes[0].peers) == 1

    run_on_rig(script, settings=read_settings(SETTINGS) if is_cancellation_allowed else SETTINGS_WITHOUT_CANCELLATION)


def test_request_answered_during_connecting_is_not_sent() -> None:
    """At shutdown all attempts are given up: one that waited for its connection was sent later."""

    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request("save", 0, b"abc"))
        rig.gateway.pools.connect_timeout_ms = 5000.0
        rig.gateway.core.begin_shutdown(rig.gateway.clock(), rig.gateway.clock() + 20.0)
        answer = await client.next_answer()
        assert answer.status == 502  # The core does not know that the attempt has not been sent.
        await assert_nothing_is_sent(rig, gated_loop)

    run_on_rig(script)


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_nothing_is_sent_to_a_node_that_drains_or_is_gone_after_connecting(state: str) -> None:
    """If connecting took longer than the grace period, the attempt was sent to a draining node."""

    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request())
        rig.discovery.peers[0].send_list(listing(2, entry("s0", rig.storage_nodes[0].port, 0, state), full=False))
        await until(lambda: 0 not in rig.gateway.core.scheduler.nodes.node_at_slot)
        await assert_nothing_is_sent(rig, gated_loop)
        assert (await client.next_answer()).status == 503 and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)  # No connection to it is kept.

    run_on_rig(script)


def test_node_whose_address_changes_during_connecting_is_reached_at_the_new_one() -> None:
    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request())
        moved_node = ScriptedNode()
        await moved_node.start()
        rig.discovery.peers[0].send_list(listing(2, entry("s0", moved_node.port, 0), full=False))
        await until(lambda: rig.gateway.pools.nodes["s0"].address[1] == moved_node.port)
        gated_loop.release_event.set()
        assert (await client.next_answer()).status == 200
        assert len(moved_node.received_requests) == 1 and not rig.storage_nodes[0].received_requests
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)

    run_on_rig(script)


def test_new_node_under_the_same_name_does_not_use_the_old_connection() -> None:
    """A node that is gone and listed again at the old address is a new node; the old connection is not its own."""

    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request())
        port = rig.storage_nodes[0].port
        rig.discovery.peers[0].send_list(listing(2, entry("s0", port, 0, "Gone"), full=False))
        rig.discovery.peers[0].send_list(listing(3, entry("s0", port, 0, started_ms=rig.gateway.clock()), full=False))
        await until(lambda: rig.gateway.watch.newest_version == 3)
        gated_loop.release_event.set()
        await client.next_answer()
        idle_connections = rig.gateway.pools.nodes["s0"].idle_connections
        assert all(conn.node is rig.gateway.pools.nodes["s0"] for conn in idle_connections)

    run_on_rig(script)


def test_attempt_that_ends_during_connecting_is_not_sent_and_its_connection_is_kept() -> None:
    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request(X_Deadline_Ms="100"))
        assert (await client.next_answer()).status == 503 and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        await assert_nothing_is_sent(rig, gated_loop)
        assert len(rig.gateway.pools.nodes["s0"].idle_connections) == 1

    run_on_rig(script)


def test_each_connect_that_never_completes_ends_at_its_own_timeout() -> None:
    async def script(rig: Rig) -> None:
        client, gated_loop = await start_connecting(rig, build_request(X_Deadline_Ms="600"))
        assert (await client.next_answer()).status == 503
        assert (
            rig.gateway.core.outcome_counts[Outcome.CONNECT_FAILED] >= 1 and not rig.storage_nodes[0].received_requests
        )
        assert rig.gateway.pools.attempt_count == rig.gateway.pools.dialing_count == 0
        gated_loop.release_event.set()
        await until(lambda: all(c.is_closed for c in rig.storage_nodes[0].peers))

    run_on_rig(script, connect_timeout_ms=80.0)


IDEMPOTENT_WITH_KEY = {
    "effect": "keyed",
    "give_up_s": 2.0,
    "late_worth": 0.1,
    "name": "save",
    "on_time_s": 1.0,
    "points": 2.0,
    "repeat_window_s": 0.4,
}
RETRY_WINDOW_SETTINGS = read_settings({**SETTINGS, "classes": [SETTINGS["classes"][0], IDEMPOTENT_WITH_KEY]})
SERVER_ERROR_RESPONSE = b"HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("is_late", [False, True])
def test_retry_reaches_its_node_within_the_deduplication_window_or_never(is_late: bool) -> None:
    """The window was checked when the retry was decided, not when its connection was open."""

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, request: None
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        gated_loop = GatedLoop(rig.gateway.loop)
        rig.gateway.pools.loop = gated_loop  # type: ignore[assignment]
        rig.storage_nodes[0].handle_request = respond_with(OK)
        rig.storage_nodes[0].peers[0].write(SERVER_ERROR_RESPONSE)
        await until(lambda: len(rig.storage_nodes[0].peers) == 2)  # The connection of the retry is open and held back.
        if is_late:
            await asyncio.sleep(0.41)
        gated_loop.release_event.set()
        assert (await client.next_answer()).status == (503 if is_late else 200)
        assert len(rig.storage_nodes[0].received_requests) == (1 if is_late else 2)

    run_on_rig(script, settings=RETRY_WINDOW_SETTINGS, connect_timeout_ms=1000.0)


def test_retry_not_fully_written_within_the_deduplication_window_is_aborted() -> None:
    """A node that does not read receives a part; it would execute the retry on receiving the last byte much later."""

    async def script(rig: Rig) -> None:
        pools, blocked_attempts = rig.gateway.pools, []
        start_attempt: Callable[..., bool] = pools._start_attempt

        def start_on_blocked_socket(attempt: Any, conn: Any) -> bool:
            if attempt.number == 1:  # Fills the socket: the data stays in the transport.
                conn.transport.write(b"x" * 64_000_000)
                blocked_attempts.append(attempt)
            return start_attempt(attempt, conn)

        pools._start_attempt = start_on_blocked_socket  # type: ignore[method-assign]
        loop, listen_socket = rig.gateway.loop, socket.create_server(rig.address(0)[:1] + (0,))
        listen_socket.setblocking(False)
        rig.discovery.peers[0].send_list(listing(2, entry("s0", listen_socket.getsockname()[1], 0), full=False))
        await until(lambda: rig.gateway.watch.newest_version == 2)
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        first_conn, _ = await loop.sock_accept(listen_socket)
        await loop.sock_recv(first_conn, 4096)
        await loop.sock_sendall(first_conn, SERVER_ERROR_RESPONSE)
        second_conn, _ = await loop.sock_accept(listen_socket)  # Nothing is read from it.
        assert (await client.next_answer()).status == 503
        assert (
            len(blocked_attempts) == 1
            and not blocked_attempts[0].is_written
            and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        )
        assert rig.gateway.pools.connection_count == 0 and rig.gateway.clock() < blocked_attempts[0].deadline_ms
        for sock in (first_conn, second_conn, listen_socket):
            sock.close()

    run_on_rig(script, settings=RETRY_WINDOW_SETTINGS)


def test_node_connections_stay_within_their_part_of_the_descriptors() -> None:
    """Connections being opened were not counted, and one was opened above the limit if none could be closed.

    This could use up the descriptors that discovery and the listener need.
    """

    async def script(rig: Rig) -> None:
        gated_loop = GatedLoop(rig.gateway.loop)
        rig.gateway.pools.loop = gated_loop  # type: ignore[assignment]
        rig.gateway.pools.max_connections = 2
        clients = [await rig.client() for _ in range(4)]
        for client in clients:
            client.write(build_request())
        await asyncio.sleep(0.05)
        assert (
            rig.gateway.pools.dialing_count + rig.gateway.pools.connection_count - gated_loop.dial_count <= 2
            and gated_loop.dial_count == 2
        )
        assert [(await c.next_answer()).status for c in clients[2:]] == [503, 503]
        gated_loop.release_event.set()
        assert [(await c.next_answer()).status for c in clients[:2]] == [200, 200]
        other_answer = await rig.fetch(build_request(shard=1))  # Idle connections are closed to make room.
        assert other_answer.status == 200 and rig.gateway.pools.connection_count <= 3

    run_on_rig(script)
