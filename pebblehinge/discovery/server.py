"""Server of the stand-in for service discovery."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.discovery.registry import UNKNOWN_START_MS, Endpoint, EndpointRegistry, EndpointState
from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.wire import Kind, Session, WireError

BACKLOG = 4096
"""Connections that may wait to be accepted; after a restart all gateways and nodes reconnect in half a second."""

PROCESS_NAME = "listing"
"""Name and role of the process, in its greeting and in its event log."""

CONTROLLER_ROLE = "lab"
"""The only role that may send CONTROL."""

MAX_WORD_EXCERPT_CHARS = 20
"""Characters of an unknown word that an error message quotes."""

FULL_LIST = "whole"
"""Kind of a LIST frame with all endpoints."""

CHANGES = "changes"
"""Kind of a LIST frame with the endpoints that changed."""

NO_TOKEN = 0
"""Token of LIST frames, none of which answers a request with a token."""

REPORTED_STATES = {str(state): state for state in (EndpointState.READY, EndpointState.DRAINING)}
"""States that a storage node may report of itself, by their words on the wire."""


class DiscoveryConnection(Peer):
    """Connection of a gateway that watches or polls, of a storage node that registers, or of the lab."""

    ACCEPTED_KINDS = frozenset({Kind.WATCH, Kind.REGISTER, Kind.STANDING, Kind.CONTROL})

    def __init__(self, discovery: DiscoveryServer) -> None:
        limits = discovery.config.limits
        session = Session(PROCESS_NAME, PROCESS_NAME, limits.frame, limits.streams, dialed=False)
        super().__init__(discovery.loop, session, limits.stall, limits.keepalive)
        self.discovery = discovery
        self.node = ""  # the storage node that registered on this connection
        self.is_watching = False

    def connection_made(self, transport: Any) -> None:
        """Adds the connection to those of the server."""
        super().connection_made(transport)
        self.discovery.connections.append(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Removes the connection, and the storage node that registered on it."""
        self.discovery.connections.remove(self)
        if self.node:
            self.discovery.unregister(self)

    def on_watch(self, token: int) -> None:
        """Sends the full list, and the changes from then on."""
        self.is_watching = True
        self.discovery.send_full_list(self)

    def on_register(self, node: str, address: str, slot: int, rack: str, age_ms: float) -> None:
        """Registers a storage node for as long as the connection lasts.

        Args:
            node: Its name.
            address: Address that it listens on, as `host:port`.
            slot: Its placement slot.
            rack: Its rack, which is not used.
            age_ms: How long its process has run, in milliseconds; negative if it started long ago.

        Raises:
            WireError: The address is invalid.
        """
        try:
            parse_address(address)
        except ValueError as error:
            raise WireError(f"REGISTER: {error}") from None
        self.node = node
        self.discovery.register(self, address, slot, age_ms)

    def on_standing(self, word: str) -> None:
        """Sets the state that a storage node reports.

        Raises:
            WireError: The storage node is not registered, or the state is unknown.
        """
        state = REPORTED_STATES.get(word)
        if not self.node or state is None:
            raise WireError(f"STANDING {word[:MAX_WORD_EXCERPT_CHARS]!r}: a registered shelf says ready or draining")
        self.discovery.registry.set_state(self.discovery.clock(), self.node, state)
        self.discovery.publish()

    def on_control(self, token: int, verb: str, values: dict[str, float | str]) -> None:
        """Injects or ends a fault for the lab; raises WireError if the other end is not the lab."""
        if self.session.peer_role != CONTROLLER_ROLE:
            raise WireError("CONTROL is for the lab")
        self.send(Kind.CONTROLLED, token, self.discovery.control(verb, values))


