"""Links from a member to the others over TCP: one connection each, opened when there is something to send."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

from pebblehinge.net import Peer, dial
from pebblehinge.raft.codec import encode_message
from pebblehinge.raft.messages import Message
from pebblehinge.wire import Kind, Session

MAX_QUEUED_MESSAGES = 256  # for a member that does not take them: the oldest go, Raft sends again what matters
DIAL_TIMEOUT_S = 1.0
REDIAL_DELAY_S = 0.1
MAX_STREAMS = 64  # that the session announces


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """What all links of a member share. `greeting` names it to the others; times are in milliseconds."""

    greeting: str
    max_frame_bytes: int
    stall_ms: float
    keepalive_ms: float


class _Connection(Peer):
    """One connection of a link. The other side sends nothing that matters here."""

    ACCEPTED_KINDS = frozenset({Kind.TOLD})

    def __init__(self, link: PeerLink) -> None:
        settings = link.settings
        session = Session("member", settings.greeting, settings.max_frame_bytes, MAX_STREAMS, dialed=True)
        super().__init__(link.loop, session, settings.stall_ms, settings.keepalive_ms)
        self.link = link

    def on_ready(self) -> None:
        """The greeting is over."""
        self.link.on_connected(self)

    def on_writable(self) -> None:
        """The other side reads again."""
        self.link.flush()

    def on_disconnect(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.link.on_connection_lost(self)

    def on_told(self, *_: Any) -> None:
        """Nothing follows from it."""


class PeerLink:
    """The way to one other member. A slow one fills its own queue and holds up nobody."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, settings: LinkSettings) -> None:
        """Connects to `address` (host:port) with the first message."""
        self.loop = loop
        self.address = address
        self.settings = settings
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.connection: _Connection | None = None
        self.dialing: asyncio.Task[None] | None = None
        self.redial_timer: asyncio.TimerHandle | None = None
        self.closed = False

    def send(self, message: Message) -> None:
        """Queues a message; the oldest is dropped if too many wait."""
        self.queue.append(encode_message(message))
        if self.connection is None and self.dialing is None and self.redial_timer is None:
            self._connect()
        self.flush()

    def flush(self) -> None:
        """Writes what is queued, as long as the other side takes it."""
        while self.queue and self.connection is not None and not self.connection.write_paused:
            self.connection.send(Kind.RAFT, self.queue.popleft())

    def close(self) -> None:
        """Closes the connection, and opens no other."""
        self.closed = True
        if self.dialing is not None:
            self.dialing.cancel()
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        if self.connection is not None:
            self.connection.close()

    # ---- from the connection

    def on_connected(self, connection: _Connection) -> None:
        """A connection may be written to."""
        self.connection = connection
        self.flush()

    def on_connection_lost(self, connection: _Connection) -> None:
        """A connection is over: another is opened after a pause."""
        if self.connection is connection:
            self.connection = None
        self._redial_later()

    def _connect(self) -> None:
        self.redial_timer = None
        if not self.closed:
            self.dialing = self.loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await dial(self.loop, _Connection(self), self.address)
        except (OSError, TimeoutError):
            self._redial_later()
        finally:
            self.dialing = None

    def _redial_later(self) -> None:
        if not self.closed and self.redial_timer is None:
            self.redial_timer = self.loop.call_later(REDIAL_DELAY_S, self._connect)
