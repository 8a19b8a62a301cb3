"""Helpers of the gateway's tests: small settings, and a gateway with scripted storage nodes on loopback addresses."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from pebblehinge.cli import ms_clock
from pebblehinge.client import Client, connect
from pebblehinge.discovery import DiscoveryServer
from pebblehinge.gateway import GatewayCore, GatewayServer
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind, Session

LOOPBACK = f"127.99.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"  # differs between the test runs of a machine
FLEET = """
rules {
    cold-share 30%
    warm 5s
    fall-multiple 2x
    try-limit 3
    mean-units 2
    most-units 6
    stay-away-max 400ms
}
limits {
    keepalive 500ms
    stall 1s
    connect 250ms
}
log {
    level error
}
profile look {
    importance 2
    expected 400ms
    patience 2s
    late-share 10%
    repeat redoable
}
profile save {
    importance 2
    expected 400ms
    patience 1200ms
    late-share 10%
    repeat irreversible
}
profile mark {
    importance 2
    expected 400ms
    patience 2s
    repeat labelled
    group cell
    window 3s
}
profile line {
    importance 2
    expected 500ms
    patience 2s
    repeat redoable
    in-order yes
}
plan gold {
    rate 50/s
    reserve 50/s
}
plan capped {
    rate 5/s
    limit 10/s
    burst 12
    slack 2
}
volume v {
    plan gold
}
volume c {
    plan capped
}
kind k {
    unit-work 5ms
    noise 0
    flush 10m
    cold 5s
    cold-from 30%
}
fleet {
    heads 1
    shelfs 2
    kinds k
}
"""


def make_config(extra: str = "", fleet: str = FLEET) -> Config:
    """Returns the settings that `fleet` and `extra` state, on this test run's loopback address."""
    return loads(fleet + extra, loopback=LOOPBACK)


def run(main: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, Any]], timeout_s: float = 30.0) -> Any:
    """Runs a coroutine on the event loop that the processes use; fails on an unhandled error of the loop."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop_errors: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))
    try:
        result = loop.run_until_complete(asyncio.wait_for(main(loop), timeout_s))
        assert not loop_errors, loop_errors
        return result
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        asyncio.set_event_loop(None)
        loop.close()


async def until(condition: Callable[[], Any], timeout_s: float = 5.0) -> None:
    """Waits until a condition holds; fails after `timeout_s` seconds."""
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline_s, "the condition did not hold in time"
        await asyncio.sleep(0.005)


class Attempt:
    """One attempt that a scripted storage node has received."""

    def __init__(self, connection: ScriptedConnection, values: tuple[Any, ...]) -> None:
        self.connection = connection
        self.number, self.id, self.attempt, self.extent, self.op = values[:5]
        self.label, self.remaining_ms, self.data = values[8], values[9], values[10]

    def answer(self, status: int = 0, data: bytes = b"") -> None:
        self.connection.send(Kind.OUTCOME, self.number, status, "", data)


class ScriptedConnection(Peer):
    ACCEPTED_KINDS = frozenset({Kind.TRIP, Kind.RECALL})

    def __init__(self, node: ScriptedNode) -> None:
        super().__init__(node.loop, Session("shelf", node.name, 1 << 20, 64, dialed=False), 5000.0)
        self.node = node

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.node.connections.append(self)

    def on_trip(self, *values: Any) -> None:
        attempt = Attempt(self, values)
        self.node.attempts.append(attempt)
        self.node.on_attempt(attempt)

    def on_recall(self, number: int) -> None:
        self.node.recalled_numbers.append(number)


class ScriptedNode:
    """A storage node that passes each attempt to the test's `on_attempt`; by default it answers at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, name: str, slot: int, address: str) -> None:
        self.loop, self.name, self.slot, self.address = loop, name, slot, address
        self.attempts: list[Attempt] = []
        self.recalled_numbers: list[int] = []  # of the attempts that the gateway has cancelled
        self.connections: list[ScriptedConnection] = []
        self.on_attempt: Callable[[Attempt], None] = Attempt.answer
        self.server: Any = None

    async def start(self) -> None:
        host, port = parse_address(self.address)
        self.server = await self.loop.create_server(lambda: ScriptedConnection(self), host, port)

    def crash(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.abort()
        self.connections.clear()


class Rig:
    """A gateway, the discovery server, and two scripted storage nodes at slots 0 and 1."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        self.loop, self.config, self.clock = loop, config, ms_clock(loop)
        self.discovery = DiscoveryServer(loop, self.clock, config, WarningLog())
        self.nodes = [ScriptedNode(loop, name, block.slot, block.listen) for name, block in config.shelf.items()]
        self.gateway: GatewayServer
        self.clients: list[Client] = []

    async def start(self, core: type[GatewayCore] = GatewayCore) -> Rig:
        await self.discovery.start()
        for node in self.nodes:
            await node.start()
            self.discovery.registry.register(self.clock(), node.name, node.address, node.slot, -1.0, True)
        self.discovery.publish()
        await self.start_gateway(core)
        return self

    async def start_gateway(self, core: type[GatewayCore] = GatewayCore) -> None:
        self.gateway = GatewayServer(self.loop, self.clock, self.config, "h1", WarningLog(), core=core)
        await self.gateway.start()
        await until(lambda: len(self.gateway.core.scheduler.nodes.node_at_slot) == len(self.nodes))

    def kill_gateway(self) -> None:
        """Ends the gateway as SIGKILL does: its sockets close, and no frame is sent."""
        self.gateway.listener.close()
        self.gateway.discovery.close()
        for connection in self.gateway.client_connections:
            connection.on_disconnect = lambda exc: None  # type: ignore[method-assign]
            connection.abort()
        for link in self.gateway.links.values():
            link.on_attempt_end = lambda *_: None
            if link.connection is not None:
                link.connection.abort()
        if self.gateway.wake_timer is not None:
            self.gateway.wake_timer.cancel()

    async def client(self, **options: Any) -> Client:
        client = await connect(self.config.head["h1"].listen, loop=self.loop, **options)
        self.clients.append(client)
        return client

    async def stop(self) -> None:
        for client in self.clients:
            client.close()
        if not self.gateway.stopped.done():
            self.gateway.stop("the test has ended")
            await asyncio.wait_for(self.gateway.stopped, 5.0)
        self.discovery.stop()
        for node in self.nodes:
            node.crash()
        await asyncio.sleep(0.02)


def run_with_rig(script: Callable[[Rig], Coroutine[Any, Any, Any]], extra: str = "", fleet: str = FLEET) -> Any:
    """Runs a test script with a started rig, and stops the rig afterwards."""

    async def main(loop: asyncio.AbstractEventLoop) -> Any:
        rig = await Rig(loop, make_config(extra, fleet)).start()
        try:
            return await script(rig)
        finally:
            await rig.stop()

    return run(main)
