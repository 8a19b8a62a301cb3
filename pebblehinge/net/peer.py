"""A connection that speaks the framed protocol. Subclasses handle frames in methods `on_<kind>`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from pebblehinge.net.address import parse_address
from pebblehinge.net.handlers import COMMON_KINDS, HANDLERS
from pebblehinge.wire import Kind, Session, WireError, encode

MAX_SILENT_INTERVALS = 3
"""A connection is cut after so many keepalive intervals without a byte, or without a complete greeting."""


async def dial(loop: asyncio.AbstractEventLoop, peer: Peer, address: str) -> None:
    """Connects a peer that greets to `address` (host:port).

    A peer whose dial fails, is cancelled or runs out of its caller's time writes nothing from then on: uvloop may have
    closed a connection that was established already without telling its protocol.

    Raises:
        OSError: The connection could not be made.
        AddressError: `address` is none.
    """
    host, port = parse_address(address)
    try:
        await loop.create_connection(lambda: peer, host, port)
    except BaseException:
        peer.abandon()
        raise


class Peer(asyncio.Protocol):
    """One end of a connection: dispatches frames to handlers, coalesces writes, and keeps both directions bounded.

    What is sent within one turn of the loop goes out in one write. A peer that does not read is not read from either,
    and is cut after `stall_ms`. With a `keepalive_ms` above 0, a silent connection is sent a PING after that time and
    cut after `SILENT_INTERVALS` times that.

    Attributes:
        FRAMES: The kinds that the other end may send beside the common ones. For subclasses.
        session: The protocol state.
        transport: The transport, None before the connection is made.
        paused: Whether the other end does not read.
        closed: Whether this end has closed, or lost, the connection: nothing is read or written any more.
        failed: Whether the connection ends with an ERROR of this end.
        heard: When bytes last came, in seconds of the loop's clock.
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

    # ---- called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established: greets, if this end made it, and starts the keepalive."""
        self.transport = cast(asyncio.Transport, transport)  # the virtual network's transports are no subclasses of it
        if self.closed:  # its dial was given up
            self.transport.abort()
            return
        self.last_received_s = self.loop.time()
        if self.session.dialed:
            self._write(self.session.encode_greeting())
        if self.keepalive_ms:
            self._keepalive_timer = self.loop.call_later(self.keepalive_ms / 1000.0, self._check_alive)

    def data_received(self, data: bytes) -> None:
        """Bytes have come: calls the handler of each complete frame, and fails the connection on a malformed one."""
        if self.closed:  # nothing more is read from a peer that was told why it is cut
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
        """The other end does not read: it is not read from until it does, and cut if that takes too long."""
        self.write_paused = True
        self._stall_timer = self.loop.call_later(self.stall_ms / 1000.0, self.abort)
        if not self.closed:
            self._connected().pause_reading()

    def resume_writing(self) -> None:
        """The other end reads again."""
        self.write_paused = False
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if not self.closed:
            self._connected().resume_reading()
            self.on_writable()

    def eof_received(self) -> bool:
        """The other end has closed its side; the transport closes the connection."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over, with an exception if it broke."""
        self.closed = True
        for timer in (self._stall_timer, self._keepalive_timer):
            if timer is not None:
                timer.cancel()
        self._unsent.clear()
        self.on_disconnect(exc)

    # ---- hooks for subclasses

    def on_batch_start(self) -> None:
        """Called when bytes have come, before their frames are handled."""

    def on_ready(self) -> None:
        """Called when the greeting is over."""

    def on_writable(self) -> None:
        """Called when the other end reads again."""

    def on_disconnect(self, exc: Exception | None) -> None:
        """Called when the connection is over, with an exception if it broke."""

    def on_rejection(self, reason: str) -> None:
        """Called when the other end sent ERROR, which it does before it closes."""

    # ---- operations

    def send(self, kind: Kind, *values: Any) -> None:
        """Sends a frame; nothing on a connection that is closed or has failed."""
        if not self.closed and not self.failed:
            self._write(encode(kind, *values))

    def flush(self) -> None:
        """Hands to the transport what was sent and not yet written."""
        self._flush_scheduled = False
        if self._unsent and not self.closed:
            data = self._unsent[0] if len(self._unsent) == 1 else b"".join(self._unsent)
            self._unsent.clear()
            self._connected().write(data)

    def fail(self, reason: str) -> None:
        """Sends one ERROR frame with the reason, then closes."""
        if self.closed or self.failed:
            return
        self.failed = True
        self._unsent.append(encode(Kind.ERROR, reason))
        self.close()

    def close(self) -> None:
        """Writes what is left and closes; a peer that does not take it within `stall_ms` is cut."""
        if self.closed:
            return
        self.flush()
        self.closed = True
        self._connected().close()
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(self.stall_ms / 1000.0, self.abort)

    def abort(self) -> None:
        """Cuts the connection, if there is one; what was not written is dropped."""
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Ends a peer whose dial was given up: nothing is read or written, even if its connection is made yet."""
        self.closed = True
        self._unsent.clear()
        self.abort()

    def _connected(self) -> asyncio.Transport:
        """Returns the transport of a connection that was made."""
        assert self.transport is not None, "the connection is not made yet"
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
        if not greeted and self._keepalive_checks > MAX_SILENT_INTERVALS:  # bytes that trickle in keep no greeting open
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
        """The other end's greeting, which the session has accepted: it is answered if this end did not greet."""
        if not self.session.dialed:
            self._write(self.session.encode_greeting())
        self.on_ready()

    def on_error(self, reason: str) -> None:
        """The other end rejects what was sent, and closes."""
        self.on_rejection(reason)
        self.close()

    def on_ping(self, token: int) -> None:
        """Answered with the same token, after all that came before."""
        self.send(Kind.PONG, token)

    def on_pong(self, token: int) -> None:
        """The answer to a PING; that it came is enough."""
