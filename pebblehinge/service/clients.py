"""A client's connection: what comes on it, one open request at most, and the one end of what is owed there.

A request that is not in the protocol's form is answered with an error, and its connection is closed behind it: what
else waits on it is not worth reading. Nothing of it has gone anywhere.

Reading is never paused: a client that goes is seen by the end of its sending, which stands behind whatever it sent. One
that sends more ahead than is kept is answered as far as that goes, then told so.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any, Protocol

from pebblehinge.http1 import BODY_LIMIT, HttpError, HttpRequest, RequestParser, write_response
from pebblehinge.service.peek import ended, readable
from pebblehinge.service.requests import Asked, ServiceRequest, read_request

AHEAD_LIMIT = 2 * BODY_LIMIT  # bytes of requests sent ahead; clients send one request at a time


class Door(Protocol):
    """What a connection needs of the door that it came through."""

    owner: Any
    fresh: dict[ClientConn, None]
    idle: dict[ClientConn, None]
    closing: dict[ClientConn, None]
    ids: set[str]
    refused: int
    closes: bool

    def stands(self, conn: ClientConn, book: dict[ClientConn, None]) -> None: ...
    def take(self, conn: ClientConn, asked: Asked, body: bytes) -> None: ...
    def uncount(self, conn: ClientConn) -> None: ...


class ClientConn(asyncio.Protocol):
    """One client's connection. At most one request of it is open; what was sent ahead waits for its answer."""

    __slots__ = (
        "door",
        "transport",
        "sock",
        "requests",
        "pending",
        "keeps",
        "since",
        "over",
        "waits",
        "full",
        "closing",
        "shelved",
        "counted",
        "until",
    )

    def __init__(self, door: Door, sock: socket.socket) -> None:
        self.door, self.sock = door, sock
        self.transport: Any = None
        self.requests = RequestParser()
        self.pending: ServiceRequest | None = None
        self.keeps = self.counted = True
        self.waits = False  # for what lies unread
        self.over = False  # more was sent ahead than is kept: what comes now is read and dropped
        self.full = self.closing = False
        self.since = self.until = 0.0  # until when the client of the last request waits for its answer
        self.shelved: dict[ClientConn, None] | None = None  # the door's book that it stands in

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.door.stands(self, self.door.fresh)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.over:  # read and dropped: a close over unread bytes would take the last answer along
            return
        self.requests.feed(data)
        if self.pending is None:
            self.go_on()
        if not self.closing and len(self.requests.buffer) > AHEAD_LIMIT:
            self.over, self.requests.buffer = True, self.requests.buffer[:AHEAD_LIMIT]
            if self.pending is None:
                self.go_on()

    def go_on(self) -> None:
        """Takes what has come, one request after the other, as far as each is answered at once. Where more lies
        unread behind it, that is read first: it may be the client's end, or much more than is kept."""
        if self.pending is None and not (self.closing or self.full or self.over) and not self.quiet():
            if not self.waits:
                self.waits = True
                self.door.owner.loop.call_soon(self._go_on)
            return
        while self.pending is None and not self.closing and not self.full:
            try:
                request = self.requests.next()
                if request is None and self.over:
                    raise HttpError(413, f"more than {AHEAD_LIMIT} bytes were sent ahead")
                if request is None:
                    if self.requests.expects_continue:
                        self.requests.expects_continue = False
                        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    break
                self._take(request)
            except HttpError as error:
                self.refuse(error.status, str(error))
        if not self.closing and self.pending is None:
            if self.requests.partial:
                if self.shelved is not self.door.fresh:
                    self.door.stands(self, self.door.fresh)
            elif self.shelved is not self.door.idle:
                self.door.stands(self, self.door.idle)

    def _go_on(self) -> None:
        self.waits = False
        self.go_on()

    def _take(self, request: HttpRequest) -> None:
        door = self.door
        if request.version not in ("1.0", "1.1"):
            raise HttpError(400, "not HTTP/1.1")
        self.keeps = request.keep_alive
        if request.method == b"GET" and request.target in (b"/health/ready", b"/health/live"):
            well = request.target.endswith(b"live") or door.owner.ready()
            self.reply(200 if well else 503)
            return
        asked = read_request(request, door.owner.config)
        if asked.id in door.ids:
            raise HttpError(400, "X-Request-Id: open already")
        door.take(self, asked, request.body)

    def answered(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """The final answer of the request that is open here; what waits is looked at in a turn of its own."""
        self.settle()
        self.reply(status, body, extra)
        if not self.closing:
            self.door.stands(self, self.door.idle)
            if self.requests.buffer or self.over:
                self.door.owner.loop.call_soon(self.go_on)

    def settle(self) -> None:
        """No request is open here any more."""
        if self.pending is not None:
            self.door.ids.discard(self.pending.id)
            self.pending = None

    def reply(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """An answer, whole; where it ends the connection, it says so."""
        if not self.closing:
            # While the head leaves, what came behind this request is owed an answer too.
            keeps = self.keeps and not (self.door.closes and not self.requests.buffer and self.quiet())
            self.transport.write(write_response(status, body, keeps, extra))
            if not keeps:
                self.close()

    def refuse(self, status: int, text: str) -> None:
        """An error, and nothing more is read here."""
        self.keeps = False
        self.door.refused += 1
        self.reply(status, text.encode("latin-1", "replace") + b"\n")

    def close(self) -> None:
        """Our side ends once what was written has gone; the client's is read until it ends too, or for CLOSE_MS."""
        if not self.closing:
            self.closing = True
            self.requests.buffer = b""
            self.door.stands(self, self.door.closing)
            if not self.transport.is_closing():
                self.transport.write_eof()

    def quiet(self) -> bool:
        """Nothing has come that is not read yet: looked at on the socket, not on what the loop has read."""
        return self.transport.is_closing() or not readable(self.sock.fileno())

    def gone(self) -> bool:
        """The client has closed, be it unread yet: whatever it asked, nothing is begun for it any more."""
        return self.transport.is_closing() or ended(self.sock)

    def pause_writing(self) -> None:
        self.full = True
        self.since = self.door.owner.clock()

    def resume_writing(self) -> None:
        self.full = False
        if self.pending is None and not self.closing:
            self.door.owner.loop.call_soon(self.go_on)

    def leave(self) -> None:
        """The client has gone: the one end of what is open here, however often and in whatever order that is told."""
        pending, self.closing, self.requests.buffer = self.pending, True, b""
        self.settle()
        if pending is not None:
            self.door.owner.core.left(self.door.owner.clock(), pending)

    def eof_received(self) -> None:
        """A client that ends its sending has gone away. Not only once the connection is lost: that waits for whatever
        was written and is not read."""
        if not self.closing:
            self.door.stands(self, self.door.closing)
        self.leave()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.shelved is not None:
            self.shelved.pop(self, None)
            self.shelved = None
        self.door.uncount(self)
        self.leave()
