"""A gateway's connection to a storage node: what comes on it, and whether it still carries anything."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pebblehinge.gateway.dialer import Dialer
from pebblehinge.net import Peer
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session


class ConnectionOwner(Protocol):
    """The link that a connection belongs to."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    limits: LimitsBlock
    now: float
    dialer: Dialer
    connection: NodeConnection | None

    def on_connected(self, connection: NodeConnection) -> None:
        """The greeting is over."""

    def write_unsent(self) -> None:
        """Writes what waits."""

    def on_connection_lost(self, connection: NodeConnection) -> None:
        """The connection is over."""

    def on_outcome(self, attempt_id: int, status: int, reason: str, data: bytes) -> None:
        """An attempt has its outcome."""


class NodeConnection(Peer):
    """The connection of a link, from its greeting to its end."""

    ACCEPTED_KINDS = frozenset({Kind.OUTCOME, Kind.STOPPING})

    def __init__(self, link: ConnectionOwner, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link
        self._probe_baseline_s: float | None = None  # when bytes had last come, while a PING is out

    def on_ready(self) -> None:
        """The greeting is over."""
        self.link.on_connected(self)

    def on_writable(self) -> None:
        """The storage node reads again."""
        self.link.write_unsent()

    def on_disconnect(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.link.on_connection_lost(self)

    def on_rejection(self, reason: str) -> None:
        """The storage node rejects the connection, or what was sent on it."""
        self.link.dialer.failure_reason = reason

    def fail(self, reason: str) -> None:
        """Cuts the connection: what comes from here can't be read any more, so no answer on it can be waited for."""
        self.link.dialer.failure_reason = reason
        self.abort()
        self.closed = True

    def on_batch_start(self) -> None:
        """Bytes have come: one reading of the clock serves them all."""
        self.link.now = self.link.clock()

    def on_outcome(self, attempt_id: int, status: int, reason: str, data: bytes) -> None:
        """An attempt has its outcome."""
        self.link.on_outcome(attempt_id, status, reason, data)

    def on_stopping(self, reason: str) -> None:
        """Nothing follows: the endpoint list says which nodes are draining."""

    def probe(self) -> None:
        """Probes a connection on which an attempt timed out, and cuts it if that stays without an answer.

        The cause may be the storage node, or a connection that is cut in the middle and swallows all. A PING is
        answered by any process that runs; if even that stays out, a new connection is made.
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
