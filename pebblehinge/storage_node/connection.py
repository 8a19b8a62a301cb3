"""Connections to a storage node, which carry attempts, their outcomes, and the lab's control frames."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.net import Peer
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.storage_node.attempt import Attempt, AttemptStatus
from pebblehinge.storage_node.errors import ControlError
from pebblehinge.storage_node.requests import RequestHandler
from pebblehinge.wire import Kind, Session, WireError
from pebblehinge.wire.frames import PREFIX_BYTES

ROLE = "shelf"
"""Role of a storage node in its greeting and in its event log."""

GATEWAY_ROLE = "head"
"""Role of a gateway in its greeting."""

CONTROLLER_ROLE = "lab"
"""The only role that may send CONTROL."""

GARBLED_BIT_MASK = 0x40
"""The bit that is flipped in one byte of a garbled frame."""

ControlHandler = Callable[[str, dict[str, Any]], str]
"""Executes a control verb with its values, and returns the response or raises ControlError."""


@dataclass(slots=True)
class ConnectionContext:
    """State that the connections of one storage node share.

    Attributes:
        loop: The event loop.
        limits: The limits of a connection.
        name: The storage node's name.
        requests: The handler that executes attempts.
        control: The handler of the lab's control verbs.
        connections: The open connections, in the order in which they were opened; the values have no meaning.
    """

    loop: asyncio.AbstractEventLoop
    limits: LimitsBlock
    name: str
    requests: RequestHandler
    control: ControlHandler
    connections: dict[NodeConnection, None] = field(default_factory=dict)


class NodeConnection(Peer):
    """Connection of a gateway or of the lab.

    Attributes:
        attempts: The attempts that were accepted and not answered yet, by their number.
        is_half_open: Whether nothing is read or written, although the connection is open.
    """

    ACCEPTED_KINDS = frozenset({Kind.TRIP, Kind.RECALL, Kind.CONTROL})

    def __init__(self, context: ConnectionContext) -> None:
        limits = context.limits
        session = Session(ROLE, context.name, limits.frame, limits.streams, dialed=False)
        super().__init__(context.loop, session, limits.stall, limits.keepalive)
        self.context = context
        self.attempts: dict[int, Attempt] = {}
        self.is_half_open = False

    @property
    def gateway(self) -> str:
        """The name of the other end, from its greeting."""
        return self.session.peer_name

    @property
    def is_gateway(self) -> bool:
        """Whether the other end is a gateway, by its greeting."""
        return self.session.peer_role == GATEWAY_ROLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the storage node, and aborts it if the machine has crashed."""
        super().connection_made(transport)
        self.context.connections[self] = None
        if self.context.requests.machine.has_crashed:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Handles the frames in the data, unless the connection is half open."""
        if not self.is_half_open:
            super().data_received(data)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Removes the connection from those of the storage node."""
        self.context.connections.pop(self, None)

    def on_batch_start(self) -> None:
        """Reads the clock once for all frames that were received together."""
        self.context.requests.read_clock()

    def send_outcome(self, number: int, status: AttemptStatus, reason: str, data: bytes) -> None:
        """Sends the outcome of an attempt.

        Args:
            number: The attempt's number on this connection.
            status: The outcome.
            reason: Why the attempt did not succeed; empty if it did.
            data: The bytes that were read, or the result of an append.
        """
        self.send(Kind.OUTCOME, number, status.value, reason, data)

    def on_trip(
        self,
        number: int,
        request_id: str,
        attempt_index: int,
        extent: str,
        operation: int,
        offset: int,
        length: int,
        units: float,
        key: str | None,
        remaining_ms: float,
        data: bytes,
    ) -> None:
        """Accepts or rejects an attempt, whose fields are described in `Attempt` and `RequestHandler.accept`.

        Raises:
            WireError: An attempt with this number has no outcome yet.
        """
        if number in self.attempts:
            raise WireError(f"TRIP: number {number} is out already")
        attempt = Attempt(self, number, request_id, attempt_index, extent, operation, offset, length, key, data)
        self.context.requests.accept(attempt, units, remaining_ms)

    def on_recall(self, number: int) -> None:
        """Cancels an attempt, unless it has an outcome already."""
        attempt = self.attempts.get(number)
        if attempt is not None:
            self.context.requests.cancel(attempt)

    def on_control(self, token: int, verb: str, values: dict[str, float | str]) -> None:
        """Executes a control verb of the lab; raises WireError if the other end is not the lab."""
        if self.session.peer_role != CONTROLLER_ROLE:
            raise WireError("CONTROL is for the lab")
        try:
            response = self.context.control(verb, values)
        except ControlError as error:
            response = f"no: {error}"
        self.send(Kind.CONTROLLED, token, response)

    def _write(self, data: bytes) -> None:
        if self.is_half_open:
            return
        network = self.context.requests.network
        if network.should_inject(network.garble_probability) and self.is_gateway:
            garbled = bytearray(data)
            garbled[network.rng.randrange(PREFIX_BYTES, len(garbled))] ^= GARBLED_BIT_MASK
            data = bytes(garbled)
        super()._write(data)
