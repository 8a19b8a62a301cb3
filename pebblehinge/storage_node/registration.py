"""A storage node's registration: the connection by which service discovery knows that its process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock, ShelfBlock
from pebblehinge.storage_node.connection import ROLE
from pebblehinge.wire import Kind, Session

RECONNECT_DELAY_S = 0.2
"""The time from a lost or failed connection to the next one."""

UNKNOWN_AGE_MS = -1.0
"""The age of a process that has been running for long."""


class ReportedState(StrEnum):
    """The state that a storage node reports of itself, by its word on the wire."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RegisteredNode:
    """What is registered.

    Attributes:
        name: The storage node's name.
        block: Its settings.
        started_ms: When its process started, None if that is long ago.
    """

    name: str
    block: ShelfBlock
    started_ms: float | None


class RegistrationConnection(Peer):
    """A connection to service discovery."""

    def __init__(self, registration: Registration, session: Session) -> None:
        super().__init__(registration.loop, session, registration.limits.stall)
        self.registration = registration

    def on_ready(self) -> None:
        """Registers the storage node."""
        self.registration.on_ready(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Connects again later."""
        self.registration.on_connection_lost(self)


class Registration:
    """Keeps a storage node registered: connects, and connects again whenever the connection is lost.

    Args:
        loop: The event loop, which makes the connection and the timer.
        clock: The present in milliseconds, by the clock of the loop.
        limits: The limits of a connection.
        address: Where service discovery listens, as `host:port`.
        node: What is registered.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        limits: LimitsBlock,
        address: str,
        node: RegisteredNode,
    ) -> None:
        self.loop = loop
        self.limits = limits
        self._clock = clock
        self._address = address
        self._node = node
        self._state = ReportedState.READY
        self._is_closed = False
        self._connection: RegistrationConnection | None = None  # once it has registered
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connects in the background."""
        self._connect_task = self.loop.create_task(self._connect())

    def report(self, state: ReportedState) -> None:
        """Reports a state, now and with each further registration."""
        self._state = state
        if self._connection is not None:
            self._connection.send(Kind.STANDING, state.value)

    def stop(self) -> None:
        """Ends the attempts to connect."""
        self._is_closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()

    def close(self) -> None:
        """Stops, and closes the connection, which ends the registration."""
        self.stop()
        if self._connection is not None:
            self._connection.close()

    def on_ready(self, connection: RegistrationConnection) -> None:
        """The greeting of a connection is over: registers there."""
        node = self._node
        age_ms = UNKNOWN_AGE_MS if node.started_ms is None else self._clock() - node.started_ms
        block = node.block
        connection.send(Kind.REGISTER, node.name, block.listen, block.slot, block.rack, age_ms)
        if self._state is ReportedState.DRAINING:
            connection.send(Kind.STANDING, self._state.value)
        self._connection = connection

    def on_connection_lost(self, connection: RegistrationConnection | None) -> None:
        """A connection is lost, or, with None, was not made: connects again after a while."""
        if self._connection is connection:
            self._connection = None
        if not self._is_closed:
            self._reconnect_timer = self.loop.call_later(RECONNECT_DELAY_S, self.start)

    async def _connect(self) -> None:
        session = Session(ROLE, self._node.name, self.limits.frame, self.limits.streams, dialed=True)
        try:
            host, port = parse_address(self._address)
            await self.loop.create_connection(lambda: RegistrationConnection(self, session), host, port)
        except OSError:
            self.on_connection_lost(None)
