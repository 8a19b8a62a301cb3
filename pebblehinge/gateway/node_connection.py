"""A head's connection to a shelf: what comes on it, and whether it still carries anything."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pebblehinge.gateway.dialer import Dialer
from pebblehinge.net import Peer
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session


class ConnectionOwner(Protocol):
    """What a connection needs of the link that it belongs to."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    limits: LimitsBlock
    now: float
    dial: Dialer
    wire: NodeConnection | None

    def opened(self, wire: NodeConnection) -> None: ...
    def push(self) -> None: ...
    def lost(self, wire: NodeConnection) -> None: ...
    def came(self, number: int, status: int, reason: str, data: bytes) -> None: ...


class NodeConnection(Peer):
    """The connection of a link, from its greeting to its end."""

    FRAMES = frozenset({Kind.OUTCOME, Kind.STOPPING})

    def __init__(self, link: ConnectionOwner, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link
        self.doubted_at: float | None = None  # when it was last heard of, while a ping is out

    def ready(self) -> None:
        self.link.opened(self)

    def writable(self) -> None:
        self.link.push()

    def gone(self, exc: Exception | None) -> None:
        self.link.lost(self)

    def refused(self, reason: str) -> None:
        self.link.dial.refusal = reason

    def fail(self, reason: str) -> None:
        # What comes from here can't be read any more: no answer on it can be waited for.
        self.link.dial.refusal = reason
        self.abort()
        self.closed = True

    def batch(self) -> None:
        self.link.now = self.link.clock()

    def on_outcome(self, number: int, status: int, reason: str, data: bytes) -> None:
        self.link.came(number, status, reason, data)

    def on_stopping(self, reason: str) -> None:
        pass

    def doubt(self) -> None:
        """An attempt got no answer: is it the shelf, or a connection that is cut in the middle and swallows all? A ping
        is answered by any process that runs; where even that stays out, a new connection is made."""
        if self.doubted_at is None:
            self.doubted_at = self.heard
            self.send(Kind.PING, 0)
            self.loop.call_later(2 * self.link.limits.connect / 1000.0, self._decide_doubt)

    def _decide_doubt(self) -> None:
        since, self.doubted_at = self.doubted_at, None
        if self is self.link.wire and not self.closed and self.heard == since:
            self.link.dial.refusal = "the connection is silent"
            self.abort()
