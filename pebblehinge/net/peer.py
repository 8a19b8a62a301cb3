"""A connection that speaks the framed protocol. Subclasses say what each frame means by methods `on_<kind>`."""

from __future__ import annotations

import asyncio
from typing import Any

from pebblehinge.wire import Kind, Session, WireError, encode


def parse_address(text: str) -> tuple[str, int]:
    """`host:port`; raises ValueError with what was expected."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no address: expected host:port")
    return host.strip("[]"), int(port)


async def dial(loop: asyncio.AbstractEventLoop, peer: Peer, address: str) -> None:
    """Connects a peer that greets. One whose dial fails, runs out of its caller's time or is cancelled writes nothing:
    uvloop may have closed a connection that stood already without telling its protocol. Raises OSError, ValueError."""
    host, port = parse_address(address)
    try:
        await loop.create_connection(lambda: peer, host, port)
    except BaseException:
        peer.give_up()
        raise


class Peer(asyncio.Protocol):
    """Reads frames into calls, coalesces what is written in one turn of the loop, and keeps both bounded.

    A peer that does not read is not read from either; one that stays so for `stall_ms` is cut. With a
    `keepalive_ms`, a silent connection is asked, and cut when it stays silent for three times that.
    """

    FRAMES: frozenset[Kind] = frozenset()  # what the other side may send

    def __init__(
        self, loop: asyncio.AbstractEventLoop, session: Session, stall_ms: float, keepalive_ms: float = 0.0
    ) -> None:
        self.loop, self.session = loop, session
        self.stall_ms, self.keepalive_ms = stall_ms, keepalive_ms
        self.transport: Any = None
        self.out: list[bytes] = []
        self.flushing = self.paused = self.closed = self.failed = False
        self.stall: asyncio.TimerHandle | None = None
        self.alive: asyncio.TimerHandle | None = None
        self.heard, self.asked = 0.0, 0
        self.calls: dict[Kind, Any] = {
            kind: getattr(self, "on_" + kind.name.lower())
            for kind in self.FRAMES | {Kind.HELLO, Kind.ERROR, Kind.PING, Kind.PONG}
        }

    # ---- from the transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.closed:  # its dial was given up
            transport.abort()
            return
        self.heard = self.loop.time()
        if self.session.greets:
            self._write(self.session.opening())
        if self.keepalive_ms:
            self.alive = self.loop.call_later(self.keepalive_ms / 1000.0, self._ask_alive)

    def data_received(self, data: bytes) -> None:
        if self.closed:  # nothing more is read from a peer that was told why it is cut
            return
        self.heard = self.loop.time()
        session = self.session
        session.feed(data)
        self.batch()
        try:
            while not self.closed and (got := session.next()) is not None:
                kind, values = got
                call = self.calls.get(kind)
                if call is None:
                    raise WireError(f"{kind.name} is not for this connection")
                call(*values)
        except WireError as error:
            self.fail(str(error))

    def pause_writing(self) -> None:
        self.paused = True
        self.stall = self.loop.call_later(self.stall_ms / 1000.0, self.abort)
        if not self.closed:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.paused = False
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        if not self.closed:
            self.transport.resume_reading()
            self.writable()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        for timer in (self.stall, self.alive):
            if timer is not None:
                timer.cancel()
        self.out.clear()
        self.gone(exc)

    # ---- for subclasses

    def batch(self) -> None:
        """Bytes have come: what follows up to the next turn of the loop counts as one batch."""

    def ready(self) -> None:
        """The greeting is over."""

    def writable(self) -> None:
        """The other side reads again."""

    def gone(self, exc: Exception | None) -> None:
        """The connection is over."""

    def refused(self, reason: str) -> None:
        """The other side sent ERROR and will close."""

    # ---- calls

    def send(self, kind: Kind, *values: Any) -> None:
        """Encodes a frame; all that is sent in one turn of the loop goes out in one write."""
        if not self.closed and not self.failed:
            self._write(encode(kind, *values))

    def _write(self, data: bytes) -> None:
        self.out.append(data)
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        if self.out and not self.closed:
            data = self.out[0] if len(self.out) == 1 else b"".join(self.out)
            self.out.clear()
            self.transport.write(data)

    def fail(self, reason: str) -> None:
        """One ERROR frame with the reason, then the connection closes."""
        if self.closed or self.failed:
            return
        self.failed = True
        self.out.append(encode(Kind.ERROR, reason))
        self.close()

    def close(self) -> None:
        """Sends what stands and closes; a peer that does not take it in time is cut."""
        if self.closed:
            return
        self.flush()
        self.closed = True
        self.transport.close()
        if self.stall is None:
            self.stall = self.loop.call_later(self.stall_ms / 1000.0, self.abort)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Its dial was given up: nothing is read or written, whatever stands or comes yet."""
        self.closed = True
        self.out.clear()
        self.abort()

    def _ask_alive(self) -> None:
        quiet = (self.loop.time() - self.heard) * 1000.0
        self.asked += 1
        if self.session.version is None and self.asked > 3:  # bytes that trickle in keep no greeting open
            self.abort()
            return
        if quiet >= 3 * self.keepalive_ms and not self.paused:
            self.abort()
            return
        if quiet >= self.keepalive_ms and self.session.version is not None:
            self.send(Kind.PING, 0)
        self.alive = self.loop.call_later(self.keepalive_ms / 1000.0, self._ask_alive)

    # ---- frames that mean the same everywhere

    def on_hello(self, *_: Any) -> None:
        if not self.session.greets:
            self._write(self.session.opening())
        self.ready()

    def on_error(self, reason: str) -> None:
        self.refused(reason)
        self.close()

    def on_ping(self, token: int) -> None:
        self.send(Kind.PONG, token)

    def on_pong(self, token: int) -> None:
        pass
