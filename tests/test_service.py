"""The head in service: what clients send, and what they are told."""

from __future__ import annotations

import asyncio

import pytest
from helpers import LOOPBACK, until
from service_rig import OK, NodePeer, Rig, build_request, run_on_rig

from pebblehinge.http1 import HttpRequest
from pebblehinge.service import client_connection, connection_registry


def test_a_request_reaches_its_shelf_unchanged_and_its_answer_comes_back() -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[1].handle_request = lambda conn, r: conn.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + r.body
        )
        client = await rig.client()
        client.write(build_request("save", 1, b"a\nb", X_Request_Id="9b1f03aa5c7e2d41"))
        answer = await client.next_answer()
        assert (answer.status, answer.body) == (200, b"a\nb") and not client.is_closed
        ((_, request),) = rig.storage_nodes[1].received_requests
        assert (request.method, request.target, request.body) == (b"PUT", b"/save/x?a=1", b"a\nb")
        assert request.header_values(b"x-request-id") == [b"9b1f03aa5c7e2d41"]
        assert 0 < int(request.header_values(b"x-deadline-ms")[0]) <= 900
        assert (
            rig.gateway.core.open_count == 0
            and not rig.gateway.core.pending
            and not rig.gateway.registry.open_request_ids
        )

    run_on_rig(script)


def test_what_a_client_says_to_its_shelf_is_passed_on_and_what_it_says_to_the_head_is_not() -> None:
    """Only headers that the page of the protocol names were: the key by which a shelf knows a repeat was lost."""

    async def script(rig: Rig) -> None:
        more = {"Idempotency-Key": "5f1c", "X-Odd": "ab", "Connection": "X-Mine, X-IO", "X-Mine": "1", "TE": "x"}
        assert (await rig.fetch(build_request("save", 0, b"abc", **more))).status == 200
        ((_, request),) = rig.storage_nodes[0].received_requests
        assert request.header_values(b"idempotency-key") == [b"5f1c"] and request.header_values(b"x-odd") == [b"ab"]
        assert request.header_values(b"x-io")
        names = [name for name, _ in request.headers]
        assert not {b"connection", b"x-mine", b"te"} & set(names) and len(names) == len(set(names))

    run_on_rig(script)


def test_requests_sent_ahead_in_any_pieces_are_answered_in_order() -> None:
    async def script(rig: Rig) -> None:
        held: list[tuple[NodePeer, HttpRequest]] = []
        rig.storage_nodes[0].handle_request = lambda conn, r: held.append((conn, r))
        client = await rig.client()
        data = b"".join(build_request(shard=0, Cookie=f"a=b; block={i:016x}") for i in range(3)) + build_request(
            "save", 1, b"x" * 5000
        )
        for at in range(0, len(data), 7):
            client.write(data[at : at + 7])
        for n in range(3):
            await until(lambda n=n: len(held) == n + 1)
            conn, request = held[n]
            body = request.header_values(b"cookie")[0][-1:]
            conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
        assert [(await client.next_answer()).body for _ in range(4)] == [b"0", b"1", b"2", b"ok"]
        assert len(rig.storage_nodes[0].peers) == 1  # one connection served them all

    run_on_rig(script)


def test_what_is_sent_ahead_is_bounded() -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, r: None
        client = await rig.client()
        client.write(build_request() + b"".join(build_request() for _ in range(20_000)))
        await until(lambda: rig.storage_nodes[0].received_requests)
        (conn,), most = rig.gateway.registry.active_group, 0
        for _ in range(100):  # all of it is read, and nothing kept beyond the bound
            most = max(most, len(conn.parser.buffer))
            await asyncio.sleep(0.002)
        assert (
            most <= client_connection.MAX_PIPELINED_BYTES
            and conn.input_overflowed
            and not client.transport.get_write_buffer_size()
        )
        rig.storage_nodes[0].handle_request = lambda conn, r: conn.write(OK)
        rig.storage_nodes[0].peers[0].write(OK)
        await until(lambda: client.is_closed)
        kept = client_connection.MAX_PIPELINED_BYTES // len(build_request())
        assert [a.status for a in client.answers] == [200] * (len(client.answers) - 1) + [413]
        assert kept <= len(client.answers) <= kept + 2

    run_on_rig(script)


