"""Connections to shelfs: one attempt at a time on each, and which outcome each end of an attempt is.

Each way an attempt may end becomes the one outcome that the protocol names for it. The connection used last is used
first, so that few stay warm; one on which anything came while nothing was asked is never used again.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.core import PendingRequest
from pebblehinge.http1 import HttpError, HttpResponse, ResponseParser
from pebblehinge.interface import Outcome

HELD_LIMIT = 16 * 1024 * 1024  # bytes of answers that are not whole yet, over all connections


class Pool(Protocol):
    """What a connection needs of the pool that it belongs to."""

    clock: Callable[[], float]
    connections: int
    held: int

    def note(self, what: str) -> None: ...
    def keep(self, conn: ShelfConn) -> None: ...
    def over(self, attempt: Attempt, outcome: Outcome, data: bytes = b"") -> None: ...


class Attempt:
    """One attempt that is out. `written` once its last byte is with the machine's network."""

    __slots__ = ("pending", "number", "shelf", "until_ms", "begin_by_ms", "conn", "timer", "task", "sent_ms", "written")

    def __init__(self, pending: PendingRequest, number: int, shelf: Shelf, until_ms: float, now: float) -> None:
        self.pending, self.number, self.shelf, self.until_ms, self.sent_ms = pending, number, shelf, until_ms, now
        self.begin_by_ms = pending.begin_by_ms  # its last byte has to be gone by then, or it is not sent
        self.conn: ShelfConn | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.written = False


class Shelf:
    """One id of the list: where it is, and its idle connections, the one used last at the end."""

    __slots__ = ("name", "address", "idle", "attempts", "listed")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[ShelfConn] = []
        self.attempts = 0  # out
        self.listed = True  # and wants new requests


class ShelfConn(asyncio.Protocol):
    """One connection to a shelf."""

    __slots__ = ("pool", "shelf", "address", "transport", "answers", "attempt", "idle_ms", "poll", "held")

    def __init__(self, pool: Pool, shelf: Shelf, address: tuple[str, int]) -> None:
        self.pool, self.shelf, self.address = pool, shelf, address
        self.answers = ResponseParser()
        self.attempt: Attempt | None = None
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

    def leads_on(self) -> bool:
        """To where the list still wants requests."""
        return self.shelf.listed and self.address == self.shelf.address

    def usable(self) -> bool:
        """Nothing has come on it and it is not at its end: looked at on the socket, not on what the loop has read."""
        return not self.transport.is_closing() and not self.poll.poll(0)

    def send(self, attempt: Attempt) -> None:
        self.attempt, attempt.conn = attempt, self
        wait = max(1, int(attempt.until_ms - self.pool.clock()))
        self.transport.write(attempt.pending.head + b"X-Deadline-Ms: %d\r\n\r\n" % wait + attempt.pending.data)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            attempt.written = True

    def resume_writing(self) -> None:
        if self.attempt is not None and not self.transport.is_closing():
            self.attempt.written = True

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            self.transport.abort()
            return
        try:
            self.answers.feed(data)
            answer = self.answers.next()
            self.hold(self.answers.body_size)
        except HttpError:
            self.pool.note("unreadable")
            self.attempt = None
            self.transport.abort()
            self.pool.over(attempt, Outcome.SERVER_ERROR)  # it has run, and what came is of no use
            return
        if answer is None:
            return
        self.attempt = None
        self.pool.note(str(answer.status))
        if answer.keep_alive and attempt.written and not self.answers.buffer:
            self.pool.keep(self)
        else:
            self.transport.abort()
        self.pool.over(attempt, outcome_of(answer), answer.body)

    def hold(self, size: int) -> None:
        """So much of an answer has come: all of them together are bounded, whatever each is said to bring."""
        self.pool.held += size - self.held
        self.held = size
        if self.pool.held > HELD_LIMIT:
            raise HttpError(502, f"more than {HELD_LIMIT} bytes of answers that are not whole yet")

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections -= 1
        self.pool.held -= self.held
        attempt, self.attempt = self.attempt, None
        if self in self.shelf.idle:
            self.shelf.idle.remove(self)
        if attempt is not None:
            self.pool.over(attempt, Outcome.CONNECTION_LOST if attempt.written else Outcome.CONNECT_FAILED)


def outcome_of(answer: HttpResponse) -> Outcome:
    """What a whole answer says. Only on 503 and 504 a shelf can say that it has not run the request."""
    if answer.status == 200:
        return Outcome.SUCCEEDED
    if answer.status in (503, 504) and answer.header_values(b"x-not-run") == [b"1"]:
        return Outcome.OVERLOADED
    return Outcome.SERVER_ERROR
