"""A test rig of a relay, a server named `b`, and an event loop that connects through the relay as `a`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from helpers import LOOPBACK, until

from pebblehinge.lab.faults.link_faults import LinkState
from pebblehinge.lab.faults.process_environment import ProcessEnvironment, RelayedLoop
from pebblehinge.lab.faults.relay import Relay


class RecordingEndpoint(asyncio.Protocol):
    """One end of a connection: records received data and how it ended."""

    def __init__(self, at: list[RecordingEndpoint] | None = None) -> None:
        self.got, self.lost, self.eof = b"", None, False
        self.transport: Any = None
        if at is not None:
            at.append(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data

    def eof_received(self) -> bool:
        self.eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = repr(exc)


class DatagramRecorder(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[tuple[bytes, Any]] = []
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.append((data, addr))


class RelayRig:
    """A test rig of a relay, a server named `b`, and an event loop that connects through the relay as `a`."""

    def __init__(self, loop: RelayedLoop, relay: Relay, server: Any, accepted: list[RecordingEndpoint]) -> None:
        self.loop, self.relay, self.accepted = loop, relay, accepted
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    async def connect(self) -> tuple[RecordingEndpoint, RecordingEndpoint]:
        here, before = RecordingEndpoint(), len(self.accepted)
        await self.loop.create_connection(lambda: here, LOOPBACK, self.port)
        await until(lambda: len(self.accepted) > before)
        return here, self.accepted[-1]

    def set_link(self, source: str, to: str, **state: Any) -> None:
        self.relay.set_link(source, to, LinkState(**state))


def on_relay(script: Callable[[RelayRig], Coroutine[Any, Any, None]]) -> None:
    """Runs a script on one loop for relay, server and client; the server does not connect through the relay."""

    async def run() -> None:
        accepted: list[RecordingEndpoint] = []
        server = await loop.create_server(lambda: RecordingEndpoint(accepted), LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        relay = Relay(plain, {f"{LOOPBACK}:{port}": "b"}, 1)
        await relay.start(LOOPBACK)
        environment.relay, environment.datagrams = relay.address, relay.datagrams
        await asyncio.wait_for(script(RelayRig(loop, relay, server, accepted)), 20.0)
        assert relay.late_ms < 5_000.0
        relay.close()
        server.close()

    environment = ProcessEnvironment({"name": "a", "relay": ("", 0), "datagrams": ("", 0)})
    loop = RelayedLoop(environment)
    plain = DirectLoop(loop)
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


class DirectLoop:
    """The same loop for the relay itself, which connects directly."""

    def __init__(self, loop: RelayedLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *given: Any) -> Any:
        return await uvloop.Loop.create_connection(self.loop, *given)

    async def create_datagram_endpoint(self, *given: Any, **more: Any) -> Any:
        return await uvloop.Loop.create_datagram_endpoint(self.loop, *given, **more)