BAD = {
    "no id": (build_request(X_Request_Id=None), 400),
    "an id out of form": (build_request(X_Request_Id="a b"), 400),
    "a deadline that is no number": (build_request(X_Deadline_Ms="soon"), 400),
    "a negative deadline": (build_request(X_Deadline_Ms="-5"), 400),
    "a deadline with a point": (build_request(X_Deadline_Ms="1e3"), 400),
    "an unknown class": (build_request(X_Class="nothing", path="/nothing"), 400),
    "class and path disagree": (build_request(path="/save/x"), 400),
    "an unknown plan": (build_request(X_Plan="tin"), 400),
    "no block": (build_request(Cookie="a=b"), 400),
    "a block out of form": (build_request(Cookie="block=xyz"), 400),
    "no units": (build_request(X_IO="volume=00000003b4d60021,shard=0,hosts=1"), 400),
    "units that are negative": (build_request(X_IO="volume=00000003b4d60021,units=-2,shard=0,hosts=1"), 400),
    "units beyond the most": (build_request(X_IO="volume=00000003b4d60021,units=7,shard=0,hosts=1"), 400),
    "a volume out of form": (build_request(X_IO="volume=3,units=2,shard=0,hosts=1"), 400),
    "no such shard": (build_request(shard=9), 400),
    "no hosts": (build_request(X_IO="volume=00000003b4d60021,units=2,shard=0,hosts=0"), 400),
    "a value told twice": (build_request(X_IO="volume=00000003b4d60021,units=2,units=2,shard=0,hosts=1"), 400),
    "a header told twice": (build_request().replace(b"\r\n\r\n", b"\r\nX-Plan: gold\r\n\r\n"), 400),
    "another method": (build_request(method="POST"), 405),
    "a read with a body": (build_request(Content_Length="2") + b"ab", 400),
    "a retry out of form": (build_request(X_Retry="yes"), 400),
    "no host": (build_request(Host=None), 400),
    "another version": (build_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
    "both lengths": (build_request("save", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
    "a body too large": (build_request("save", Content_Length="60000000"), 413),
    "noise": (b"\x16\x03\x01\x02\x00", 400),
}


@pytest.mark.parametrize("what", BAD)
def test_what_is_not_in_the_form_gets_an_error_and_is_not_passed_on(what: str) -> None:
    async def script(rig: Rig) -> None:
        data, status = BAD[what]
        client = await rig.client()
        client.write(data + build_request())  # what waits behind it is not read either
        assert (await client.next_answer()).status == status
        await until(lambda: client.is_closed)
        assert not any(s.received_requests for s in rig.storage_nodes) and len(client.answers) == 1
        assert (await rig.fetch(build_request())).status == 200

    run_on_rig(script)


def test_an_id_that_is_open_is_refused_and_free_again_after_its_answer() -> None:
    async def script(rig: Rig) -> None:
        held: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, r: held.append(conn)
        first = await rig.client()
        first.write(build_request(X_Request_Id="feedfeedfeedfeed"))
        await until(lambda: held)
        assert (await rig.fetch(build_request(X_Request_Id="feedfeedfeedfeed"))).status == 400
        held[0].write(OK)
        assert (await first.next_answer()).status == 200 and len(rig.storage_nodes[0].received_requests) == 1
        rig.storage_nodes[0].handle_request = lambda conn, r: conn.write(OK)
        assert (await rig.fetch(build_request(X_Request_Id="feedfeedfeedfeed"))).status == 200

    run_on_rig(script)


def test_half_a_request_and_silence_come_to_an_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_registry.ConnectionRegistry, "READ_TIMEOUT_MS", 150.0)

    async def script(rig: Rig) -> None:
        half, silent = await rig.client(), await rig.client()
        half.write(build_request("save", 0, b"abc")[:-2])
        assert (await half.next_answer()).status == 408
        await until(lambda: half.is_closed and silent.is_closed)
        assert not silent.answers and not rig.storage_nodes[0].received_requests

    run_on_rig(script)


def test_a_client_that_waits_to_be_asked_for_its_body_is_asked() -> None:
    async def script(rig: Rig) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, rig.port)
        writer.write(build_request("save", 0, b"abc", Expect="100-continue")[:-3])
        assert await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0) == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"abc")
        assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(b"HTTP/1.1 200")
        writer.close()

    run_on_rig(script)


def test_a_client_that_goes_away_is_told_to_the_module_and_its_attempt_is_given_up() -> None:
    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, r: None
        client = await rig.client()
        client.write(build_request())
        await until(lambda: rig.storage_nodes[0].received_requests)
        client.transport.abort()
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)
        core = rig.gateway.core
        assert (
            core.counts.client_gone == 1
            and not core.pending
            and not rig.gateway.registry.open_request_ids
            and rig.gateway.pools.attempt_count == 0
        )

    run_on_rig(script)


def test_usual_clients_get_in_past_hundreds_of_silent_ones() -> None:
    """Guards against descriptors used up by connections that never ask anything."""

    async def script(rig: Rig) -> None:
        silent = [await rig.client() for _ in range(90)]
        assert (await rig.fetch(build_request())).status == 200
        assert rig.gateway.registry.connection_count <= rig.gateway.listener.max_connections < 90
        assert sum(c.is_closed for c in silent) >= 90 - rig.gateway.listener.max_connections

    run_on_rig(script, sockets=96)


def test_clients_that_asked_once_and_stay_give_way_to_others() -> None:
    """They held all that clients may hold for requests, and the usual clients' requests reached no head."""

    async def script(rig: Rig) -> None:
        stay = [await rig.client() for _ in range(32)]
        for client in stay:
            client.write(build_request())
            await client.next_answer()
        await until(lambda: sum(not c.is_closed for c in stay) == 96 // 4)
        assert [c.is_closed for c in stay] == [True] * 8 + [False] * 24  # those idle for longest went

    run_on_rig(script, sockets=96)
