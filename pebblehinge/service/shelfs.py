"""Shelfs as this head reaches them: addresses, a pool of connections each, and the trips on them.

One connection carries one trip at a time. Each way a trip may end becomes the one outcome that the protocol names
for it. The connection used last is used first, so that few stay warm; one on which anything came while nothing was
asked is never used again.
"""

from __future__ import annotations

import asyncio
import errno
import select
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.core import Taken
from pebblehinge.http1 import HttpError, Response, Responses
from pebblehinge.interface import Outcome

IDLE_PART = 0.8  # of the time after which a shelf may close an idle connection; then we do
HELD_LIMIT = 16 * 1024 * 1024  # bytes of answers that are not whole yet, over all connections
SECOND_LOOK_S = 0.003  # a timer that is due looks at the sockets once more
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)  # our own lack


class Owner(Protocol):
    """What the pool needs of the head that owns it."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    def ended(self, taken: Taken, trip: int, outcome: Outcome, took_ms: float, data: bytes) -> None: ...
    def make_room(self) -> None: ...


class Trip:
    """One trip that is out. `written` once its last byte is with the machine's network."""

    __slots__ = ("taken", "number", "shelf", "until_ms", "conn", "timer", "task", "sent_ms", "written")

    def __init__(self, taken: Taken, number: int, shelf: Shelf, until_ms: float, now: float) -> None:
        self.taken, self.number, self.shelf, self.until_ms, self.sent_ms = taken, number, shelf, until_ms, now
        self.conn: ShelfConn | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.written = False


class Shelf:
    """One id of the list: where it is, and its idle connections, the one used last at the end."""

    __slots__ = ("name", "address", "idle", "trips", "listed")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[ShelfConn] = []
        self.trips = 0  # out
        self.listed = True  # and wants new accesses


class ShelfConn(asyncio.Protocol):
    """One connection to a shelf."""

    __slots__ = ("pool", "shelf", "address", "transport", "answers", "trip", "idle_ms", "poll", "held")

    def __init__(self, pool: Shelfs, shelf: Shelf) -> None:
        self.pool, self.shelf, self.address = pool, shelf, shelf.address
        self.answers = Responses()
        self.trip: Trip | None = None
        self.idle_ms = 0.0
        self.held = 0  # bytes of an answer that is not whole yet
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        # With no room for bytes that wait, a write goes out at once and we are told when all have gone.
        transport.set_write_buffer_limits(high=0)
        self.pool.connections += 1
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def usable(self) -> bool:
        """Nothing has come on it and it is not at its end: looked at on the socket, not on what the loop has read."""
        return not self.transport.is_closing() and not self.poll.poll(0)

    def send(self, trip: Trip) -> None:
        self.trip, trip.conn = trip, self
        wait = max(1, int(trip.until_ms - self.pool.owner.clock()))
        self.transport.write(trip.taken.head + b"X-Deadline-Ms: %d\r\n\r\n" % wait + trip.taken.data)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            trip.written = True

    def resume_writing(self) -> None:
        if self.trip is not None and not self.transport.is_closing():
            self.trip.written = True

    def data_received(self, data: bytes) -> None:
        trip = self.trip
        if trip is None:
            self.transport.abort()
            return
        try:
            self.answers.feed(data)
            answer = self.answers.next()
            self.hold(self.answers.size)
        except HttpError:
            self.pool.note("unreadable")
            self.trip = None
            self.transport.abort()
            self.pool.over(trip, Outcome.ERRED)  # it has run, and what came is of no use
            return
        if answer is None:
            return
        self.trip = None
        self.pool.note(str(answer.status))
        if answer.keep_alive and trip.written and not self.answers.buffer:
            self.pool.keep(self)
        else:
            self.transport.abort()
        self.pool.over(trip, outcome_of(answer), answer.body)

    def hold(self, size: int) -> None:
        """So much of an answer has come: all of them together are bounded, whatever each is said to bring."""
        self.pool.held += size - self.held
        self.held = size
        if self.pool.held > HELD_LIMIT:
            raise HttpError(502, f"more than {HELD_LIMIT} bytes of answers that are not whole yet")

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections -= 1
        self.pool.held -= self.held
        trip, self.trip = self.trip, None
        if self in self.shelf.idle:
            self.shelf.idle.remove(self)
        if trip is not None:
            self.pool.over(trip, Outcome.BROKEN if trip.written else Outcome.UNREACHED)


def outcome_of(answer: Response) -> Outcome:
    """What a whole answer says. Only on 503 and 504 a shelf can say that it has not run the access."""
    if answer.status == 200:
        return Outcome.HONOURED
    if answer.status in (503, 504) and answer.all(b"x-not-run") == [b"1"]:
        return Outcome.FULL
    return Outcome.ERRED


