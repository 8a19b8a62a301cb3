"""The running head on sockets: requests, shelfs that fail, stops, lists."""

from __future__ import annotations

import asyncio
import time

import pytest
from helpers import Attempt, Rig, run_with_rig, until
from raw_frames import LOOK_OPTIONS, NO_ANSWER, SAVE_OPTIONS

from pebblehinge.client import connect
from pebblehinge.wire import Kind, encode


def test_reads_and_writes_reach_the_shelf_and_come_back() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = lambda attempt: attempt.answer(
            data=b"" if attempt.op else b"bytes of " + attempt.extent.encode()
        )
        client = await rig.client()
        got = await client.read("v", "x", 100, **LOOK_OPTIONS)
        assert (got.final, got.data, got.slot) == ("honoured", b"bytes of v/x", 0)
        assert (await client.write("v", "y", b"abc", **SAVE_OPTIONS)).succeeded
        assert [t.data for t in rig.nodes[0].attempts] == [b"", b"abc"]

    run_with_rig(script)


def test_client_that_disconnects_with_a_write_out_is_left_and_nothing_goes_again() -> None:
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
        rig.nodes[0].attempts[0].answer()  # an answer to nobody
        other = await rig.client()
        rig.nodes[0].on_attempt = Attempt.answer
        assert (await other.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].attempts) == 2 and rig.gateway.links["s1"].late_outcome_count == 1

    run_with_rig(script)


def test_silent_shelf_ends_an_non_idempotent_write_once_terminated_in_its_own_time() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        got = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert got.final == "terminated" and got.took_ms < 1200.0
        assert len(rig.nodes[0].attempts) == 1

    run_with_rig(script)


def test_an_answer_after_the_final_answer_is_dropped() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        extra: list[str] = []
        client = await rig.client(observer=lambda event, **_: extra.append(event))
        got = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        rig.nodes[0].attempts[0].answer()
        await until(lambda: rig.gateway.links["s1"].late_outcome_count == 1)
        await asyncio.sleep(0.05)
        assert got.final == "terminated" and "extra" not in extra

    run_with_rig(script)


def test_reset_after_half_a_frame_may_have_run_and_an_unwritten_attempt_never_did() -> None:
    async def script(rig: Rig) -> None:
        def half(attempt: Attempt) -> None:
            frame = encode(Kind.OUTCOME, attempt.number, 0, "", b"x" * 100)
            attempt.connection.transport.write(frame[:50])
            attempt.connection.loop.call_later(0.02, attempt.connection.abort)

        rig.nodes[0].on_attempt = half
        client = await rig.client()
        got = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert got.final == "terminated"  # half an outcome is none: it may have run
        rig.nodes[0].crash()
        got = await client.write("v", "x", b"2", **SAVE_OPTIONS)
        assert got.final == "pushed back" and 200.0 <= got.stay_ms <= 400.0  # no connection: it never ran
        assert len(rig.nodes[0].attempts) == 1

    run_with_rig(script)


def test_connection_accepted_but_never_greeted_counts_as_never_run() -> None:
    """A stopped process has its connections accepted by the system: no greeting, so no byte of a request went."""

    async def script(rig: Rig) -> None:
        shelf = rig.nodes[0]
        shelf.server.close()
        host, _, port = shelf.address.rpartition(":")
        mute = await rig.loop.create_server(asyncio.Protocol, host, int(port))
        client = await rig.client()
        got = await client.write("v", "x", b"1", **SAVE_OPTIONS)
        assert got.final == "pushed back" and 200 < got.took_ms < 600
        mute.close()

    run_with_rig(script)


def test_shelf_restarted_untold_between_two_attempts() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        rig.nodes[0].crash()
        await rig.nodes[0].start()
        await until(lambda: rig.gateway.links["s1"].connection is None)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].attempts) == 2

    run_with_rig(script)


