"""Server of the stand-in storage node, with its socket, its registration, and the lab's control."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.net import parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.storage_node.attempt import Attempt
from pebblehinge.storage_node.connection import ROLE, ConnectionContext, NodeConnection
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.fault_control import FaultController
from pebblehinge.storage_node.faults import NetworkFaults
from pebblehinge.storage_node.machine import Machine
from pebblehinge.storage_node.registration import RegisteredNode, Registration
from pebblehinge.storage_node.requests import RequestHandler
from pebblehinge.storage_node.simulation import Simulation

BACKLOG = 1024
"""Connections that may wait to be accepted; after a restart of the node all gateways connect at once."""


class StorageNodeServer:
    """Stand-in storage node.

    Args:
        loop: The event loop, which makes the socket, the connections and the timers.
        clock: Returns the current time in milliseconds, by the loop's clock.
        config: The settings.
        name: The storage node's name in the settings.
        log: A structlog logger.
        events: The event log, if there is one.
        contents: The contents of its slot; by default they are empty and kept in memory.
        is_warm: Whether the machine has been running for a long time; otherwise it has just started after a crash.
        seed: Seed of all random draws.

    Attributes:
        block: The settings of this storage node.
        machine: The simulated machine.
        contents: The contents of its slot.
        requests: The handler that executes attempts.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        events: EventLog | NullEventLog | None = None,
        contents: Contents | None = None,
        is_warm: bool = True,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.name = name
        self.log = log
        self.block = config.shelf[name]
        self.is_warm = is_warm
        self.events = events or NullEventLog()
        rng = random.Random(f"{seed}/{name}")
        self.machine: Machine[Attempt] = Machine(config.kind[self.block.kind], config.rules, rng, clock(), is_warm)
        self.contents = contents or Contents()
        network = NetworkFaults(random.Random(f"{seed}/{name}/faults"))
        key_window_ms = max((profile.window for profile in config.profile.values()), default=0.0)
        simulation = Simulation(self.machine, self.contents, network, rng, key_window_ms)
        self.requests = RequestHandler(loop, clock, simulation, self.events, self._on_crash)
        node = RegisteredNode(name, self.block, None if is_warm else self.machine.started_ms)
        self._registration = Registration(loop, clock, config.limits, config.listing.listen, node)
        self._context = ConnectionContext(loop, config.limits, name, self.requests, self.control)
        self._fault_controller = FaultController(self._context, self._registration, self.events)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen and registers; raises OSError if the address can't be bound."""
        host, port = parse_address(self.block.listen)
        self._server = await self.loop.create_server(lambda: NodeConnection(self._context), host, port, backlog=BACKLOG)
        self._registration.start()
        machine = self.machine
        kind = machine.kind
        self.events.note(
            self.clock(),
            "up",
            role=ROLE,
            name=self.name,
            slot=self.block.slot,
            cold=not self.is_warm,
            started=machine.started_ms,
            cores=kind.cores,
            speed=machine.speed,
            cold_from=kind.cold_from,
            warm_ms=kind.cold,
            unit_work=kind.unit_work,
        )

    def stop(self) -> None:
        """Stops listening and closes all connections, the event log and the contents."""
        if self._server is not None:
            self._server.close()
        self.requests.close()
        self._registration.close()
        for connection in list(self._context.connections):
            connection.close()
        self.events.note(self.clock(), "down", name=self.name)
        self.events.close()
        self.contents.close()

    def control(self, verb: str, values: dict[str, Any]) -> str:
        """Injects a fault, ends one, or returns statistics; see `FaultController.control`."""
        return self._fault_controller.control(verb, values)

    def _on_crash(self, now_ms: float) -> None:
        """Closes all sockets, as the machine has crashed."""
        self.events.note(now_ms, "fell", name=self.name, fill=self.machine.cold_budget.peak_load)
        self.log.warning("crashed under load while cold", shelf=self.name)
        if self._server is not None:
            self._server.close()
        for connection in list(self._context.connections):
            connection.abort()
