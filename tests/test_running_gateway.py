"""A gateway on sockets: requests, failures of storage nodes, shutdown, changes of the endpoint list."""

from __future__ import annotations

import asyncio
import time

import pytest
from helpers import Attempt, Rig, run_with_rig, until
from raw_frames import LOOK_OPTIONS, NO_ANSWER, SAVE_OPTIONS

from pebblehinge.client import connect
from pebblehinge.wire import Kind, encode


def test_reads_and_writes_reach_the_storage_node_and_are_answered() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer(
            data=b"" if attempt.op else b"bytes of " + attempt.extent.encode()
        )
        client = await rig.client()
        result = await client.read("v", "x", 100, **LOOK_OPTIONS)
        assert (result.final, result.data, result.slot) == ("honoured", b"bytes of v/x", 0)
        assert (await client.write("v", "y", b"abc", **SAVE_OPTIONS)).succeeded
        assert [attempt.data for attempt in rig.nodes[0].attempts] == [b"", b"abc"]

    run_with_rig(script)


def test_write_whose_client_disconnects_is_cancelled_and_not_retried() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        client.write("v", "x", b"1", **SAVE_OPTIONS)
        await until(lambda: rig.nodes[0].attempts)
        client.abort()
        await until(lambda: not rig.gateway.core.pending)
        assert (
            rig.gateway.core.counts.client_gone == 1
            and rig.gateway.core.open_count == 0
            and rig.gateway.core.payload_bytes == 0
        )
        assert rig.nodes[0].recalled_numbers == [rig.nodes[0].attempts[0].number]
        rig.nodes[0].attempts[0].answer()  # its request has ended
        other_client = await rig.client()
        rig.nodes[0].on_attempt = Attempt.answer
        assert (await other_client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].attempts) == 2 and rig.gateway.links["s1"].late_outcome_count == 1

    run_with_rig(script)


def test_non_idempotent_write_to_an_unresponsive_node_fails_once_within_its_timeout() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        result = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert result.final == "terminated" and result.took_ms < 1200.0
        assert len(rig.nodes[0].attempts) == 1

    run_with_rig(script)


def test_outcome_after_the_final_answer_is_dropped() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        events: list[str] = []
        client = await rig.client(observer=lambda event, **_: events.append(event))
        result = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        rig.nodes[0].attempts[0].answer()
        await until(lambda: rig.gateway.links["s1"].late_outcome_count == 1)
        await asyncio.sleep(0.05)
        assert result.final == "terminated" and "extra" not in events

    run_with_rig(script)


def test_write_fails_after_a_partial_outcome_and_is_rejected_if_never_sent() -> None:
    async def script(rig: Rig) -> None:
        def send_partial_outcome(attempt: Attempt) -> None:
            frame = encode(Kind.OUTCOME, attempt.number, 0, "", b"x" * 100)
            attempt.connection.transport.write(frame[:50])
            attempt.connection.loop.call_later(0.02, attempt.connection.abort)

        rig.nodes[0].on_attempt = send_partial_outcome
        client = await rig.client()
        result = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert result.final == "terminated"  # without a whole outcome, the write may have been applied
        rig.nodes[0].crash()
        result = await client.write("v", "x", b"2", **SAVE_OPTIONS)
        # There was no connection, so the write was never sent.
        assert result.final == "pushed back" and 200.0 <= result.stay_ms <= 400.0
        assert len(rig.nodes[0].attempts) == 1

    run_with_rig(script)


def test_attempt_on_a_connection_without_a_greeting_counts_as_never_sent() -> None:
    """The kernel accepts connections for a stopped process; without its greeting, no request is sent to it."""

    async def script(rig: Rig) -> None:
        node = rig.nodes[0]
        node.server.close()
        host, _, port = node.address.rpartition(":")
        silent_server = await rig.loop.create_server(asyncio.Protocol, host, int(port))
        client = await rig.client()
        result = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert result.final == "pushed back" and 200 < result.took_ms < 600
        silent_server.close()

    run_with_rig(script)


def test_read_after_an_unannounced_restart_of_the_storage_node_succeeds() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        rig.nodes[0].crash()
        await rig.nodes[0].start()
        await until(lambda: rig.gateway.links["s1"].connection is None)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].attempts) == 2

    run_with_rig(script)