def test_head_killed_with_a_write_out_and_the_retry_comes_to_the_restarted_one() -> None:
    async def script(rig: Rig) -> None:
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client()
        lost = client.write("v", "x", b"1", **SAVE_OPTIONS)
        await until(lambda: rig.nodes[0].attempts)
        rig.kill_gateway()
        assert (await lost).final == "lost"
        await rig.start_gateway()  # nothing of before is assumed: the request is not known here
        assert rig.gateway.core.open_count == 0
        rig.nodes[0].on_attempt = Attempt.answer
        again = await rig.client()
        got = await again.write("v", "x", b"1", again=True, **SAVE_OPTIONS)
        assert got.succeeded and len(rig.nodes[0].attempts) == 2

    run_with_rig(script)


def test_stop_while_a_shelf_is_silent_gives_every_request_its_answer_first() -> None:
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
        refused = await client.read("v", "z", 1, profile="look", slot=1, units=1.0, patience_ms=500.0)
        assert refused.final == "pushed back" and "stopping" in refused.reason
        finals = [(await p).final for p in pending]
        assert set(finals) <= {"pushed back", "terminated"} and len(finals) == 7
        await asyncio.wait_for(rig.gateway.stopped, 5.0)

    run_with_rig(script)


def test_request_sent_while_the_stop_is_on_its_way_is_answered_not_lost() -> None:
    """A head with nothing open closed at once and lost what its client had just sent: found by rolling-release."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        await until(lambda: rig.gateway.client_connections)
        rig.gateway.stop("SIGTERM")
        got = await client.read("v", "x", 1, **LOOK_OPTIONS)  # written before STOPPING was read
        assert got.final == "pushed back" and "stopping" in got.reason
        await asyncio.wait_for(rig.gateway.stopped, 5.0)

    run_with_rig(script)


def test_list_that_calls_a_live_shelf_gone_is_obeyed_and_the_shelf_comes_back() -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        rig.discovery.control("list-wrong", {"shelf": "s1"})
        await until(lambda: 0 not in rig.gateway.core.scheduler.nodes.node_at_slot)
        got = await client.read("v", "x", 1, **LOOK_OPTIONS)
        assert got.final == "pushed back" and not rig.nodes[0].attempts
        rig.discovery.control("list-wrong", {"shelf": "s1", "off": 1})
        await until(lambda: 0 in rig.gateway.core.scheduler.nodes.node_at_slot)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded

    run_with_rig(script)


def test_an_answer_that_crosses_its_clients_leaving_is_no_second_answer() -> None:
    """Found by search: the client counted it as one, though the head had not read the CANCEL yet."""

    async def script(rig: Rig) -> None:
        noted: list[str] = []
        rig.nodes[0].on_attempt = NO_ANSWER
        client = await rig.client(observer=lambda event, **_: noted.append(event))
        future = client.read("v", "x", 1, **LOOK_OPTIONS)
        await until(lambda: rig.nodes[0].attempts)
        rig.nodes[0].attempts[0].answer()
        await until(lambda: rig.gateway.core.counts.succeeded == 1)
        future.cancel()
        await asyncio.sleep(0.05)
        assert "extra" not in noted and not client.open_requests

    run_with_rig(script)


def test_a_connection_that_swallows_all_is_made_anew_at_the_first_silence() -> None:
    """Found by search: half-open connections stood until the keep-alive, 15 s, and every attempt on them was lost."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        conn = rig.nodes[0].connections[0]
        conn.session.feed = lambda data: None  # type: ignore[method-assign]
        lost = await client.read("v", "x", 1, **LOOK_OPTIONS)
        assert lost.final == "pushed back"
        await until(lambda: rig.gateway.links["s1"].connection is None)
        await asyncio.sleep(0.3)
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        assert len(rig.nodes[0].connections) == 2

    run_with_rig(script)


def test_wall_clock_that_jumps_moves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def script(rig: Rig) -> None:
        wall = time.time()
        monkeypatch.setattr(time, "time", lambda: wall - 86_400.0)
        rig.nodes[0].on_attempt = lambda attempt: rig.loop.call_later(0.05, attempt.answer)
        client = await rig.client()
        first = client.read("v", "x", 1, **LOOK_OPTIONS)
        monkeypatch.setattr(time, "time", lambda: wall + 86_400.0)
        got = await first
        assert got.succeeded and 40 < got.took_ms < 400

    run_with_rig(script)
