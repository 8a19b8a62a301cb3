"""The connection of a link to a storage node: dispatches received frames and detects a connection that is broken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pebblehinge.gateway.dialer import Dialer
from pebblehinge.net import Peer
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session


class ConnectionOwner(Protocol):
    """The part of a link that its connection uses."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    limits: LimitsBlock
    now: float
    dialer: Dialer
    connection: NodeConnection | None

    def on_connected(self, connection: NodeConnection) -> None:
        """Handles the completion of the greeting."""

    def write_unsent(self) -> None:
        """Writes the unsent attempts."""

    def on_connection_lost(self, connection: NodeConnection) -> None:
        """Handles the end of the connection."""

    def on_outcome(self, attempt_id: int, status: int, reason: str, data: bytes) -> None:
        """Handles the outcome of an attempt."""


class NodeConnection(Peer):
    """A connection to a storage node."""

    ACCEPTED_KINDS = frozenset({Kind.OUTCOME, Kind.STOPPING})

    def __init__(self, link: ConnectionOwner, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link
        self._probe_baseline_s: float | None = None  # `last_received_s` at the start of the probe in progress

    def on_ready(self) -> None:
        """Reports the completed greeting to the link."""
        self.link.on_connected(self)

    def on_writable(self) -> None:
        """Writes the unsent attempts, as the storage node reads again."""
        self.link.write_unsent()

    def on_disconnect(self, exc: Exception | None) -> None:
        """Reports the end of the connection to the link."""
        self.link.on_connection_lost(self)

    def on_rejection(self, reason: str) -> None:
        """Keeps the reason for which the storage node has rejected the connection, or a frame sent on it."""
        self.link.dialer.failure_reason = reason

    def fail(self, reason: str) -> None:
        """Aborts the connection: its further bytes can't be decoded, so no outcome on it can be awaited."""
        self.link.dialer.failure_reason = reason
        self.abort()
        self.closed = True

    def on_batch_start(self) -> None:
        """Reads the clock once for all outcomes that were received together."""
        self.link.now = self.link.clock()

    def on_outcome(self, attempt_id: int, status: int, reason: str, data: bytes) -> None:
        """Passes the outcome of an attempt to the link."""
        self.link.on_outcome(attempt_id, status, reason, data)

    def on_stopping(self, reason: str) -> None:
        """Ignores the announcement of a shutdown, as the endpoint list states which nodes are draining."""

    def probe(self) -> None:
        """Probes a connection on which an attempt timed out, and aborts it if nothing is received in reply.

        The cause of the timeout may be the storage node or a half-open connection, which loses everything sent on it.
        Every running process answers a PING; without an answer, the connection is replaced by a new one.
        """
        if self._probe_baseline_s is None:
            self._probe_baseline_s = self.last_received_s
            self.send(Kind.PING, 0)
            self.loop.call_later(2 * self.link.limits.connect / 1000.0, self._check_probe)

    def _check_probe(self) -> None:
        baseline_s, self._probe_baseline_s = self._probe_baseline_s, None
        if self is self.link.connection and not self.closed and self.last_received_s == baseline_s:
            self.link.dialer.failure_reason = "the connection is silent"
            self.abort()
