"""The door: requests of the platform's clients, admitted or answered at once, and the answers on their way back.

A request that is not in the protocol's form is answered with an error, and its connection is closed behind it:
what else waits on it is not worth reading. Nothing of it has gone anywhere.
"""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.core import HONOURED, PUSHED_BACK, Core, Taken
from pebblehinge.http1 import BODY_LIMIT, HttpError, Request, Requests, write_answer, write_request
from pebblehinge.service.config import ServiceConfig
from pebblehinge.service.peek import readable

AHEAD_LIMIT = 2 * BODY_LIMIT  # bytes of requests sent ahead; past it the client is not read for a while
ID = re.compile(rb"[0-9A-Za-z_-]{1,64}")
HEX16 = re.compile(rb"[0-9A-Fa-f]{16}")
WHOLE = re.compile(rb"[0-9]{1,9}")
UNITS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")
SHARD = re.compile(rb"-1|[0-9]{1,6}")
ONCE = (b"host", b"x-request-id", b"x-class", b"x-plan", b"cookie", b"x-deadline-ms", b"x-io", b"x-retry")
PASSED_ON = {
    b"host": b"Host", b"x-request-id": b"X-Request-Id", b"x-class": b"X-Class", b"x-plan": b"X-Plan",
    b"cookie": b"Cookie", b"x-io": b"X-IO", b"x-retry": b"X-Retry", b"content-type": b"Content-Type",
}  # fmt: skip


class ServiceTaken(Taken):
    """One access, with the head of its trips up to the header that each trip has of its own."""

    __slots__ = ("head",)

    head: bytes


class Asked:
    """A client's request as the module is told of it."""

    __slots__ = (
        "id", "profile", "plan", "extent", "volume", "units", "slot", "set_size", "patience_ms", "again", "head",
    )  # fmt: skip


def read_access(request: Request, config: ServiceConfig) -> Asked:
    """What a request asks for; raises HttpError with what is not in the protocol's form."""

    def one(name: bytes, form: re.Pattern[bytes] | None = None) -> bytes:
        value = found.get(name)
        if value is None or (form is not None and form.fullmatch(value) is None):
            raise HttpError(400, f"{PASSED_ON.get(name, name).decode()}: missing, or not in its form")
        return value

    found: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in found and name in ONCE:
            raise HttpError(400, f"{name.decode('latin-1')} is told twice")
        found[name] = value
    asked = Asked()
    asked.id = one(b"x-request-id", ID).decode()
    one(b"host")
    asked.profile = one(b"x-class").decode("latin-1")
    writes = config.writes.get(asked.profile)
    if writes is None:
        raise HttpError(400, "X-Class: not known here")
    target = request.target
    if not target.startswith(b"/") or target.partition(b"?")[0].split(b"/")[1] != asked.profile.encode("latin-1"):
        raise HttpError(400, "the path does not begin with the class")
    if request.method != (b"PUT" if writes else b"GET"):
        raise HttpError(405, "a read is a GET, a write is a PUT")
    if request.body and not writes:
        raise HttpError(400, "a read has no body")
    asked.plan = one(b"x-plan").decode("latin-1")
    if not any(plan.name == asked.plan for plan in config.settings.plans):
        raise HttpError(400, "X-Plan: not known here")
    blocks = [p.strip()[6:] for p in one(b"cookie").split(b";") if p.strip().startswith(b"block=")]
    if len(blocks) != 1 or HEX16.fullmatch(blocks[0]) is None:
        raise HttpError(400, "Cookie: expected one block of 16 hex digits")
    asked.extent = blocks[0].decode()
    asked.patience_ms = float(one(b"x-deadline-ms", WHOLE))
    again = found.get(b"x-retry", b"0")
    if again not in (b"0", b"1"):
        raise HttpError(400, "X-Retry: not in its form")
    asked.again = again == b"1"
    parts = [part.strip().partition(b"=") for part in one(b"x-io").split(b",")]
    io = {name: value for name, _, value in parts}
    if len(io) != len(parts):
        raise HttpError(400, "X-IO: a value is told twice")
    for name, form in ((b"volume", HEX16), (b"units", UNITS), (b"shard", SHARD), (b"hosts", WHOLE)):
        if form.fullmatch(io.get(name, b"")) is None:
            raise HttpError(400, f"X-IO: {name.decode()} is missing, or not in its form")
    asked.volume, asked.units = io[b"volume"].decode(), float(io[b"units"])
    asked.slot, asked.set_size = int(io[b"shard"]), int(io[b"hosts"])
    if not 0 < asked.units <= config.settings.most_units or asked.set_size < 1:
        raise HttpError(400, "X-IO: units or hosts beyond what there is")
    if config.shards and asked.slot >= config.shards:
        raise HttpError(400, "X-IO: no such shard")
    passed = [(PASSED_ON[name], value) for name, value in request.headers if name in PASSED_ON]
    asked.head = write_request(request.method, target, passed, request.body)
    return asked


def retry_after(stay_ms: float) -> bytes:
    """When to come back, where that may be told."""
    return b"Retry-After: %.3f\r\n" % (stay_ms / 1000.0) if stay_ms > 0 else b""


