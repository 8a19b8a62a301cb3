"""The head in service towards shelfs: each way an attempt ends, connections kept and given up."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from helpers import until
from service_rig import OK, SETTINGS, Rig, ShelfPeer, answers, ask, on_rig
from test_service_life import connect, status

from pebblehinge.decide import Request, Scheduler
from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import EndpointEntry, EndpointState, FinalAnswerKind, ListKind, Outcome
from pebblehinge.platform_settings import read_settings
from pebblehinge.service import node_connection

NOT_RUN = b"Content-Length: 0\r\nX-Not-Run: 1\r\n\r\n"
# what a shelf does: the outcome, the attempts it takes, and what the client of an non-idempotent request is told
ENDS = {
    "an error": (answers(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "full": (answers(b"HTTP/1.1 503 Full\r\n" + NOT_RUN), Outcome.OVERLOADED, 3, 503),
    "over already": (answers(b"HTTP/1.1 504 Over\r\n" + NOT_RUN), Outcome.OVERLOADED, 3, 503),
    "503 that does not say so": (
        answers(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        Outcome.SERVER_ERROR,
        1,
        502,
    ),
    "500 that says it has not run": (answers(b"HTTP/1.1 500 No\r\n" + NOT_RUN), Outcome.SERVER_ERROR, 1, 502),
    "noise": (answers(b"\x00\x01noise\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "3 GB": (answers(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "no length": (answers(b"HTTP/1.1 200 OK\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "a head without end": (answers(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000), Outcome.SERVER_ERROR, 1, 502),
    "a break": (answers(b"", close=True), Outcome.CONNECTION_LOST, 1, 502),
    "half an answer": (answers(OK[:-1], close=True), Outcome.CONNECTION_LOST, 1, 502),
    "nothing": (answers(b""), Outcome.TIMED_OUT, 1, 502),
    "a length too long": (answers(OK[:-1]), Outcome.TIMED_OUT, 1, 502),
    "1xx in front": (answers(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK), Outcome.SUCCEEDED, 1, 200),
    "a second copy": (answers(OK + OK), Outcome.SUCCEEDED, 1, 200),
    "noise behind": (answers(OK + b"\r\n"), Outcome.SUCCEEDED, 1, 200),
    "an end behind": (answers(OK, close=True), Outcome.SUCCEEDED, 1, 200),
    "a large answer": (
        answers(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300_000),
        Outcome.SUCCEEDED,
        1,
        200,
    ),
}


def test_an_idle_connection_over_its_time_is_not_closed_over_what_lies_unread_and_no_other_instead() -> None:
    async def script(rig: Rig) -> None:
        old, young = connect(rig), connect(rig)
        for raw in (old, young):
            raw.sendall(ask())
            assert await status(raw) == b"200"
        registry = rig.head.registry
        first = next(iter(registry.idle_group))
        first.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        old.sendall(ask())
        registry.close_expired(rig.head.clock())
        assert len(registry.idle_group) == 2 and not registry.closing_group
        assert await status(old) == b"200"
        first.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        await until(lambda: len(registry.idle_group) == 1)
        assert await status(old) == b""

    on_rig(script)


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
        does, outcome, attempts, status = ENDS[what]
        rig.shelfs[0].does = does
        answer = await rig.ask(ask("save", 0, b"abc", X_Deadline_Ms="300"))
        assert answer.status == status and len(rig.shelfs[0].asked) == attempts
        assert {o: n for o, n in rig.head.core.outcome_counts.items() if n} == {outcome: attempts}
        assert bool(answer.header_values(b"retry-after")) == (status == 503)
        if what not in KEEPS:  # its connection is of no further use
            await until(lambda: all(c.lost for c in rig.shelfs[0].conns))
        rig.shelfs[0].does = lambda conn, r: conn.write(OK)
        assert (await rig.ask(ask())).body == b"ok"
        assert not rig.head.core.pending and rig.head.pools.attempt_count == 0 and rig.head.pools.buffered_bytes == 0

    on_rig(script)


def test_a_connection_that_can_not_be_made_has_never_run_anything() -> None:
    async def script(rig: Rig) -> None:
        rig.shelfs[0].server.close()
        answer = await rig.ask(ask("save", 0, b"abc"))
        assert answer.status == 503 and 0.25 <= float(answer.header_values(b"retry-after")[0]) <= 0.5
        assert rig.head.core.outcome_counts[Outcome.CONNECT_FAILED] >= 1 and not rig.head.core.pending

    on_rig(script)


def test_a_connection_on_which_something_came_unasked_is_not_used_again() -> None:
    """Even where the loop has not read it yet: the socket itself is looked at. Else what came would pass for the
    next answer."""

    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = answers(OK)
        client = await rig.client()
        client.write(ask())
        await client.answer()
        (first,) = rig.shelfs[0].conns
        (conn,) = rig.head.pools.nodes["s0"].idle_connections
        assert conn.is_usable()
        first.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        deadline = time.monotonic() + 2.0
        while conn.is_usable() and time.monotonic() < deadline:
            time.sleep(0.001)  # the loop must not run: it is the socket that tells
        assert not conn.is_usable()
        rig.head.pools.nodes["s0"].idle_connections[:] = [conn]
        client.write(ask())
        assert (await client.answer()).body == b"ok" and len(rig.shelfs[0].conns) == 2

    on_rig(script)


def test_what_the_head_believes_is_what_passes_on_the_sockets() -> None:
    """The time an attempt took, attempts out and connections, against the shelf's own record."""

    async def script(rig: Rig) -> None:
        loop, took, peer = asyncio.get_running_loop(), [], []
        ended = rig.head.end_attempt

        def does(conn: ShelfPeer, request: HttpRequest) -> None:
            came = time.monotonic()

            def answer() -> None:
                conn.write(OK)
                peer.append((time.monotonic() - came) * 1000.0)

            loop.call_later(0.1, answer)

        def seen(pending: Any, attempt: int, outcome: Outcome, took_ms: float, data: bytes) -> None:
            took.append(took_ms)
            ended(pending, attempt, outcome, took_ms, data)

        rig.head.end_attempt = seen  # type: ignore[method-assign]
        rig.shelfs[0].does = does
        open_ = [await rig.client() for _ in range(3)]
        for client in open_:
            client.write(ask())
        await until(lambda: len(rig.shelfs[0].asked) == 3)
        assert rig.head.pools.attempt_count == 3 == len(rig.head.core.scheduler.nodes.in_flight[0])
        assert rig.head.pools.connection_count == 3 == len(rig.shelfs[0].conns)
        for client in open_:
            await client.answer()
        assert len(took) == 3 and all(0.0 <= t - p < 60.0 for t, p in zip(took, peer, strict=True))
        assert rig.head.pools.attempt_count == 0 and len(rig.head.pools.nodes["s0"].idle_connections) == 3

    on_rig(script)


