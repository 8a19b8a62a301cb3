"""The way to one shelf: one connection that many attempts share, made when it is needed.

What an outcome may say is settled here by what was written: an attempt of which no byte was handed to the socket
never ran (`CONNECT_FAILED`); from the first byte on it may have run, however the connection ends (`BROKEN`).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from pebblehinge.core import PendingRequest
from pebblehinge.head.connection import Wire
from pebblehinge.head.dial import Dial
from pebblehinge.interface import Outcome
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session

LOOK = 0.001  # seconds between an attempt's time and its end, for one more look at the sockets
STATUS = (Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.OVERLOADED)  # as OUTCOME numbers them


class Out:
    """One attempt that has no outcome yet."""

    __slots__ = ("number", "pending", "attempt", "until_ms", "sent_ms", "timer", "link", "looked")


class ShelfLink:
    """`ended(now, taken, attempt, outcome, took_ms, data)` is called once for each attempt, never from within
    `send`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        head: str,
        shelf: str,
        address: str,
        limits: LimitsBlock,
        ended: Callable[..., None],
        noted: Callable[..., None] | None,
    ) -> None:
        self.loop, self.clock, self.head = loop, clock, head
        self.shelf, self.address, self.limits = shelf, address, limits
        self.ended, self.noted = ended, noted
        self.wire: Wire | None = None
        self.dial = Dial(loop, clock, address, limits, self._peer, self._connect_failed)
        self.waiting: deque[Out] = deque()  # nothing of these was written
        self.out: dict[int, Out] = {}  # these may have run
        self.numbers = 0
        self.now = 0.0
        self.late = 0  # outcomes that came when nobody waited for them
        self.retired = False

    # ---- calls

    def send(self, pending: PendingRequest, attempt: int, until_ms: float, now: float) -> None:
        out = Out()
        self.numbers += 1
        out.number, out.pending, out.attempt, out.until_ms, out.sent_ms = self.numbers, pending, attempt, until_ms, now
        out.link, out.looked = self, False
        out.timer = self.loop.call_at(until_ms / 1000.0, self._timed_out, out)
        pending.attempt = out
        if self.wire is not None and not self.wire.paused:
            self._write(out, now)
            return
        self.waiting.append(out)
        if self.wire is None:
            self.dial.connect()

    def drop(self, pending: PendingRequest) -> None:
        """Nobody waits for this attempt any more; its shelf is told, the caller knows the outcome."""
        out = pending.attempt
        out.timer.cancel()
        if self.out.pop(out.number, None) is not None:
            if self.wire is not None:
                self.wire.send(Kind.RECALL, out.number)
        elif out in self.waiting:
            self.waiting.remove(out)

    def retire(self) -> None:
        """The shelf is to be found elsewhere: what is out here still ends here, then the connection closes."""
        self.retired = True
        self._rest()

    def close(self) -> None:
        self.retired = True
        self.dial.close()
        if self.wire is not None:
            self.wire.close()

    # ---- the connection

    def _peer(self) -> Wire:
        return Wire(self, Session("head", self.head, self.limits.frame, self.limits.streams, greets=True))

    def opened(self, wire: Wire) -> None:
        if self.dial.connecting is None:  # given up meanwhile
            wire.abort()
            return
        self.dial.connected()
        self.wire = wire
        self.push()

    def _connect_failed(self) -> None:
        now = self.clock()
        lost = list(self.waiting)
        self.waiting.clear()
        for out in lost:
            self._end(out, now, Outcome.CONNECT_FAILED)

    def push(self) -> None:
        """Writes what waits, as far as the shelf reads."""
        now = self.clock()
        while self.waiting and self.wire is not None and not self.wire.paused:
            self._write(self.waiting.popleft(), now)

    def _write(self, out: Out, now: float) -> None:
        pending, wire = out.pending, self.wire
        assert wire is not None
        self.out[out.number] = out
        wire.send(
            Kind.TRIP,
            out.number,
            pending.trace,
            out.attempt,
            f"{pending.volume}/{pending.extent}",
            pending.op,
            pending.offset,
            pending.length,
            pending.units,
            pending.label,
            out.until_ms - now,
            pending.data,
        )
        if self.noted is not None:
            self.noted(now, "trip", id=pending.trace, n=out.attempt, shelf=self.shelf, until=round(out.until_ms, 3))

    def lost(self, wire: Wire) -> None:
        now = self.clock()
        if self.dial.connecting is not None and self.wire is None:
            self.dial.fail("the connection broke before the greeting")
            return
        if wire is not self.wire:
            return
        self.wire = None
        broken = list(self.out.values())
        self.out.clear()
        for out in broken:
            self._end(out, now, Outcome.CONNECTION_LOST)
        if self.waiting:
            self.dial.connect()

    def _rest(self) -> None:
        if self.retired and not self.out and not self.waiting and self.wire is not None:
            self.wire.close()

    # ---- outcomes

    def came(self, number: int, status: int, reason: str, data: bytes) -> None:
        out = self.out.pop(number, None)
        if out is None or status >= len(STATUS):
            self.late += 1  # timed out or cancelled before: its request has its answer, nothing is sent again
            if out is not None:
                self._end(out, self.now, Outcome.SERVER_ERROR)
            return
        self._end(out, self.now, STATUS[status], data)

    def _timed_out(self, out: Out) -> None:
        if not out.looked:
            # A loop that was held up runs its timers before it reads: the outcome may lie in the socket.
            out.looked = True
            out.timer = self.loop.call_later(LOOK, self._timed_out, out)
            return
        now = self.clock()
        if self.out.pop(out.number, None) is not None:
            if self.wire is not None:
                self.wire.send(Kind.RECALL, out.number)
                self.wire.doubt()
            self._end(out, now, Outcome.TIMED_OUT)
        elif out in self.waiting:
            self.waiting.remove(out)
            self._end(out, now, Outcome.CONNECT_FAILED)

    def _end(self, out: Out, now: float, outcome: Outcome, data: bytes = b"") -> None:
        out.timer.cancel()
        if self.noted is not None:
            self.noted(now, "outcome", id=out.pending.trace, n=out.attempt, shelf=self.shelf, what=outcome.value)
        self.ended(now, out.pending, out.attempt, outcome, now - out.sent_ms, data)
        self._rest()
