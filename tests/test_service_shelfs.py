"""The head in service towards shelfs: each way an attempt ends, connections kept and given up."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from helpers import until
from service_rig import OK, SETTINGS, NodePeer, Rig, build_request, respond_with, run_on_rig
from test_service_life import connect, status

from pebblehinge.decide import Request, Scheduler
from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import EndpointEntry, EndpointState, FinalAnswerKind, ListKind, Outcome
from pebblehinge.platform_settings import read_settings
from pebblehinge.service import node_connection

NOT_RUN = b"Content-Length: 0\r\nX-Not-Run: 1\r\n\r\n"
# what a shelf does: the outcome, the attempts it takes, and what the client of an non-idempotent request is told
ENDS = {
    "an error": (respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "full": (respond_with(b"HTTP/1.1 503 Full\r\n" + NOT_RUN), Outcome.OVERLOADED, 3, 503),
    "over already": (respond_with(b"HTTP/1.1 504 Over\r\n" + NOT_RUN), Outcome.OVERLOADED, 3, 503),
    "503 that does not say so": (
        respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        Outcome.SERVER_ERROR,
        1,
        502,
    ),
    "500 that says it has not run": (respond_with(b"HTTP/1.1 500 No\r\n" + NOT_RUN), Outcome.SERVER_ERROR, 1, 502),
    "noise": (respond_with(b"\x00\x01noise\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "3 GB": (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "no length": (respond_with(b"HTTP/1.1 200 OK\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "a head without end": (respond_with(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000), Outcome.SERVER_ERROR, 1, 502),
    "a break": (respond_with(b"", close=True), Outcome.CONNECTION_LOST, 1, 502),
    "half an answer": (respond_with(OK[:-1], close=True), Outcome.CONNECTION_LOST, 1, 502),
    "nothing": (respond_with(b""), Outcome.TIMED_OUT, 1, 502),
    "a length too long": (respond_with(OK[:-1]), Outcome.TIMED_OUT, 1, 502),
    "1xx in front": (respond_with(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK), Outcome.SUCCEEDED, 1, 200),
    "a second copy": (respond_with(OK + OK), Outcome.SUCCEEDED, 1, 200),
    "noise behind": (respond_with(OK + b"\r\n"), Outcome.SUCCEEDED, 1, 200),
    "an end behind": (respond_with(OK, close=True), Outcome.SUCCEEDED, 1, 200),
    "a large answer": (
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300_000),
        Outcome.SUCCEEDED,
        1,
        200,
    ),
}


def test_an_idle_connection_over_its_time_is_not_closed_over_what_lies_unread_and_no_other_instead() -> None:
    async def script(rig: Rig) -> None:
        old, young = connect(rig), connect(rig)
        for raw in (old, young):
            raw.sendall(build_request())
            assert await status(raw) == b"200"
        registry = rig.gateway.registry
        first = next(iter(registry.idle_group))
        first.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        old.sendall(build_request())
        registry.close_expired(rig.gateway.clock())
        assert len(registry.idle_group) == 2 and not registry.closing_group
        assert await status(old) == b"200"
        first.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        await until(lambda: len(registry.idle_group) == 1)
        assert await status(old) == b""

    run_on_rig(script)


# What leaves a connection as it should be: one whole answer, and nothing behind it.
KEEPS = {
    "an error",
    "full",
    "over already",
    "503 that does not say so",
    "500 that says it has not run",
    "1xx in front",
    "a large answer",
}


@pytest.mark.parametrize("what", ENDS)
def test_each_way_an_attempt_ends_is_the_outcome_that_the_protocol_names(what: str) -> None:
    async def script(rig: Rig) -> None:
        handle_request, outcome, attempts, status = ENDS[what]
        rig.storage_nodes[0].handle_request = handle_request
        answer = await rig.fetch(build_request("save", 0, b"abc", X_Deadline_Ms="300"))
        assert answer.status == status and len(rig.storage_nodes[0].received_requests) == attempts
        assert {o: n for o, n in rig.gateway.core.outcome_counts.items() if n} == {outcome: attempts}
        assert bool(answer.header_values(b"retry-after")) == (status == 503)
        if what not in KEEPS:  # its connection is of no further use
            await until(lambda: all(c.is_closed for c in rig.storage_nodes[0].peers))
        rig.storage_nodes[0].handle_request = lambda conn, r: conn.write(OK)
        assert (await rig.fetch(build_request())).body == b"ok"
        assert (
            not rig.gateway.core.pending
            and rig.gateway.pools.attempt_count == 0
            and rig.gateway.pools.buffered_bytes == 0
        )

    run_on_rig(script)


def test_a_connection_that_can_not_be_made_has_never_run_anything() -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].server.close()
        answer = await rig.fetch(build_request("save", 0, b"abc"))
        assert answer.status == 503 and 0.25 <= float(answer.header_values(b"retry-after")[0]) <= 0.5
        assert rig.gateway.core.outcome_counts[Outcome.CONNECT_FAILED] >= 1 and not rig.gateway.core.pending

    run_on_rig(script)


def test_a_connection_on_which_something_came_unasked_is_not_used_again() -> None:
    """Even where the loop has not read it yet: the socket itself is looked at. Else what came would pass for the
    next answer."""

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = respond_with(OK)
        client = await rig.client()
        client.write(build_request())
        await client.next_answer()
        (first,) = rig.storage_nodes[0].peers
        (conn,) = rig.gateway.pools.nodes["s0"].idle_connections
        assert conn.is_usable()
        first.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        deadline = time.monotonic() + 2.0
        while conn.is_usable() and time.monotonic() < deadline:
            time.sleep(0.001)  # the loop must not run: it is the socket that tells
        assert not conn.is_usable()
        rig.gateway.pools.nodes["s0"].idle_connections[:] = [conn]
        client.write(build_request())
        assert (await client.next_answer()).body == b"ok" and len(rig.storage_nodes[0].peers) == 2

    run_on_rig(script)


def test_what_the_head_believes_is_what_passes_on_the_sockets() -> None:
    """The time an attempt took, attempts out and connections, against the shelf's own record."""

    async def script(rig: Rig) -> None:
        loop, took, peer = asyncio.get_running_loop(), [], []
        ended = rig.gateway.end_attempt

        def handle_request(conn: NodePeer, request: HttpRequest) -> None:
            came = time.monotonic()

            def answer() -> None:
                conn.write(OK)
                peer.append((time.monotonic() - came) * 1000.0)

            loop.call_later(0.1, answer)

        def seen(pending: Any, attempt: int, outcome: Outcome, took_ms: float, data: bytes) -> None:
            took.append(took_ms)
            ended(pending, attempt, outcome, took_ms, data)

        rig.gateway.end_attempt = seen  # type: ignore[method-assign]
        rig.storage_nodes[0].handle_request = handle_request
        open_ = [await rig.client() for _ in range(3)]
        for client in open_:
            client.write(build_request())
        await until(lambda: len(rig.storage_nodes[0].received_requests) == 3)
        assert rig.gateway.pools.attempt_count == 3 == len(rig.gateway.core.scheduler.nodes.in_flight[0])
        assert rig.gateway.pools.connection_count == 3 == len(rig.storage_nodes[0].peers)
        for client in open_:
            await client.next_answer()
        assert len(took) == 3 and all(0.0 <= t - p < 60.0 for t, p in zip(took, peer, strict=True))
        assert rig.gateway.pools.attempt_count == 0 and len(rig.gateway.pools.nodes["s0"].idle_connections) == 3

    run_on_rig(script)


