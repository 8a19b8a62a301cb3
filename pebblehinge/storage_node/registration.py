"""Registration of a storage node: the connection that tells service discovery that its process runs."""

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
"""Delay after which a lost or failed connection is tried again."""

UNKNOWN_AGE_MS = -1.0
"""Age of a process that started long ago, in REGISTER frames."""


class ReportedState(StrEnum):
    """State that a storage node reports; the value is its word on the wire."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RegisteredNode:
    """Storage node that is registered.

    Attributes:
        name: The storage node's name.
        block: Its settings.
        started_ms: When its process started, None if that was long ago.
    """

    name: str
    block: ShelfBlock
    started_ms: float | None


class RegistrationConnection(Peer):
    """Connection to service discovery."""

    def __init__(self, registration: Registration, session: Session) -> None:
        super().__init__(registration.loop, session, registration.limits.stall)
        self.registration = registration

    def on_ready(self) -> None:
        """Registers the storage node once the greeting is complete."""
        self.registration.on_ready(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Schedules a new connection."""
        self.registration.on_connection_lost(self)


class Registration:
    """Client of service discovery that keeps a storage node registered, and reconnects whenever it is disconnected.

    Args:
        loop: The event loop, which makes the connection and the timer.
        clock: Returns the current time in milliseconds, by the loop's clock.
        limits: The limits of a connection.
        address: Address of service discovery, as `host:port`.
        node: The storage node to register.
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
        self._connection: RegistrationConnection | None = None  # None until it has registered
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connects in the background."""
        self._connect_task = self.loop.create_task(self._connect())

    def report(self, state: ReportedState) -> None:
        """Reports a state now, and with each further registration."""
        self._state = state
        if self._connection is not None:
            self._connection.send(Kind.STANDING, state.value)

    def stop(self) -> None:
        """Stops connecting."""
        self._is_closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()

    def close(self) -> None:
        """Stops connecting, and closes the connection, which ends the registration."""
        self.stop()
        if self._connection is not None:
            self._connection.close()

    def on_ready(self, connection: RegistrationConnection) -> None:
        """Registers the storage node on a connection whose greeting is complete."""
        node = self._node
        age_ms = UNKNOWN_AGE_MS if node.started_ms is None else self._clock() - node.started_ms
        block = node.block
        connection.send(Kind.REGISTER, node.name, block.listen, block.slot, block.rack, age_ms)
        if self._state is ReportedState.DRAINING:
            connection.send(Kind.STANDING, self._state.value)
        self._connection = connection

    def on_connection_lost(self, connection: RegistrationConnection | None) -> None:
        """Schedules a new connection after one was lost, or (None) could not be established."""
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
