"""Two events in one instant, each order forced: timers and what they time, and the shutdown."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from pathlib import Path

import pytest
from gate import Gate
from helpers import LOOPBACK, until
from service_rig import CONFIG, OK, SETTINGS, Rig, ShelfPeer, answers, ask, on_rig
from test_service_life import connect, slow_reader, status

from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import Outcome

# ---- a timer and its event in one turn


@pytest.mark.parametrize("first", ["the connection", "its time"])
def test_a_connection_that_comes_up_as_its_time_is_over_is_used_or_closed_once(first: str) -> None:
    async def script(rig: Rig) -> None:
        shelfs, gate, dials = rig.head.pools, Gate(rig.head.loop), []
        shelfs.loop = gate  # type: ignore[assignment]
        late = shelfs._cancel_connecting
        shelfs._cancel_connecting = lambda dial: dials.append(dial)  # type: ignore[method-assign]
        client = await rig.client()
        client.write(ask(X_Deadline_Ms="800"))
        await until(lambda: dials)
        shelfs._cancel_connecting = late  # type: ignore[method-assign]
        acts = [gate.opens.set, lambda: late(dials[0])]
        for act in acts if first == "the connection" else acts[::-1]:
            act()
        answer = await client.answer()
        assert answer.status in (200, 503)
        await until(lambda: not shelfs.attempt_count and not shelfs.dialing_count)
        kept = len(shelfs.nodes["s0"].idle_connections)
        await until(lambda: shelfs.connection_count == kept)
        assert rig.head.core.outcome_counts[Outcome.SUCCEEDED] == (answer.status == 200)

    on_rig(script, connect_timeout_ms=30.0)


@pytest.mark.parametrize("first", ["the answer", "its time"])
def test_an_answer_that_comes_as_its_time_is_over_is_one_answer(first: str) -> None:
    async def script(rig: Rig) -> None:
        held: list[ShelfPeer] = []
        rig.shelfs[0].does = lambda conn, request: held.append(conn)
        client = await rig.client()
        client.write(ask("save", 0, b"abc"))
        await until(lambda: held)
        (pending,) = rig.head.core.pending.values()
        held[0].write(OK)
        if first == "its time":
            rig.head.pools._time_out_attempt(pending.attempt)
        else:
            time.sleep(0.02)
            await until(lambda: not rig.head.core.pending)
        assert (await client.answer()).status == (502 if first == "its time" else 200)
        await asyncio.sleep(0.02)
        assert (
            len(client.answers) == 1 and sum(rig.head.core.outcome_counts.values()) == 1 and not rig.head.core.pending
        )

    on_rig(script)


def test_a_pooled_connection_that_ends_as_it_is_to_be_used_is_not() -> None:
    """The loop has not read it yet: the socket tells."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        client.write(ask("save", 0, b"abc"))
        await client.answer()
        (conn,) = rig.shelfs[0].conns
        client.write(ask("save", 0, b"abc"))
        with socket.socket(fileno=conn.transport.get_extra_info("socket").fileno()) as own:
            own.shutdown(socket.SHUT_WR)  # now, not when the loop comes to it
            own.detach()
        assert (await client.answer()).status == 200 and len(rig.shelfs[0].conns) == 2
        assert rig.head.core.outcome_counts[Outcome.CONNECTION_LOST] == 0

    on_rig(script)


def reset(data: bytes):  # type: ignore[no-untyped-def]
    def does(conn: ShelfPeer, request: HttpRequest) -> None:
        sock = conn.transport.get_extra_info("socket")
        conn.write(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        asyncio.get_running_loop().call_later(0.01, conn.transport.abort)

    return does


HEAD = b"HTTP/1.1 200 OK\r\n"
SPOILT = {
    "no length and a reset": reset(HEAD + b"\r\nok"),
    "no length and an end": answers(HEAD + b"\r\nok", close=True),
    "cut in its head": answers(HEAD + b"Content-Le", close=True),
    "cut in a chunk": answers(HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", close=True),
    "cut before the last chunk": answers(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", close=True),
    "cut in its body by a reset": reset(HEAD + b"Content-Length: 5\r\n\r\nok"),
    "two lengths": answers(HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!"),
    "a length and chunks": answers(HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    "a status too large": answers(b"HTTP/1.1 1200 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small": answers(b"HTTP/1.1 020 OK\r\nContent-Length: 2\r\n\r\nok"),
    "a status too small and no length": answers(b"HTTP/1.1 099 OK\r\n\r\nok"),
    "a status no class knows": answers(b"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok"),
    "1xx without end": answers(b"HTTP/1.1 103 Hints\r\n\r\n" * 50 + OK),
    "too long": answers(
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"10000\r\n"
        + b"x" * 65536
        + b"\r\n" * 1
        + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 20
    ),
    "chunks of one byte without end": answers(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 200_000),
}


@pytest.mark.parametrize("what", SPOILT)
def test_a_spoilt_answer_is_passed_on_to_nobody_and_may_have_run(what: str) -> None:
    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = SPOILT[what]
        answer = await rig.ask(ask("save", 0, b"abc", X_Deadline_Ms="400"))
        assert answer.status == 502 and answer.body == b"" and len(rig.shelfs[0].asked) == 1
        await until(lambda: rig.head.pools.buffered_bytes == 0 and rig.head.pools.connection_count == 0)
        rig.shelfs[0].does = lambda conn, request: conn.write(OK)
        assert (await rig.ask(ask("save", 0, b"abc"))).body == b"ok"

    on_rig(script)


# ---- the shutdown


def test_an_answer_that_is_partly_written_goes_out_whole_before_the_end() -> None:
    async def script(rig: Rig) -> None:
        body = bytes(range(256)) * 800
        rig.shelfs[0].does = lambda conn, request: conn.write(HEAD + b"Content-Length: 204800\r\n\r\n" + body)
        raw, conn = await slow_reader(rig)
        assert conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        raw.sendall(ask())
        await until(lambda: conn.write_paused)
        rig.head.shutdown.begin()
        await asyncio.sleep(1.2)  # past the kill, which may come late
        assert not rig.head.stopped_future.done()
        raw.settimeout(5.0)

        def read() -> bytes:
            got = b""
            while piece := raw.recv(65536):
                got += piece
            return got

        got = await asyncio.to_thread(read)
        await rig.head.stopped_future
        assert got.endswith(body)
        raw.close()

    on_rig(script, longest_wait_ms=400.0)


def test_a_reload_beside_the_end_changes_neither_the_end_nor_what_is_owed(tmp_path: Path) -> None:
    async def script(rig: Rig) -> None:
        rig.shelfs[0].does = lambda conn, request: None
        client, kept = await rig.client(), connect(rig)
        client.write(ask(X_Deadline_Ms="9000"))
        await until(lambda: rig.shelfs[0].asked)
        file = tmp_path / "config.json"
        less = {
            **SETTINGS,
            "classes": SETTINGS["classes"][1:],
            "family_info": {**SETTINGS["family_info"], "writes": [True]},
        }
        file.write_text(json.dumps({**CONFIG, "discovery": f"{LOOPBACK}:{rig.discovery.port}", "settings": less}))
        rig.head.path = str(file)
        rig.head.reload()
        rig.head.shutdown.begin()
        rig.head.reload()
        rig.head.shutdown.begin()
        kept.sendall(ask())  # its class is gone
        assert await status(kept) == b"400"
        assert (await client.answer()).status == 503
        await rig.head.stopped_future
        assert rig.head.core.open_count == 0 and not rig.head.core.pending

    on_rig(script, longest_wait_ms=400.0)
