"""Shelfs as this head reaches them: addresses, their pools of connections, dials, and the attempts on them.

An attempt's bytes go out in one place, `_begin`, and only while they may: its request has no answer yet and its client
is there, its time to begin is not over, and the list still wants requests at the address that the connection leads to.
What was settled by then is `NOT_SENT`: nothing of it was sent.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Protocol

from pebblehinge.core import PendingRequest
from pebblehinge.interface import Outcome
from pebblehinge.service.pool import Attempt, Shelf, ShelfConn

IDLE_PART = 0.8  # of the time after which a shelf may close an idle connection; then we do
SECOND_LOOK_S = 0.003  # a timer that is due looks at the sockets once more
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)  # our own lack


class Owner(Protocol):
    """What the pools need of the head that owns them."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    def ended(self, pending: PendingRequest, attempt: int, outcome: Outcome, took_ms: float, data: bytes) -> None: ...
    def wanted(self, pending: PendingRequest) -> bool: ...


class ConnectionPools:
    """All shelfs of the list."""

    def __init__(self, owner: Owner, idle_ms: float, connect_ms: float, most: int) -> None:
        self.owner, self.loop, self.clock = owner, owner.loop, owner.clock
        self.idle_ms, self.connect_ms = idle_ms, connect_ms
        self.most = most  # connections, those that are being made among them
        self.table: dict[str, Shelf] = {}
        self.connections = self.dialling = self.held = 0
        self.answers: dict[str, int] = {}  # how many came, by status
        self.out = 0  # attempts

    def listed(self, ready: dict[str, bool], addresses: dict[str, tuple[str, int]], whole: bool) -> None:
        """What a list says: by id, whether it wants new requests, and where it is."""
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

    def send(self, pending: PendingRequest, name: str, number: int, until_ms: float) -> None:
        """An attempt leaves. Its outcome comes later, never out of this call."""
        now = self.clock()
        shelf = self.table[name]
        attempt = pending.attempt = Attempt(pending, number, shelf, until_ms, now)
        shelf.attempts += 1
        self.out += 1
        attempt.timer = self.loop.call_later(max(0.0, until_ms - now) / 1000.0, self._due, attempt)
        conn = self._pooled(shelf)
        if conn is None:
            attempt.task = self.loop.create_task(self._connect(attempt))
        elif not self._begin(attempt, conn):
            self.loop.call_soon(self.over, attempt, Outcome.NOT_SENT)

    def drop(self, attempt: Attempt) -> None:
        """It is given up: its connection is closed, one that is still being made is kept for others."""
        self._end(attempt)
        self._cut(attempt)

    def over(self, attempt: Attempt, outcome: Outcome, data: bytes = b"") -> None:
        if attempt.pending.attempt is attempt:
            took = self.clock() - attempt.sent_ms
            self._end(attempt)
            self.owner.ended(attempt.pending, attempt.number, outcome, took, data)

    def keep(self, conn: ShelfConn) -> None:
        if conn.leads_on() and self.table.get(conn.shelf.name) is conn.shelf:
            conn.idle_ms = self.clock()
            conn.shelf.idle.append(conn)
        else:
            conn.transport.abort()

    def look(self, now: float) -> None:
        """Now and then: connections that the shelf may soon close are closed."""
        for shelf in self.table.values():
            while shelf.idle and now - shelf.idle[0].idle_ms > IDLE_PART * self.idle_ms:
                shelf.idle.pop(0).transport.abort()

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

    def _begin(self, attempt: Attempt, conn: ShelfConn) -> bool:
        """The attempt goes out on a connection that is up, if it still may; else the connection is kept for others."""
        now = self.clock()
        if now <= attempt.begin_by_ms and conn.leads_on() and self.owner.wanted(attempt.pending):
            conn.send(attempt)
            if not attempt.written and attempt.begin_by_ms < attempt.until_ms:  # its last byte has to be gone by then
                self.loop.call_later((attempt.begin_by_ms - now) / 1000.0, self._unwritten, attempt)
            return True
        self.keep(conn)
        return False

    async def _connect(self, attempt: Attempt) -> None:
        """Dials for an attempt, anew where the shelf is elsewhere by the time that its connection is up."""
        try:
            while attempt.pending.attempt is attempt:
                conn = await self._dial(attempt.shelf, attempt)
                if attempt.pending.attempt is not attempt:
                    self.keep(conn)
                elif conn.transport.is_closing():
                    self.over(attempt, Outcome.CONNECT_FAILED)
                elif conn.address == attempt.shelf.address:
                    if not self._begin(attempt, conn):
                        self.over(attempt, Outcome.NOT_SENT)
                    return
                else:
                    conn.transport.abort()
        except asyncio.CancelledError:
            self.over(attempt, Outcome.CONNECT_FAILED)
        except OSError as error:
            self.over(attempt, Outcome.NOT_SENT if error.errno in NO_ROOM else Outcome.CONNECT_FAILED)
        finally:
            attempt.task = None

    async def _dial(self, shelf: Shelf, attempt: Attempt) -> ShelfConn:
        """A connection to where the shelf is now, within the descriptors that there are for them."""
        if self.connections + self.dialling >= self.most and not self._spare():
            raise OSError(errno.EMFILE, "all connections that shelfs may have are in use")
        assert attempt.task is not None
        address, dial = shelf.address, [attempt.task]  # emptied when it is over: the second look can't be called off
        due = self.loop.call_later(self.connect_ms / 1000.0, self.loop.call_later, SECOND_LOOK_S, self._late, dial)
        self.dialling += 1
        try:
            _, conn = await self.loop.create_connection(lambda: ShelfConn(self, shelf, address), *address)
        finally:
            self.dialling -= 1
            due.cancel()
            dial.clear()
        return conn

    def _late(self, dial: list[asyncio.Task[None]]) -> None:
        for task in dial:
            task.cancel()

    def _spare(self) -> bool:
        """Closes the connection that has been idle for longest, where there is one."""
        idle = [shelf.idle[0] for shelf in self.table.values() if shelf.idle]
        if idle:
            min(idle, key=lambda c: c.idle_ms).shelf.idle.pop(0).transport.abort()
        return bool(idle)

    def _due(self, attempt: Attempt) -> None:
        attempt.timer = self.loop.call_later(SECOND_LOOK_S, self._timed_out, attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        self._cut(attempt)
        # One whose connection never came up has not been sent at all.
        self.over(attempt, Outcome.TIMED_OUT if attempt.written else Outcome.NOT_SENT)

    def _unwritten(self, attempt: Attempt) -> None:
        """Its time to begin is over, and part of it is still here: without it, it never runs."""
        if not attempt.written and attempt.pending.attempt is attempt:
            self._cut(attempt)
            self.over(attempt, Outcome.NOT_SENT)

    def _cut(self, attempt: Attempt) -> None:
        if attempt.conn is not None:
            attempt.conn.attempt = None
            attempt.conn.transport.abort()

    def _end(self, attempt: Attempt) -> None:
        attempt.pending.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        attempt.shelf.attempts -= 1
        self.out -= 1
        self._forget(attempt.shelf)

    def _close_idle(self, shelf: Shelf) -> None:
        for conn in shelf.idle:
            conn.transport.abort()
        shelf.idle.clear()

    def _forget(self, shelf: Shelf) -> None:
        if not shelf.listed and not shelf.attempts and self.table.get(shelf.name) is shelf:
            del self.table[shelf.name]
