"""The TCP links from a member to the other members: one connection each, opened when there is a message to send."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

from pebblehinge.net import Peer, dial
from pebblehinge.raft.codec import encode_message
from pebblehinge.raft.messages import Message
from pebblehinge.wire import Kind, Session

MAX_QUEUED_MESSAGES = 256  # per link; then the oldest message is dropped, since Raft retransmits where needed
DIAL_TIMEOUT_S = 1.0
REDIAL_DELAY_S = 0.1
MAX_STREAMS = 64  # announced in the session's greeting


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """The settings that all links of a member share.

    Attributes:
        session_name: The name by which the member introduces itself to the others.
        max_frame_bytes: The maximum length of a frame.
        stall_ms: The time after which a connection is cut whose other end does not read.
        keepalive_ms: The keepalive interval of the connections.
    """

    session_name: str
    max_frame_bytes: int
    stall_ms: float
    keepalive_ms: float


class _Connection(Peer):
    """One connection of a link; messages flow only in one direction, and the other end's frames are ignored."""

    ACCEPTED_KINDS = frozenset({Kind.TOLD})

    def __init__(self, link: PeerLink) -> None:
        settings = link.settings
        session = Session("member", settings.session_name, settings.max_frame_bytes, MAX_STREAMS, dialed=True)
        super().__init__(link.loop, session, settings.stall_ms, settings.keepalive_ms)
        self.link = link

    def on_ready(self) -> None:
        """Informs the link that the connection is ready for messages."""
        self.link.on_connected(self)

    def on_writable(self) -> None:
        """Continues sending, since the other end reads again."""
        self.link.flush()

    def on_disconnect(self, exc: Exception | None) -> None:
        """Informs the link that the connection is lost."""
        self.link.on_connection_lost(self)

    def on_told(self, *_: Any) -> None:
        """Ignores the frame."""


class PeerLink:
    """The link to one other member, with a queue of its own so that a slow member does not delay the others."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, settings: LinkSettings) -> None:
        """Sets up the link, which connects to `address` (host:port) when the first message is sent."""
        self.loop = loop
        self.address = address
        self.settings = settings
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.connection: _Connection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.redial_timer: asyncio.TimerHandle | None = None
        self.closed = False

    def send(self, message: Message) -> None:
        """Queues a message, and connects if necessary; drops the oldest message if the queue is full."""
        self.queue.append(encode_message(message))
        if self.connection is None and self.dial_task is None and self.redial_timer is None:
            self._start_dial()
        self.flush()

    def flush(self) -> None:
        """Sends queued messages while the other end reads them."""
        while self.queue and self.connection is not None and not self.connection.write_paused:
            self.connection.send(Kind.RAFT, self.queue.popleft())

    def close(self) -> None:
        """Closes the link permanently."""
        self.closed = True
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        if self.connection is not None:
            self.connection.close()

    # ---- called by the connection

    def on_connected(self, connection: _Connection) -> None:
        """Adopts the connection, and sends the queued messages."""
        self.connection = connection
        self.flush()

    def on_connection_lost(self, connection: _Connection) -> None:
        """Schedules another dial after the loss of a connection."""
        if self.connection is connection:
            self.connection = None
        self._schedule_redial()

    def _start_dial(self) -> None:
        self.redial_timer = None
        if not self.closed:
            self.dial_task = self.loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await dial(self.loop, _Connection(self), self.address)
        except (OSError, TimeoutError):
            self._schedule_redial()
        finally:
            self.dial_task = None

    def _schedule_redial(self) -> None:
        if not self.closed and self.redial_timer is None:
            self.redial_timer = self.loop.call_later(REDIAL_DELAY_S, self._start_dial)
