"""The head in service: the one end of its life, and what outlives its use."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
import time

from helpers import LOOPBACK, until
from service_rig import SETTINGS, Rig, build_request, entry, listing, run_on_rig

from pebblehinge.platform_settings import read_settings
from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.shutdown import Shutdown, Stage


def test_after_sigterm_open_connections_are_served_and_all_that_was_taken_is_answered() -> None:
    """Clients go on using what stays open; closing at once lost all that they asked until the next start."""

    async def script(rig: Rig) -> None:
        client, began = await rig.client(), time.monotonic()
        client.write(build_request())
        await client.next_answer()
        rig.gateway.shutdown.begin()
        await asyncio.sleep(0.3)
        assert (await rig.fetch(build_request())).status == 200  # new connections still come
        client.write(build_request())
        assert (await client.next_answer()).status == 200 and not client.is_closed
        rig.storage_nodes[0].handle_request = lambda conn, r: None
        client.write(build_request(X_Deadline_Ms="9000"))
        await client.next_answer()  # in time for the kill, whatever the client would have waited
        await rig.gateway.stopped_future
        assert 0.5 < time.monotonic() - began < 1.2 and client.is_closed
        assert rig.gateway.core.open_count == 0 and client.answers[-1].status == 503

    run_on_rig(script, longest_wait_ms=400.0)


class ScriptedEffects:
    """What a gateway does and holds at its shutdown, as a script sets it."""

    def __init__(self) -> None:
        self.queue, self.open, self.said = 0, 0, []  # type: ignore[var-annotated]

    def set_answer_deadline(self, end_ms: float) -> None:
        self.said.append(("answer by", end_ms))

    def accept_queued_connections(self) -> bool:
        came, self.queue, self.open = self.queue > 0, 0, self.open + self.queue
        return came

    def close_inactive_connections(self, last: bool) -> None:
        self.said.append(("last" if last else "close",))

    def count_unanswered_connections(self) -> int:
        return self.open

    def finish(self) -> None:
        assert not self.open and not self.queue
        self.said.append(("over",))


def test_a_life_ends_once_and_never_over_something_that_is_owed() -> None:
    """A head that ended shortly before its kill, whatever was open, lost what it had taken: 11 on one fleet day."""
    held = ScriptedEffects()
    shutdown = Shutdown(held)
    assert shutdown.begin(1000.0, 40.0, 24_000.0) == 960.0 + 3700.0 - 250.0  # it came 40 ms before it was seen
    assert shutdown.begin(1500.0, 0.0, 24_000.0) is None and held.said == [("answer by", 960.0 + 3700.0 - 120.0)]
    held.open, now = 2, 4410.0
    for _ in range(40):  # well past the kill, which may come late or not at all
        at = shutdown.step(now)
        assert at is not None and shutdown.stage is Stage.CLOSING
        now = at
    assert ("last",) in held.said
    held.open, held.queue = 0, 1  # one more came while the last was answered
    assert shutdown.step(now) is not None
    held.open = 0
    assert shutdown.step(now + 20.0) is None and shutdown.stage is Stage.STOPPED
    assert shutdown.step(now + 40.0) is None and held.said.count(("over",)) == 1


SLOW = read_settings({**SETTINGS, "classes": [{**c, "on_time_s": 5.0, "give_up_s": 9.0} for c in SETTINGS["classes"]]})


def test_what_waits_or_is_out_longer_than_the_life_is_answered_before_it_ends() -> None:
    """Seen: 'END open 821f40cde254c25f', taken 4 s before, held for its plan's limit with 20 s of its time left; the
    head ended over it. One out is given up by what its attempt may have done."""

    async def script(rig: Rig) -> None:
        for node in rig.storage_nodes:
            node.handle_request = lambda conn, r: None
        kinds = ["look"] * 6 + ["save"]
        callers = [await rig.client() for _ in kinds]
        for client, kind in zip(callers, kinds, strict=True):
            client.write(build_request(kind, shard=1 if kind == "save" else 0, X_Deadline_Ms="9000"))
        await until(lambda: rig.gateway.core.open_count == 7 and len(rig.storage_nodes[0].received_requests) == 4)
        began = time.monotonic()
        rig.gateway.shutdown.begin()
        await rig.gateway.stopped_future
        assert rig.gateway.core.open_count == 0 and 0.5 < time.monotonic() - began < 1.08  # before the kill, at 1.1 s
        assert [(await client.next_answer()).status for client in callers] == [503] * 6 + [502]

    run_on_rig(script, longest_wait_ms=400.0, settings=SLOW)


def connect(rig: Rig) -> socket.socket:
    raw = socket.create_connection((LOOPBACK, rig.port))
    raw.settimeout(2.0)
    return raw


async def slow_reader(rig: Rig) -> tuple[socket.socket, ClientConnection]:
    """A client that does not read, with little room on the way to it; and the head's end of its connection."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.connect((LOOPBACK, rig.port))
    await until(lambda: rig.gateway.registry.incomplete_group)
    (conn,) = rig.gateway.registry.incomplete_group
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return raw, conn