def test_an_idle_connection_is_given_up_before_the_shelf_may_close_it() -> None:
    async def script(rig: Rig) -> None:
        await rig.fetch(build_request())
        (conn,) = rig.storage_nodes[0].peers
        began = time.monotonic()
        await until(lambda: conn.is_closed)
        assert 0.2 < time.monotonic() - began < 0.5

    run_on_rig(script, idle_timeout_ms=500.0)


def test_unfinished_answers_are_bounded_together(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_connection, "MAX_BUFFERED_BYTES", 400_000)

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = respond_with(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 299_000
        )
        first = await rig.client()
        first.write(build_request("save", 0, b"abc"))
        await until(lambda: rig.gateway.pools.buffered_bytes > 290_000)
        assert (await rig.fetch(build_request("save", 0, b"abc"))).status == 502
        assert rig.gateway.pools.buffered_bytes < 400_000

    run_on_rig(script)


def test_a_connection_that_could_not_be_made_makes_no_answering_shelf_cold() -> None:
    """Where new connections break here and there, each made its shelf cold and most of its requests were refused.
    One that has been silent is still found gone at once, and from then on counts as restarted."""
    gateway = Scheduler(read_settings(SETTINGS), 1, 0.0)
    gateway.start(0.0)
    gateway.apply_endpoint_list(0.0, ListKind.WHOLE, [EndpointEntry("s", EndpointState.READY, 0, 0.0)])

    def take(now: float) -> Request:
        request, _ = gateway.submit(now, 1, "x", "save", "gold", "v", 1, 0, 2.0, now + 1000.0, False)
        return request

    take(0.0).on_attempt_end(30.0, 0, Outcome.SUCCEEDED, True, 30.0)
    request = take(40.0)
    for attempt in range(2):
        request.on_attempt_end(41.0 + attempt, attempt, Outcome.CONNECT_FAILED, False, 1.0)
    assert (
        request.attempt_count == 3
        and not request.closed
        and gateway.nodes.slow_start_since_ms[0] is None
        and not gateway.nodes.unreachable[0]
    )
    request.on_attempt_end(70.0, 2, Outcome.SUCCEEDED, True, 28.0)
    request = take(900.0)
    request.on_attempt_end(901.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
    assert request.closed and request.answer.kind is FinalAnswerKind.REJECTED
    assert gateway.nodes.unreachable[0] and gateway.nodes.slow_start_since_ms[0] == 901.0
