"""A connection to a shelf that comes up late: what was settled meanwhile is not sent. A gate forces each order."""

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

MAY_NOT_CANCEL = read_settings({**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "cancel": False}})


async def dialling(rig: Rig, request: bytes, node: int = 0) -> tuple[Client, GatedLoop]:
    """A client whose request waits on a connection to its shelf."""
    gate = GatedLoop(rig.gateway.loop)
    rig.gateway.pools.loop = gate  # type: ignore[assignment]
    client = await rig.client()
    client.write(request)
    await until(lambda: rig.storage_nodes[node].peers)
    return client, gate


async def nothing_is_sent(rig: Rig, gate: GatedLoop) -> None:
    gate.release_event.set()
    await asyncio.sleep(0.05)
    assert not any(s.received_requests for s in rig.storage_nodes)
    assert rig.gateway.pools.attempt_count == rig.gateway.pools.dialing_count == 0 and not rig.gateway.core.pending


@pytest.mark.parametrize("cancellations", [True, False])
@pytest.mark.parametrize("how", ["a reset", "an end"])
def test_a_client_that_leaves_meanwhile_has_nothing_sent(cancellations: bool, how: str) -> None:
    """Where attempts may not be cancelled, one that waited for its connection was sent for a client long gone."""

    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request())
        client.transport.abort() if how == "a reset" else client.transport.write_eof()
        await until(lambda: rig.gateway.core.counts.client_gone == 1)
        await nothing_is_sent(rig, gate)
        rig.gateway.pools.loop = rig.gateway.loop
        assert (await rig.fetch(build_request())).status == 200  # the connection was kept for others
        assert len(rig.storage_nodes[0].peers) == 1

    run_on_rig(script, settings=read_settings(SETTINGS) if cancellations else MAY_NOT_CANCEL)


def test_a_request_that_was_answered_meanwhile_is_not_sent() -> None:
    """At the end of a life all that is out is given up: one that waited for its connection went out later."""

    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request("save", 0, b"abc"))
        rig.gateway.pools.connect_timeout_ms = 5000.0
        rig.gateway.core.begin_shutdown(rig.gateway.clock(), rig.gateway.clock() + 20.0)
        answer = await client.next_answer()
        assert answer.status == 502  # the module does not know that its attempt only waits
        await nothing_is_sent(rig, gate)

    run_on_rig(script)


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_a_shelf_that_drains_or_goes_meanwhile_gets_nothing(state: str) -> None:
    """With a connection that took longer than the grace the attempt went to a draining shelf."""

    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request())
        rig.discovery.peers[0].send_list(listing(2, entry("s0", rig.storage_nodes[0].port, 0, state), full=False))
        await until(lambda: 0 not in rig.gateway.core.scheduler.nodes.node_at_slot)
        await nothing_is_sent(rig, gate)
        assert (await client.next_answer()).status == 503 and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)  # no connection to it is kept

    run_on_rig(script)


def test_a_shelf_that_moves_meanwhile_is_dialled_where_it_is() -> None:
    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request())
        moved = ScriptedNode()
        await moved.start()
        rig.discovery.peers[0].send_list(listing(2, entry("s0", moved.port, 0), full=False))
        await until(lambda: rig.gateway.pools.nodes["s0"].address[1] == moved.port)
        gate.release_event.set()
        assert (await client.next_answer()).status == 200
        assert len(moved.received_requests) == 1 and not rig.storage_nodes[0].received_requests
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)

    run_on_rig(script)


def test_another_under_the_same_name_is_not_reached_by_the_old_connection() -> None:
    """Gone and listed anew at the old address: a new shelf stands in the table, the old connection is not its own."""

    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request())
        port = rig.storage_nodes[0].port
        rig.discovery.peers[0].send_list(listing(2, entry("s0", port, 0, "Gone"), full=False))
        rig.discovery.peers[0].send_list(listing(3, entry("s0", port, 0, started=rig.gateway.clock()), full=False))
        await until(lambda: rig.gateway.watch.newest_version == 3)
        gate.release_event.set()
        await client.next_answer()
        idle = rig.gateway.pools.nodes["s0"].idle_connections
        assert all(conn.node is rig.gateway.pools.nodes["s0"] for conn in idle)

    run_on_rig(script)


def test_an_attempt_that_is_over_by_then_is_not_sent_and_its_connection_is_kept() -> None:
    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request(X_Deadline_Ms="100"))
        assert (await client.next_answer()).status == 503 and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        await nothing_is_sent(rig, gate)
        assert len(rig.gateway.pools.nodes["s0"].idle_connections) == 1

    run_on_rig(script)