class Shelfs:
    """All shelfs of the list."""

    def __init__(self, owner: Owner, idle_ms: float, connect_ms: float) -> None:
        self.owner, self.loop = owner, owner.loop
        self.idle_ms, self.connect_ms = idle_ms, connect_ms
        self.table: dict[str, Shelf] = {}
        self.connections = self.held = 0
        self.answers: dict[str, int] = {}  # how many came, by status
        self.out = 0  # trips

    def listed(self, ready: dict[str, bool], addresses: dict[str, tuple[str, int]], whole: bool) -> None:
        """What a list says: by id, whether it wants new accesses, and where it is."""
        for name, wants in ready.items():
            address = addresses[name]
            shelf = self.table.get(name)
            if shelf is None:
                shelf = self.table[name] = Shelf(name, address)
            elif shelf.address != address:
                shelf.address = address
                self._close_idle(shelf)
            shelf.listed = wants
        for shelf in list(self.table.values()):
            if whole and shelf.name not in ready:
                shelf.listed = False
            if not shelf.listed:
                self._close_idle(shelf)
                self._forget(shelf)

    def send(self, taken: Taken, name: str, number: int, until_ms: float) -> None:
        """A trip leaves. Its outcome comes later, never out of this call."""
        now = self.owner.clock()
        shelf = self.table[name]
        trip = taken.trip = Trip(taken, number, shelf, until_ms, now)
        shelf.trips += 1
        self.out += 1
        trip.timer = self.loop.call_later(max(0.0, until_ms - now) / 1000.0, self._due, trip)
        conn = self._pooled(shelf)
        if conn is not None:
            conn.send(trip)
        else:
            trip.task = self.loop.create_task(self._connect(trip))

    def drop(self, trip: Trip) -> None:
        """It is given up: its connection is closed, one that is still being made is kept for others."""
        self._end(trip)
        if trip.conn is not None:
            trip.conn.trip = None
            trip.conn.transport.abort()

    def over(self, trip: Trip, outcome: Outcome, data: bytes = b"") -> None:
        if trip.taken.trip is trip:
            took = self.owner.clock() - trip.sent_ms
            self._end(trip)
            self.owner.ended(trip.taken, trip.number, outcome, took, data)

    def keep(self, conn: ShelfConn) -> None:
        shelf = conn.shelf
        if shelf.listed and conn.address == shelf.address and self.table.get(shelf.name) is shelf:
            conn.idle_ms = self.owner.clock()
            shelf.idle.append(conn)
        else:
            conn.transport.abort()

    def look(self, now: float) -> None:
        """Now and then: connections that the shelf may soon close are closed."""
        for shelf in self.table.values():
            while shelf.idle and now - shelf.idle[0].idle_ms > IDLE_PART * self.idle_ms:
                shelf.idle.pop(0).transport.abort()

    def spare(self) -> None:
        """Closes the connection that has been idle for longest, where there is one."""
        idle = [shelf.idle[0] for shelf in self.table.values() if shelf.idle]
        if idle:
            min(idle, key=lambda c: c.idle_ms).shelf.idle.pop(0).transport.abort()

    def stop(self) -> None:
        for shelf in self.table.values():
            self._close_idle(shelf)

    def note(self, what: str) -> None:
        self.answers[what] = self.answers.get(what, 0) + 1

    # ---- inside

    def _pooled(self, shelf: Shelf) -> ShelfConn | None:
        while shelf.idle:
            conn = shelf.idle.pop()
            if conn.usable():
                return conn
            conn.transport.abort()
        return None

    async def _connect(self, trip: Trip) -> None:
        shelf, task = trip.shelf, trip.task
        assert task is not None
        # The second look needs no calling off: a task that is done can't be cancelled.
        due = self.loop.call_later(self.connect_ms / 1000.0, self.loop.call_later, SECOND_LOOK_S, task.cancel)
        self.owner.make_room()
        try:
            _, conn = await self.loop.create_connection(lambda: ShelfConn(self, shelf), *shelf.address)
        except asyncio.CancelledError:
            self.over(trip, Outcome.UNREACHED)
            return
        except OSError as error:
            self.over(trip, Outcome.MOOT if error.errno in NO_ROOM else Outcome.UNREACHED)
            return
        finally:
            due.cancel()
            trip.task = None
        if trip.taken.trip is trip and not conn.transport.is_closing():
            conn.send(trip)
        elif trip.taken.trip is trip:
            self.over(trip, Outcome.UNREACHED)
        else:
            self.keep(conn)

    def _due(self, trip: Trip) -> None:
        trip.timer = self.loop.call_later(SECOND_LOOK_S, self._overdue, trip)

    def _overdue(self, trip: Trip) -> None:
        if trip.conn is not None:
            trip.conn.trip = None
            trip.conn.transport.abort()
        # One whose connection never came up has not been sent at all.
        self.over(trip, Outcome.OVERDUE if trip.written else Outcome.MOOT)

    def _end(self, trip: Trip) -> None:
        trip.taken.trip = None
        if trip.timer is not None:
            trip.timer.cancel()
            trip.timer = None
        trip.shelf.trips -= 1
        self.out -= 1
        self._forget(trip.shelf)

    def _close_idle(self, shelf: Shelf) -> None:
        for conn in shelf.idle:
            conn.transport.abort()
        shelf.idle.clear()

    def _forget(self, shelf: Shelf) -> None:
        if not shelf.listed and not shelf.trips and self.table.get(shelf.name) is shelf:
            del self.table[shelf.name]
