"""The gateway in service and its storage nodes: ends of attempts, reuse and closing of connections."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from helpers import until
from service_rig import OK, SETTINGS, NodePeer, Rig, build_request, respond_with, run_on_rig
from test_service_life import connect_socket, read_status

from pebblehinge.decide import Request, Scheduler
from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import EndpointEntry, EndpointState, FinalAnswerKind, ListKind, Outcome
from pebblehinge.platform_settings import read_settings
from pebblehinge.service import node_connection

NOT_EXECUTED = b"Content-Length: 0\r\nX-Not-Run: 1\r\n\r\n"
# Per case: the behaviour of the node, the outcome, the number of attempts, and the status of a non-idempotent request.
ATTEMPT_ENDS = {
    "an error": (respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "full": (respond_with(b"HTTP/1.1 503 Full\r\n" + NOT_EXECUTED), Outcome.OVERLOADED, 3, 503),
    "deadline exceeded": (respond_with(b"HTTP/1.1 504 Over\r\n" + NOT_EXECUTED), Outcome.OVERLOADED, 3, 503),
    "503 without the mark": (
        respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        Outcome.SERVER_ERROR,
        1,
        502,
    ),
    "500 marked as not executed": (respond_with(b"HTTP/1.1 500 No\r\n" + NOT_EXECUTED), Outcome.SERVER_ERROR, 1, 502),
    "noise": (respond_with(b"\x00\x01noise\r\n\r\n"), Outcome.SERVER_ERROR, 1, 502),
    "3 GB": (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "no length": (respond_with(b"HTTP/1.1 200 OK\r\n\r\nx"), Outcome.SERVER_ERROR, 1, 502),
    "an endless header": (
        respond_with(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000),
        Outcome.SERVER_ERROR,
        1,
        502,
    ),
    "a closed connection": (respond_with(b"", close=True), Outcome.CONNECTION_LOST, 1, 502),
    "a partial answer": (respond_with(OK[:-1], close=True), Outcome.CONNECTION_LOST, 1, 502),
    "nothing": (respond_with(b""), Outcome.TIMED_OUT, 1, 502),
    "a Content-Length that is too large": (respond_with(OK[:-1]), Outcome.TIMED_OUT, 1, 502),
    "a 1xx response before": (
        respond_with(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK),
        Outcome.SUCCEEDED,
        1,
        200,
    ),
    "a second copy": (respond_with(OK + OK), Outcome.SUCCEEDED, 1, 200),
    "noise after the answer": (respond_with(OK + b"\r\n"), Outcome.SUCCEEDED, 1, 200),
    "a close after the answer": (respond_with(OK, close=True), Outcome.SUCCEEDED, 1, 200),
    "a large answer": (
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300_000),
        Outcome.SUCCEEDED,
        1,
        200,
    ),
}


def test_expired_idle_connection_with_unread_data_is_not_closed_nor_another_instead() -> None:
    async def script(rig: Rig) -> None:
        oldest, newest = connect_socket(rig), connect_socket(rig)
        for sock in (oldest, newest):
            sock.sendall(build_request())
            assert await read_status(sock) == b"200"
        registry = rig.gateway.registry
        oldest_conn = next(iter(registry.idle_group))
        oldest_conn.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        oldest.sendall(build_request())
        registry.close_expired(rig.gateway.clock())
        assert len(registry.idle_group) == 2 and not registry.closing_group
        assert await read_status(oldest) == b"200"
        oldest_conn.timeout_start_ms -= registry.IDLE_TIMEOUT_MS
        await until(lambda: len(registry.idle_group) == 1)
        assert await read_status(oldest) == b""

    run_on_rig(script)


# Cases in which the connection stays usable: one complete answer and no data after it.
REUSABLE_CONNECTION_CASES = {
    "an error",
    "full",
    "deadline exceeded",
    "503 without the mark",
    "500 marked as not executed",
    "a 1xx response before",
    "a large answer",
}


@pytest.mark.parametrize("case", ATTEMPT_ENDS)
def test_each_attempt_end_has_the_outcome_of_the_protocol(case: str) -> None:
    async def script(rig: Rig) -> None:
        handle_request, outcome, attempt_count, expected_status = ATTEMPT_ENDS[case]
        rig.storage_nodes[0].handle_request = handle_request
        answer = await rig.fetch(build_request("save", 0, b"abc", X_Deadline_Ms="300"))
        assert answer.status == expected_status and len(rig.storage_nodes[0].received_requests) == attempt_count
        assert {o: n for o, n in rig.gateway.core.outcome_counts.items() if n} == {outcome: attempt_count}
        assert bool(answer.header_values(b"retry-after")) == (expected_status == 503)
        if case not in REUSABLE_CONNECTION_CASES:  # The connection must not be reused.
            await until(lambda: all(c.is_closed for c in rig.storage_nodes[0].peers))
        rig.storage_nodes[0].handle_request = lambda conn, request: conn.write(OK)
        assert (await rig.fetch(build_request())).body == b"ok"
        assert (
            not rig.gateway.core.pending
            and rig.gateway.pools.attempt_count == 0
            and rig.gateway.pools.buffered_bytes == 0
        )

    run_on_rig(script)


def test_failed_connect_counts_as_never_executed() -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].server.close()
        answer = await rig.fetch(build_request("save", 0, b"abc"))
        assert answer.status == 503 and 0.25 <= float(answer.header_values(b"retry-after")[0]) <= 0.5
        assert rig.gateway.core.outcome_counts[Outcome.CONNECT_FAILED] >= 1 and not rig.gateway.core.pending

    run_on_rig(script)


def test_connection_with_unsolicited_data_is_not_reused() -> None:
    """The socket itself is checked, as the event loop may not have read the data yet.

    Otherwise the data would be taken for the next answer.
    """

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = respond_with(OK)
        client = await rig.client()
        client.write(build_request())
        await client.next_answer()
        (first_peer,) = rig.storage_nodes[0].peers
        (conn,) = rig.gateway.pools.nodes["s0"].idle_connections
        assert conn.is_usable()
        first_peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        deadline = time.monotonic() + 2.0
        while conn.is_usable() and time.monotonic() < deadline:
            time.sleep(0.001)  # The event loop must not run, so that only the socket shows the data.
        assert not conn.is_usable()
        rig.gateway.pools.nodes["s0"].idle_connections[:] = [conn]
        client.write(build_request())
        assert (await client.next_answer()).body == b"ok" and len(rig.storage_nodes[0].peers) == 2

    run_on_rig(script)


def test_gateway_counts_agree_with_the_node_records() -> None:
    """Compares attempt durations, attempts in flight and connections with the records of the node."""

    async def script(rig: Rig) -> None:
        loop, durations_ms, node_durations_ms = asyncio.get_running_loop(), [], []
        end_attempt = rig.gateway.end_attempt

        def handle_request(conn: NodePeer, request: HttpRequest) -> None:
            received_s = time.monotonic()

            def answer() -> None:
                conn.write(OK)
                node_durations_ms.append((time.monotonic() - received_s) * 1000.0)

            loop.call_later(0.1, answer)

        def record_attempt_end(pending: Any, attempt: int, outcome: Outcome, duration_ms: float, data: bytes) -> None:
            durations_ms.append(duration_ms)
            end_attempt(pending, attempt, outcome, duration_ms, data)

        rig.gateway.end_attempt = record_attempt_end  # type: ignore[method-assign]
        rig.storage_nodes[0].handle_request = handle_request
        clients = [await rig.client() for _ in range(3)]
        for client in clients:
            client.write(build_request())
        await until(lambda: len(rig.storage_nodes[0].received_requests) == 3)
        assert rig.gateway.pools.attempt_count == 3 == len(rig.gateway.core.scheduler.nodes.in_flight[0])
        assert rig.gateway.pools.connection_count == 3 == len(rig.storage_nodes[0].peers)
        for client in clients:
            await client.next_answer()
        assert len(durations_ms) == 3 and all(
            0.0 <= t - p < 60.0 for t, p in zip(durations_ms, node_durations_ms, strict=True)
        )
        assert rig.gateway.pools.attempt_count == 0 and len(rig.gateway.pools.nodes["s0"].idle_connections) == 3

    run_on_rig(script)


def test_idle_connection_is_closed_before_the_node_may_close_it() -> None:
    async def script(rig: Rig) -> None:
        await rig.fetch(build_request())
        (conn,) = rig.storage_nodes[0].peers
        start_s = time.monotonic()
        await until(lambda: conn.is_closed)
        assert 0.2 < time.monotonic() - start_s < 0.5

    run_on_rig(script, idle_timeout_ms=500.0)


def test_total_size_of_partial_answers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_connection, "MAX_BUFFERED_BYTES", 400_000)

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = respond_with(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 299_000
        )
        first_client = await rig.client()
        first_client.write(build_request("save", 0, b"abc"))
        await until(lambda: rig.gateway.pools.buffered_bytes > 290_000)
        assert (await rig.fetch(build_request("save", 0, b"abc"))).status == 502
        assert rig.gateway.pools.buffered_bytes < 400_000

    run_on_rig(script)


def test_failed_connect_starts_no_slow_start_of_a_responding_node() -> None:
    """Each occasional failure to connect started a slow start of the node, and most of its requests were rejected.

    A node that has been silent still counts as unreachable at once, and as restarted from then on.
    """
    scheduler = Scheduler(read_settings(SETTINGS), 1, 0.0)
    scheduler.start(0.0)
    scheduler.apply_endpoint_list(0.0, ListKind.WHOLE, [EndpointEntry("s", EndpointState.READY, 0, 0.0)])

    def submit_request(now_ms: float) -> Request:
        request, _ = scheduler.submit(now_ms, 1, "x", "save", "gold", "v", 1, 0, 2.0, now_ms + 1000.0, False)
        return request

    submit_request(0.0).on_attempt_end(30.0, 0, Outcome.SUCCEEDED, True, 30.0)
    request = submit_request(40.0)
    for attempt in range(2):
        request.on_attempt_end(41.0 + attempt, attempt, Outcome.CONNECT_FAILED, False, 1.0)
    assert (
        request.attempt_count == 3
        and not request.closed
        and scheduler.nodes.slow_start_since_ms[0] is None
        and not scheduler.nodes.unreachable[0]
    )
    request.on_attempt_end(70.0, 2, Outcome.SUCCEEDED, True, 28.0)
    request = submit_request(900.0)
    request.on_attempt_end(901.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
    assert request.closed and request.answer.kind is FinalAnswerKind.REJECTED
    assert scheduler.nodes.unreachable[0] and scheduler.nodes.slow_start_since_ms[0] == 901.0