def test_one_that_never_comes_up_ends_by_its_time_and_one_time_does_not_end_the_next() -> None:
    async def script(rig: Rig) -> None:
        client, gate = await dialling(rig, build_request(X_Deadline_Ms="600"))
        assert (await client.next_answer()).status == 503
        assert (
            rig.gateway.core.outcome_counts[Outcome.CONNECT_FAILED] >= 1 and not rig.storage_nodes[0].received_requests
        )
        assert rig.gateway.pools.attempt_count == rig.gateway.pools.dialing_count == 0
        gate.release_event.set()
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
WINDOW = read_settings({**SETTINGS, "classes": [SETTINGS["classes"][0], IDEMPOTENT_WITH_KEY]})


ERROR = b"HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_reaches_its_shelf_within_its_window_or_not_at_all(late: bool) -> None:
    """The window was looked at as the attempt was decided, not as its connection had come up."""

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, request: None
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        await until(lambda: rig.storage_nodes[0].received_requests)
        gate = GatedLoop(rig.gateway.loop)
        rig.gateway.pools.loop = gate  # type: ignore[assignment]
        rig.storage_nodes[0].handle_request = respond_with(OK)
        rig.storage_nodes[0].peers[0].write(ERROR)
        await until(lambda: len(rig.storage_nodes[0].peers) == 2)  # the repeat's connection is up, and held back here
        if late:
            await asyncio.sleep(0.41)
        gate.release_event.set()
        assert (await client.next_answer()).status == (503 if late else 200)
        assert len(rig.storage_nodes[0].received_requests) == (1 if late else 2)

    run_on_rig(script, settings=WINDOW, connect_timeout_ms=1000.0)


def test_a_repeat_whose_last_byte_does_not_leave_within_its_window_is_cut() -> None:
    """A shelf that does not read takes part of it: with its last byte, much later, it would have run again."""

    async def script(rig: Rig) -> None:
        storage_nodes, sent = rig.gateway.pools, []
        begin: Callable[..., bool] = storage_nodes._start_attempt

        def blocked(attempt: Any, conn: Any) -> bool:
            if attempt.number == 1:  # as a socket that takes no more: what is written stays with the transport
                conn.transport.write(b"x" * 64_000_000)
                sent.append(attempt)
            return begin(attempt, conn)

        storage_nodes._start_attempt = blocked  # type: ignore[method-assign]
        loop, raw = rig.gateway.loop, socket.create_server(rig.address(0)[:1] + (0,))
        raw.setblocking(False)
        rig.discovery.peers[0].send_list(listing(2, entry("s0", raw.getsockname()[1], 0), full=False))
        await until(lambda: rig.gateway.watch.newest_version == 2)
        client = await rig.client()
        client.write(build_request("save", 0, b"abc"))
        first, _ = await loop.sock_accept(raw)
        await loop.sock_recv(first, 4096)
        await loop.sock_sendall(first, ERROR)
        second, _ = await loop.sock_accept(raw)  # nobody reads there
        assert (await client.next_answer()).status == 503
        assert len(sent) == 1 and not sent[0].is_written and rig.gateway.core.outcome_counts[Outcome.NOT_SENT] == 1
        assert rig.gateway.pools.connection_count == 0 and rig.gateway.clock() < sent[0].deadline_ms
        for sock in (first, second, raw):
            sock.close()

    run_on_rig(script, settings=WINDOW)


def test_connections_to_shelfs_stay_within_their_part_of_the_descriptors() -> None:
    """Those that are being made were not counted, and where none could be closed a further one was made all the
    same: what discovery and the listener need would have gone."""

    async def script(rig: Rig) -> None:
        gate = GatedLoop(rig.gateway.loop)
        rig.gateway.pools.loop = gate  # type: ignore[assignment]
        rig.gateway.pools.max_connections = 2
        clients = [await rig.client() for _ in range(4)]
        for client in clients:
            client.write(build_request())
        await asyncio.sleep(0.05)
        assert (
            rig.gateway.pools.dialing_count + rig.gateway.pools.connection_count - gate.dial_count <= 2
            and gate.dial_count == 2
        )
        assert [(await c.next_answer()).status for c in clients[2:]] == [503, 503]
        gate.release_event.set()
        assert [(await c.next_answer()).status for c in clients[:2]] == [200, 200]
        other = await rig.fetch(build_request(shard=1))  # idle ones give way
        assert other.status == 200 and rig.gateway.pools.connection_count <= 3

    run_on_rig(script)