class Owner(Protocol):
    """What the door needs of the head that owns it."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: Core
    late_ms: float

    def ready(self) -> bool: ...


class ClientConn(asyncio.Protocol):
    """One client's connection. At most one access of it is open; what was sent ahead waits for its answer."""

    __slots__ = (
        "door", "transport", "requests", "taken", "keeps", "since", "reads", "full", "closing", "shelved",
        "counted", "until",
    )  # fmt: skip

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: Any = None
        self.requests = Requests()
        self.taken: ServiceTaken | None = None
        self.keeps = self.reads = self.counted = True
        self.full = self.closing = False
        self.since = self.until = 0.0  # until when the client of the last access waits for its answer
        self.shelved: dict[ClientConn, None] | None = None  # the door's book that it stands in

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.door.stands(self, self.door.fresh)

    def data_received(self, data: bytes) -> None:
        if self.closing:  # read and dropped: a close over unread bytes would take the last answer along
            return
        self.requests.feed(data)
        if self.taken is None:
            self.go_on()
        elif len(self.requests.buffer) > AHEAD_LIMIT and self.reads:
            self.reads = False
            self.transport.pause_reading()

    def go_on(self) -> None:
        """Takes what has come, one request after the other, as far as each is answered at once."""
        while self.taken is None and not self.closing and not self.full:
            try:
                request = self.requests.next()
                if request is None:
                    if self.requests.told:
                        self.requests.told = False
                        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    break
                self._take(request)
            except HttpError as error:
                self.refuse(error.status, str(error))
        if not self.closing and not self.reads and len(self.requests.buffer) <= AHEAD_LIMIT:
            self.reads = True
            self.transport.resume_reading()
        if not self.closing and self.taken is None:
            if self.requests.partial:
                if self.shelved is not self.door.fresh:
                    self.door.stands(self, self.door.fresh)
            elif self.shelved is not self.door.idle:
                self.door.stands(self, self.door.idle)

    def _take(self, request: Request) -> None:
        door = self.door
        if request.version not in ("1.0", "1.1"):
            raise HttpError(400, "not HTTP/1.1")
        self.keeps = request.keep_alive
        if request.method == b"GET" and request.target in (b"/health/ready", b"/health/live"):
            well = request.target.endswith(b"live") or door.owner.ready()
            self.reply(200 if well else 503)
            return
        asked = read_access(request, door.owner.config)
        if asked.id in door.ids:
            raise HttpError(400, "X-Request-Id: open already")
        door.take(self, asked, request.body)

    def answered(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """The final answer of the access that is open here; what waits is looked at in a turn of its own."""
        self.settle()
        self.reply(status, body, extra)
        if not self.closing:
            self.door.stands(self, self.door.idle)
            if self.requests.buffer or not self.reads:
                self.door.owner.loop.call_soon(self.go_on)

    def settle(self) -> None:
        """No access is open here any more."""
        if self.taken is not None:
            self.door.ids.discard(self.taken.id)
            self.taken = None

    def reply(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """An answer, whole; where it ends the connection, it says so."""
        if not self.closing:
            # While the head leaves, what came behind this access is owed an answer too.
            keeps = self.keeps and not (self.door.closes and not self.requests.buffer and self.quiet())
            self.transport.write(write_answer(status, body, keeps, extra))
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
            if self.transport.is_closing():
                return
            if not self.reads:
                self.reads = True
                self.transport.resume_reading()
            self.transport.write_eof()

    def quiet(self) -> bool:
        """Nothing has come that is not read yet: looked at on the socket, not on what the loop has read."""
        return self.transport.is_closing() or not readable(self.transport.get_extra_info("socket").fileno())

    def pause_writing(self) -> None:
        self.full = True
        self.since = self.door.owner.clock()

    def resume_writing(self) -> None:
        self.full = False
        if self.taken is None and not self.closing:
            self.door.owner.loop.call_soon(self.go_on)

    def eof_received(self) -> None:
        """A client that ends its sending has gone away."""

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        if self.shelved is not None:
            self.shelved.pop(self, None)
            self.shelved = None
        self.door.uncount(self)
        taken = self.taken
        self.settle()
        if taken is not None:
            self.door.owner.core.left(self.door.owner.clock(), taken)


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
        self.busy: dict[ClientConn, None] = {}  # an access is open
        self.closing: dict[ClientConn, None] = {}
        self.ids: set[str] = set()  # of accesses that are open
        self.count = 0
        self.refused = self.spared = self.unserved = 0
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
        taken = ServiceTaken()
        taken.conn, taken.id, taken.volume, taken.units, taken.data = conn, asked.id, asked.volume, asked.units, body
        taken.head = asked.head
        conn.taken = taken
        self.ids.add(asked.id)
        self.stands(conn, self.busy)
        owner.core.counts["taken"] += 1
        # It may have waited here unread for as long as the loop is late.
        abandon = now - owner.late_ms + asked.patience_ms - self.MARGIN_MS
        conn.until = min(abandon, now + owner.config.longest_ms)
        again = asked.again if owner.config.settings.marks_repeats else None
        owner.core.accept(
            now, taken, asked.extent, asked.profile, asked.plan, asked.set_size, asked.slot, abandon, again
        )

    def answer(self, taken: Taken, final: int, stay_ms: float, data: bytes) -> None:
        conn: ClientConn = taken.conn
        if conn.taken is not taken:
            return  # its client has gone
        if final == HONOURED:
            conn.answered(200, data)
        elif final == PUSHED_BACK:
            conn.answered(503, extra=retry_after(stay_ms))
        else:
            conn.answered(502)

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
        """Ends one connection with no access open, where there is one: one that is closing, has said nothing for a
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