async def status(raw: socket.socket) -> bytes:
    return (await asyncio.to_thread(raw.recv, 4096))[9:12]


def test_what_lies_in_the_listen_queue_or_unread_is_answered_before_the_end() -> None:
    """At the end the listening socket was closed with whatever waited in its queue, and connections by what the loop
    had read of them."""

    async def script(rig: Rig) -> None:
        silent, kept, half = [connect(rig) for _ in range(3)]
        ahead = await rig.client()
        for raw in (silent, kept, half):
            raw.sendall(build_request())
            assert await status(raw) == b"200"
        rig.storage_nodes[0].handle_request = lambda conn, r: None
        rig.gateway.shutdown.begin()
        request = build_request(X_Deadline_Ms="9000")
        half.sendall(request[:40])
        ahead.write(build_request(X_Deadline_Ms="9000") + build_request() + build_request())
        await asyncio.sleep(0.8)  # from 0.85 s on the head closes what is quiet
        queued = connect(rig)
        for raw, data in ((queued, build_request()), (kept, build_request()), (half, request[40:])):
            raw.sendall(data)
        time.sleep(0.1)
        rig.gateway.shutdown._step()  # one long turn: all of it lies unread when the head begins to close
        await rig.gateway.stopped_future
        assert await status(silent) == b""
        assert [await status(raw) for raw in (queued, kept, half)] == [b"503"] * 3
        assert [(await ahead.next_answer()).status for _ in range(3)] == [503] * 3

    run_on_rig(script, longest_wait_ms=400.0, settings=SLOW)


def test_what_comes_while_the_last_is_closed_is_answered() -> None:
    async def script(rig: Rig) -> None:
        rig.gateway.shutdown.begin()
        await asyncio.sleep(0.8)
        time.sleep(0.1)
        raw = connect(rig)
        raw.sendall(build_request())
        rig.gateway.shutdown._step()  # nothing but what waits in the listen queue is left
        await rig.gateway.stopped_future
        assert await status(raw) in (b"200", b"503")

    run_on_rig(script, longest_wait_ms=400.0)


def test_a_close_does_not_take_the_answer_along() -> None:
    """A close over bytes that were not read resets the connection, and the answer before it may be lost."""

    async def script(rig: Rig) -> None:
        raw = socket.create_connection((LOOPBACK, rig.port))
        raw.sendall(build_request(Connection="close") + b"x" * 200_000)
        await asyncio.sleep(0.3)
        raw.settimeout(1.0)
        got = b""
        while piece := await asyncio.to_thread(raw.recv, 65536):
            got += piece
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"ok")
        raw.close()
        await until(lambda: rig.gateway.registry.connection_count == 0)

    run_on_rig(script)


def test_what_runs_in_service_loads_nothing_of_the_other_fronts() -> None:
    """The machine is small: libraries of other fronts cost memory and the start's time."""
    code = "import pebblehinge.service.__main__, sys; print(*sorted(sys.modules))"
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=env, check=True).stdout
    names = set(loaded.split())
    assert "pebblehinge.decide" in names
    kept_out = {"numpy", "matplotlib", "aiohttp", "lark", "click", "structlog", "prometheus_client"}
    kept_out |= {f"pebblehinge.{p}" for p in ("head", "rsync", "raft", "settings", "wire", "store", "console", "cli")}
    assert not names & kept_out


def test_nothing_outlives_its_use() -> None:
    """Client ids, volumes, extents, shelfs and connections are new for ever on a long day."""

    async def script(rig: Rig) -> None:
        gateway = rig.gateway
        for n in range(60):
            client = await rig.client()
            client.write(
                build_request(shard=0, X_IO=f"volume={n:016x},units=2,shard=0,hosts=1", Cookie=f"block={n:016x}")
            )
            assert (await client.next_answer()).status == 200
            client.transport.abort()
            new = entry(f"n{n}", rig.storage_nodes[0].port, 0)
            old = entry(f"n{n - 1}" if n else "s0", rig.storage_nodes[0].port, 0, "Gone")
            rig.discovery.peers[0].send_list(listing(2 + n, old, new, full=False))
            await until(lambda n=n: f"n{n}" in gateway.pools.nodes)
        await until(lambda: gateway.registry.connection_count == 0)
        registry = gateway.registry
        assert len(gateway.pools.nodes) == 2 and len(gateway.core.scheduler.nodes.names) <= 4
        assert not (
            gateway.core.pending
            or registry.open_request_ids
            or registry.incomplete_group
            or registry.idle_group
            or registry.active_group
            or registry.closing_group
        )
        await until(lambda: gateway.pools.connection_count <= 1)

    run_on_rig(script)