def test_an_idle_connection_is_given_up_before_the_shelf_may_close_it() -> None:
    async def script(rig: Rig) -> None:
        await rig.ask(ask())
        (conn,) = rig.shelfs[0].conns
        began = time.monotonic()
        await until(lambda: conn.lost)
        assert 0.2 < time.monotonic() - began < 0.5

    on_rig(script, idle_timeout_ms=500.0)


def test_unfinished_answers_are_bounded_together(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_connection, "MAX_BUFFERED_BYTES", 400_000)

    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = answers(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 299_000)
        first = await rig.client()
        first.write(ask("save", 0, b"abc"))
        await until(lambda: rig.head.pools.buffered_bytes > 290_000)
        assert (await rig.ask(ask("save", 0, b"abc"))).status == 502
        assert rig.head.pools.buffered_bytes < 400_000

    on_rig(script)


def test_a_connection_that_could_not_be_made_makes_no_answering_shelf_cold() -> None:
    """Where new connections break here and there, each made its shelf cold and most of its requests were refused.
    One that has been silent is still found gone at once, and from then on counts as restarted."""
    head = Scheduler(read_settings(SETTINGS), 1, 0.0)
    head.start(0.0)
    head.apply_endpoint_list(0.0, ListKind.WHOLE, [EndpointEntry("s", EndpointState.READY, 0, 0.0)])

    def take(now: float) -> Request:
        request, _ = head.submit(now, 1, "x", "save", "gold", "v", 1, 0, 2.0, now + 1000.0, False)
        return request

    take(0.0).on_attempt_end(30.0, 0, Outcome.SUCCEEDED, True, 30.0)
    request = take(40.0)
    for attempt in range(2):
        request.on_attempt_end(41.0 + attempt, attempt, Outcome.CONNECT_FAILED, False, 1.0)
    assert (
        request.attempt_count == 3
        and not request.closed
        and head.nodes.slow_start_since_ms[0] is None
        and not head.nodes.unreachable[0]
    )
    request.on_attempt_end(70.0, 2, Outcome.SUCCEEDED, True, 28.0)
    request = take(900.0)
    request.on_attempt_end(901.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
    assert request.closed and request.answer.kind is FinalAnswerKind.REJECTED
    assert head.nodes.unreachable[0] and head.nodes.slow_start_since_ms[0] == 901.0
