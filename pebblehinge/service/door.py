"""The door: all clients' connections, what is admitted, and the end of those that have stood too long."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

from pebblehinge.core import FinalStatus, PendingRequest, RequestTable
from pebblehinge.service.clients import ClientConn
from pebblehinge.service.config import ServiceConfig
from pebblehinge.service.requests import Asked, ServiceRequest


def retry_after(stay_ms: float) -> bytes:
    """When to come back, where that may be told."""
    return b"Retry-After: %.3f\r\n" % (stay_ms / 1000.0) if stay_ms > 0 else b""


class Owner(Protocol):
    """What the door needs of the head that owns it."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: RequestTable
    late_ms: float

    def ready(self) -> bool: ...


class Door:
    """All clients' connections, each in one book: the one that has stood there longest comes first."""

    READ_MS = 2400.0  # for a first or further request to come whole; bad clients are owed an end within 3 s
    IDLE_MS = 10_000.0  # with nothing open; the protocol lets a head close one at any time ...
    KEPT_PART = 1 / 4  # ... of the descriptors, at most, are held for clients that have asked something: those who
    # come hold a third at most, and can't ask anew while others who asked once stay on
    UNREAD_MS = 300.0  # more than that, where part of it lies unread since the loop is late
    CLOSE_MS = 1500.0  # for a client to end its side once it has been told that we end ours
    LEFT_MS = 50.0  # ... or, when the head ends, by so much
    STALL_MS = 3000.0  # for a client to read any answer, and at least until its time is up
    MARGIN_MS = 4.0  # an answer leaves by so much before the client stops waiting

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.fresh: dict[ClientConn, None] = {}  # nothing yet, or part of a request
        self.idle: dict[ClientConn, None] = {}
        self.busy: dict[ClientConn, None] = {}  # a request is open
        self.closing: dict[ClientConn, None] = {}
        self.ids: set[str] = set()  # of requests that are open
        self.count = 0
        self.refused = self.spared = self.unserved = 0
        self.gone = 0  # requests of which no attempt was begun, since their client had closed
        self.leaving = False  # SIGTERM has come: none can come back that is sent away
        self.closes = False  # every answer ends its connection

    def stands(self, conn: ClientConn, book: dict[ClientConn, None]) -> None:
        if conn.shelved is not None:
            conn.shelved.pop(conn, None)
        conn.shelved = book
        conn.since = self.owner.clock()
        book[conn] = None
        if book is self.idle:
            self.trim()

    def take(self, conn: ClientConn, asked: Asked, body: bytes) -> None:
        owner, now = self.owner, self.owner.clock()
        if owner.core.open >= owner.config.most_open:
            conn.reply(503, extra=retry_after(owner.config.settings.stay_away_max_ms))
            return
        pending = ServiceRequest()
        pending.conn, pending.id, pending.volume, pending.units, pending.data = (
            conn,
            asked.id,
            asked.volume,
            asked.units,
            body,
        )
        pending.head = asked.head
        conn.pending = pending
        self.ids.add(asked.id)
        self.stands(conn, self.busy)
        owner.core.counts.received += 1
        # It may have waited here unread for as long as the loop is late.
        deadline_ms = now - owner.late_ms + asked.max_wait_ms - self.MARGIN_MS
        conn.until = min(deadline_ms, now + owner.config.longest_ms)
        again = asked.again if owner.config.settings.marks_repeats else None
        owner.core.accept(
            now,
            pending,
            asked.extent,
            asked.request_class,
            asked.quota_plan,
            asked.set_size,
            asked.slot,
            deadline_ms,
            again,
        )

    def answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, data: bytes) -> None:
        conn: ClientConn = pending.conn
        if conn.pending is not pending:
            return  # its client has gone
        if final is FinalStatus.SUCCEEDED:
            conn.answered(200, data)
        elif final is FinalStatus.REJECTED:
            conn.answered(503, extra=retry_after(stay_ms))
        else:
            conn.answered(502)

    def wanted(self, pending: PendingRequest) -> bool:
        """Whether anything may still be begun for a request: it has no answer, and its client is there."""
        if not pending.answered and pending.conn.gone():
            self.owner.loop.call_soon(self._lose, pending.conn)
            self.gone += 1
            return False
        return not pending.answered

    def _lose(self, conn: ClientConn) -> None:
        conn.leave()
        conn.transport.abort()

    def look(self, now: float) -> None:
        """Now and then: what has stood too long is closed."""
        for conn in [c for c in self.fresh if now - c.since > self.READ_MS]:
            if now - conn.since <= self.READ_MS + self.UNREAD_MS and not conn.quiet():
                continue
            self.unfinished(conn)
        # While the head leaves, none can come back that is sent away: idle ones stay to the end.
        for conn in [] if self.leaving else [c for c in self.idle if now - c.since > self.IDLE_MS]:
            if conn.quiet():
                conn.close()
        for conn in [c for c in self.closing if now - c.since > self.CLOSE_MS]:
            if not conn.transport.get_write_buffer_size() or now > max(conn.until, conn.since + self.STALL_MS):
                conn.transport.abort()
        for conn in [c for c in self.idle if c.full and now > max(c.until, c.since + self.STALL_MS)]:
            conn.transport.abort()

    def unfinished(self, conn: ClientConn) -> None:
        """The end of a connection whose next request has not come whole in time."""
        if conn.requests.partial:
            conn.refuse(408, "the request did not come whole in time")
        else:
            self.unserved += 1
            conn.close()

    def trim(self) -> None:
        """The connections idle for longest are closed where more stand than may, but none that holds what is unread."""
        over = len(self.idle) + len(self.busy) - int(self.KEPT_PART * self.owner.config.sockets)
        if over > 0 and not self.leaving:
            for conn in [c for c in itertools.islice(self.idle, 2 * over) if c.quiet()][:over]:
                conn.close()

    def spare(self, now: float) -> bool:
        """Ends one connection with no request open, where there is one: one that is closing, has said nothing for a
        while, or is idle longest."""
        for book, least in ((self.closing, 100.0), (self.fresh, 300.0), (self.idle, 0.0), (self.fresh, 0.0)):
            for conn in book:
                if now - conn.since < least:
                    break
                if conn.transport.get_write_buffer_size() or not (conn.closing or conn.quiet()):
                    continue
                self.unserved += book is self.fresh
                del book[conn]
                conn.shelved, conn.closing = None, True
                self.spared += 1
                self.uncount(conn)
                conn.transport.abort()
                return True
        return False

    def uncount(self, conn: ClientConn) -> None:
        if conn.counted:
            conn.counted = False
            self.count -= 1

    def stop(self, last: bool) -> None:
        """The head's last turns: what has nothing open and nothing unread is closed, the others end with their
        answer. Half a request may still become whole, unless it is the last time."""
        self.closes = True
        for conn in [c for c in (*self.idle, *self.fresh) if c.quiet()]:
            if not conn.requests.partial:
                self.unserved += conn.shelved is self.fresh
                conn.close()
            elif last:
                conn.refuse(503, "this head ends")

    def owed(self, now: float) -> int:
        """Connections on which something is, or may be, owed: all but those whose last answer has left."""
        closing = sum(not c.transport.get_write_buffer_size() and now - c.since > self.LEFT_MS for c in self.closing)
        return self.count - closing