class DiscoveryServer:
    """Server that sends what the registry publishes to every watching gateway.

    Args:
        loop: The event loop, which makes the socket and the timer.
        clock: Returns the current time in milliseconds, by the loop's clock.
        config: The settings, of which `listing` and `limits` are used.
        log: A structlog logger.
        events: The event log, if there is one.
        seed: Seed of the delays.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        log: Any,
        events: EventLog | NullEventLog | None = None,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.config = config
        self.log = log
        self.events = events or NullEventLog()
        self.registry = EndpointRegistry(config.listing, random.Random(f"{seed}/listing"))
        self.connections: list[DiscoveryConnection] = []
        self.registrants: dict[str, DiscoveryConnection] = {}  # by the storage node's name
        self.known_nodes: set[str] = set()  # all storage nodes that have ever registered
        self.publish_timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen; raises OSError if the address can't be bound."""
        host, port = parse_address(self.config.listing.listen)
        self.server = await self.loop.create_server(lambda: DiscoveryConnection(self), host, port, backlog=BACKLOG)
        self.events.note(self.clock(), "up", role=PROCESS_NAME, name=PROCESS_NAME)

    def stop(self) -> None:
        """Stops listening and closes all connections and the event log."""
        if self.server is not None:
            self.server.close()
        if self.publish_timer is not None:
            self.publish_timer.cancel()
        for connection in list(self.connections):
            connection.close()
        self.events.close()

    def register(self, connection: DiscoveryConnection, address: str, slot: int, age_ms: float) -> None:
        """Registers the storage node of a connection; `age_ms` is negative if its process started long ago."""
        now_ms = self.clock()
        node = connection.node
        is_immediate = node not in self.known_nodes and age_ms < 0
        self.known_nodes.add(node)
        self.registrants[node] = connection
        started_ms = now_ms - age_ms if age_ms >= 0 else UNKNOWN_START_MS
        self.registry.register(now_ms, node, address, slot, started_ms, is_immediate)
        self.publish()

    def unregister(self, connection: DiscoveryConnection) -> None:
        """Removes the storage node of a lost connection, unless it has registered on another connection since."""
        if self.registrants.get(connection.node) is connection:
            del self.registrants[connection.node]
            self.registry.remove(self.clock(), connection.node)
            self.publish()

    def publish(self) -> None:
        """Sends the changes that are due, and sets the timer for the next ones."""
        now_ms = self.clock()
        changes = self.registry.publish_due(now_ms)
        if changes:
            for connection in self.connections:
                if connection.is_watching:
                    self._send(connection, now_ms, CHANGES, changes)
        if self.publish_timer is not None:
            self.publish_timer.cancel()
            self.publish_timer = None
        due_ms = self.registry.next_due_ms()
        if due_ms is not None:
            self.publish_timer = self.loop.call_at(due_ms / 1000.0, self.publish)

    def send_full_list(self, connection: DiscoveryConnection) -> None:
        """Sends all published endpoints to one gateway."""
        self._send(connection, self.clock(), FULL_LIST, self.registry.snapshot())

    def control(self, verb: str, values: dict[str, Any]) -> str:
        """Injects or ends a fault.

        Args:
            verb: `list-stale` (with `by`, in milliseconds) or `list-wrong` (with `shelf`, a storage node's name).
            values: The arguments; a true `off` ends the fault.

        Returns:
            `done`, or `no: ` and the reason.
        """
        now_ms = self.clock()
        is_off = bool(values.get("off", 0))
        self.events.note(now_ms, "control", verb=verb, values=values)
        if verb == "list-stale":
            self.registry.extra_delay_ms = 0.0 if is_off else float(values["by"])
        elif verb == "list-wrong":
            state = EndpointState.READY if is_off else EndpointState.GONE
            self.registry.override_state(now_ms, str(values["shelf"]), state)
            self.publish()
        else:
            return f"no: {verb!r} is not known"
        return "done"

    def _send(self, connection: DiscoveryConnection, now_ms: float, kind: str, endpoints: list[Endpoint]) -> None:
        entries = [
            (
                endpoint.node,
                endpoint.address,
                endpoint.state.value,
                endpoint.slot,
                now_ms - endpoint.started_ms if endpoint.started_ms >= 0 else UNKNOWN_START_MS,
            )
            for endpoint in endpoints
        ]
        connection.send(Kind.LIST, NO_TOKEN, kind, entries)
        rows = [(endpoint.node, endpoint.state.value, round(endpoint.started_ms, 3)) for endpoint in endpoints]
        self.events.note(now_ms, "told", head=connection.session.peer_name, kind=kind, rows=rows)