def test_retry_of_a_write_in_flight_when_the_gateway_was_killed_succeeds_after_its_restart() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        lost_write = client.write("v", "x", b"1", **SAVE_OPTIONS)
        await until(lambda: rig.nodes[0].attempts)
        rig.kill_gateway()
        assert (await lost_write).final == "lost"
        await rig.start_gateway()  # the new gateway does not know the request
        assert rig.gateway.core.open_count == 0
        rig.nodes[0].on_attempt = Attempt.answer
        new_client = await rig.client()
        result = await new_client.write("v", "x", b"1", again=True, **SAVE_OPTIONS)
        assert result.succeeded and len(rig.nodes[0].attempts) == 2

    run_with_rig(script)


def test_shutdown_while_a_storage_node_is_unresponsive_answers_every_request_first() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        pending = [client.write("v", f"x{i}", b"1", **SAVE_OPTIONS) for i in range(6)]
        pending.append(client.read("v", "y", 1, **LOOK_OPTIONS))
        await until(lambda: rig.nodes[0].attempts)
        rig.gateway.stop("SIGTERM")
        await until(lambda: client.stopping)
        with pytest.raises(OSError):
            await connect(rig.config.head["h1"].listen, loop=rig.loop, within_ms=300)
        rejected = await client.read("v", "z", 1, profile="look", slot=1, units=1.0, patience_ms=500.0)
        assert rejected.final == "pushed back" and "stopping" in rejected.reason
        final_statuses = [(await request).final for request in pending]
        assert set(final_statuses) <= {"pushed back", "terminated"} and len(final_statuses) == 7
        await asyncio.wait_for(rig.gateway.stopped, 5.0)

    run_with_rig(script)


def test_request_sent_before_the_shutdown_notice_arrives_is_answered() -> None:
    """A gateway without open requests used to close at once and lose a request just sent, as in a rolling release."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        await until(lambda: rig.gateway.client_connections)
        rig.gateway.stop("SIGTERM")
        result = await client.read("v", "x", 1, **LOOK_OPTIONS)  # written before STOPPING was read
        assert result.final == "pushed back" and "stopping" in result.reason
        await asyncio.wait_for(rig.gateway.stopped, 5.0)

    run_with_rig(script)


def test_live_node_that_the_endpoint_list_calls_gone_is_not_used_until_it_is_listed_again() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        rig.discovery.control("list-wrong", {"shelf": "s1"})
        await until(lambda: 0 not in rig.gateway.core.scheduler.nodes.node_at_slot)
        result = await client.read("v", "x", 1, **LOOK_OPTIONS)
        assert result.final == "pushed back" and not rig.nodes[0].attempts
        rig.discovery.control("list-wrong", {"shelf": "s1", "off": 1})
        await until(lambda: 0 in rig.gateway.core.scheduler.nodes.node_at_slot)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    run_with_rig(script)


def test_answer_that_crosses_a_cancellation_is_not_counted_as_a_second_answer() -> None:
    """The client used to count it as one, although the gateway had not read the CANCEL yet."""

    async def script(rig: Rig) -> None:
        events: list[str] = []
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client(observer=lambda event, **_: events.append(event))
        request = client.read("v", "x", 1, **LOOK_OPTIONS)
        await until(lambda: rig.nodes[0].attempts)
        rig.nodes[0].attempts[0].answer()
        await until(lambda: rig.gateway.core.counts.succeeded == 1)
        request.cancel()
        await asyncio.sleep(0.05)
        assert "extra" not in events and not client.open_requests

    run_with_rig(script)


def test_half_open_connection_is_replaced_after_the_first_timeout() -> None:
    """Half-open connections used to stay until the keep-alive ended them, 15 s, and every attempt on them was lost."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        connection = rig.nodes[0].connections[0]
        connection.session.feed = lambda data: None  # type: ignore[method-assign]
        rejected = await client.read("v", "x", 1, **LOOK_OPTIONS)
        assert rejected.final == "pushed back"
        await until(lambda: rig.gateway.links["s1"].connection is None)
        await asyncio.sleep(0.3)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].connections) == 2

    run_with_rig(script)


def test_jumps_of_the_wall_clock_do_not_affect_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    async def script(rig: Rig) -> None:
        wall_time_s = time.time()
        monkeypatch.setattr(time, "time", lambda: wall_time_s - 86_400.0)
        rig.nodes[0].on_attempt = lambda attempt: rig.loop.call_later(0.05, attempt.answer)
        client = await rig.client()
        request = client.read("v", "x", 1, **LOOK_OPTIONS)
        monkeypatch.setattr(time, "time", lambda: wall_time_s + 86_400.0)
        result = await request
        assert result.succeeded and 40 < result.took_ms < 400

    run_with_rig(script)
