"""A connection that speaks the framed protocol; subclasses handle frames in the methods that HANDLERS names."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from pebblehinge.net.address import parse_address
from pebblehinge.net.handlers import COMMON_KINDS, HANDLERS
from pebblehinge.wire import Kind, Session, WireError, encode

MAX_SILENT_INTERVALS = 3
"""A connection is aborted after this many keepalive intervals without a byte, or without a complete greeting."""


async def dial(loop: asyncio.AbstractEventLoop, peer: Peer, address: str) -> None:
    """Connects `peer`, whose session has `dialed` set, to `address` (host:port).

    A peer whose dial fails, is cancelled or times out in the caller writes nothing afterwards, since uvloop may have
    closed an established connection without notifying its protocol.

    Raises:
        OSError: The connection could not be established.
        AddressError: `address` is not a valid address.
    """
    host, port = parse_address(address)
    try:
        await loop.create_connection(lambda: peer, host, port)
    except BaseException:
        peer.abandon()
        raise


class Peer(asyncio.Protocol):
    """One end of a connection: dispatches frames to handlers, coalesces writes, and bounds the buffers both ways.

    All frames sent in one iteration of the event loop go out in one write. While the other end does not read, this end
    does not read from it either, and aborts the connection after `stall_ms`. If `keepalive_ms` is above 0, this end
    sends a PING on a connection that was silent for that time, and aborts it after `MAX_SILENT_INTERVALS` times that.

    Attributes:
        ACCEPTED_KINDS: The kinds that the other end may send in addition to the common ones; set by subclasses.
        session: The protocol state.
        transport: The transport, None before the connection is established.
        write_paused: Whether writing is paused, since the other end does not read.
        closed: Whether this end has closed or lost the connection; nothing is read or written any more.
        failed: Whether this end has ended the connection with an ERROR.
        last_received_s: Loop time at which bytes were last received, in seconds.
    """

    ACCEPTED_KINDS: frozenset[Kind] = frozenset()

    def __init__(
        self, loop: asyncio.AbstractEventLoop, session: Session, stall_ms: float, keepalive_ms: float = 0.0
    ) -> None:
        self.loop = loop
        self.session = session
        self.stall_ms = stall_ms
        self.keepalive_ms = keepalive_ms
        self.transport: asyncio.Transport | None = None
        self.write_paused = False
        self.closed = False
        self.failed = False
        self.last_received_s = 0.0
        self._unsent: list[bytes] = []
        self._flush_scheduled = False
        self._stall_timer: asyncio.TimerHandle | None = None
        self._keepalive_timer: asyncio.TimerHandle | None = None
        self._keepalive_checks = 0
        self._handlers: dict[Kind, Callable[..., None]] = {
            kind: getattr(self, HANDLERS[kind]) for kind in self.ACCEPTED_KINDS | COMMON_KINDS
        }

    # ---- callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the greeting, if this end dialed, and starts the keepalive."""
        self.transport = cast(asyncio.Transport, transport)  # transports of the virtual network don't inherit from it
        if self.closed:  # the dial was abandoned
            self.transport.abort()
            return
        self.last_received_s = self.loop.time()
        if self.session.dialed:
            self._write(self.session.encode_greeting())
        if self.keepalive_ms:
            self._keepalive_timer = self.loop.call_later(self.keepalive_ms / 1000.0, self._check_alive)

    def data_received(self, data: bytes) -> None:
        """Calls the handler of each complete frame, and fails the connection on an invalid one."""
        if self.closed:  # ignores the data of a peer after an ERROR was sent to it
            return
        self.last_received_s = self.loop.time()
        session = self.session
        session.feed(data)
        self.on_batch_start()
        try:
            while not self.closed and (frame := session.next()) is not None:
                kind, values = frame
                handler = self._handlers.get(kind)
                if handler is None:
                    raise WireError(f"{kind.name} is not for this connection")
                handler(*values)
        except WireError as error:
            self.fail(str(error))

    def pause_writing(self) -> None:
        """Stops reading until the other end reads again, and aborts the connection after `stall_ms`."""
        self.write_paused = True
        self._stall_timer = self.loop.call_later(self.stall_ms / 1000.0, self.abort)
        if not self.closed:
            self._established_transport().pause_reading()

    def resume_writing(self) -> None:
        """Resumes reading, as the other end reads again."""
        self.write_paused = False
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if not self.closed:
            self._established_transport().resume_reading()
            self.on_writable()

    def eof_received(self) -> bool:
        """Lets the transport close the connection, as the other end has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers and calls `on_disconnect`; `exc` is None unless the connection broke."""
        self.closed = True
        for timer in (self._stall_timer, self._keepalive_timer):
            if timer is not None:
                timer.cancel()
        self._unsent.clear()
        self.on_disconnect(exc)

    # ---- hooks for subclasses, which do nothing here

    def on_batch_start(self) -> None:
        """Prepares for the frames in received bytes, before the first of them is handled."""

    def on_ready(self) -> None:
        """Handles the completion of the greeting."""

    def on_writable(self) -> None:
        """Resumes sending, as the other end reads again."""

    def on_disconnect(self, exc: Exception | None) -> None:
        """Handles the end of the connection; `exc` is None unless it broke."""

    def on_rejection(self, reason: str) -> None:
        """Handles an ERROR, which the other end sends before it closes the connection."""

    # ---- operations

    def send(self, kind: Kind, *values: Any) -> None:
        """Sends a frame, unless the connection is closed or has failed."""
        if not self.closed and not self.failed:
            self._write(encode(kind, *values))

    def flush(self) -> None:
        """Passes the frames that were sent, but not written yet, to the transport."""
        self._flush_scheduled = False
        if self._unsent and not self.closed:
            data = self._unsent[0] if len(self._unsent) == 1 else b"".join(self._unsent)
            self._unsent.clear()
            self._established_transport().write(data)

    def fail(self, reason: str) -> None:
        """Sends one ERROR frame with the reason, then closes the connection."""
        if self.closed or self.failed:
            return
        self.failed = True
        self._unsent.append(encode(Kind.ERROR, reason))
        self.close()

    def close(self) -> None:
        """Writes the remaining frames and closes; aborts if the other end does not read them within `stall_ms`."""
        if self.closed:
            return
        self.flush()
        self.closed = True
        self._established_transport().close()
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(self.stall_ms / 1000.0, self.abort)

    def abort(self) -> None:
        """Aborts the connection, if there is one, and discards unwritten data."""
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Closes a peer whose dial was abandoned, even if its connection is established later."""
        self.closed = True
        self._unsent.clear()
        self.abort()

    def _established_transport(self) -> asyncio.Transport:
        """Returns the transport, which must be set."""
        assert self.transport is not None, "the connection is not established yet"
        return self.transport

    def _write(self, data: bytes) -> None:
        self._unsent.append(data)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_soon(self.flush)

    def _check_alive(self) -> None:
        silent_ms = (self.loop.time() - self.last_received_s) * 1000.0
        greeted = self.session.version is not None
        self._keepalive_checks += 1
        # Bytes of an incomplete greeting don't prolong the time that the other end has for it.
        if not greeted and self._keepalive_checks > MAX_SILENT_INTERVALS:
            self.abort()
            return
        if silent_ms >= MAX_SILENT_INTERVALS * self.keepalive_ms and not self.write_paused:
            self.abort()
            return
        if silent_ms >= self.keepalive_ms and greeted:
            self.send(Kind.PING, 0)
        self._keepalive_timer = self.loop.call_later(self.keepalive_ms / 1000.0, self._check_alive)

    # ---- handlers of the common kinds

    def on_hello(self, *_: Any) -> None:
        """Answers the other end's greeting, which the session has accepted, if the other end dialed."""
        if not self.session.dialed:
            self._write(self.session.encode_greeting())
        self.on_ready()

    def on_error(self, reason: str) -> None:
        """Closes the connection, since the other end has rejected it."""
        self.on_rejection(reason)
        self.close()

    def on_ping(self, token: int) -> None:
        """Answers with the same token, after the frames that were sent before."""
        self.send(Kind.PONG, token)

    def on_pong(self, token: int) -> None:
        """Ignores the answer to a PING, whose arrival alone shows that the other end is alive."""
