"""The way to one shelf: one connection that many attempts share, made when it is needed.

What an outcome may say is settled here by what was written: an attempt of which no byte was handed to the socket
never ran (`UNREACHED`); from the first byte on it may have run, however the connection ends (`BROKEN`).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from pebblehinge.core import Taken
from pebblehinge.interface import Outcome
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session

EXTRA = 3  # how often the time to connect is given again where this process was late itself
LOOK = 0.001  # seconds between an attempt's time and its end, for one more look at the sockets
STATUS = (Outcome.HONOURED, Outcome.ERRED, Outcome.FULL)  # as OUTCOME numbers them


class Out:
    """One attempt that has no outcome yet."""

    __slots__ = ("number", "taken", "attempt", "until_ms", "sent_ms", "timer", "link", "looked")


class _Wire(Peer):
    FRAMES = frozenset({Kind.OUTCOME, Kind.STOPPING})

    def __init__(self, link: ShelfLink, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link
        self.doubted_at: float | None = None  # when it was last heard of, while a ping is out

    def ready(self) -> None:
        self.link.opened(self)

    def writable(self) -> None:
        self.link.push()

    def gone(self, exc: Exception | None) -> None:
        self.link.lost(self)

    def refused(self, reason: str) -> None:
        self.link.refusal = reason

    def fail(self, reason: str) -> None:
        # What comes from here can't be read any more: no answer on it can be waited for.
        self.link.refusal = reason
        self.abort()
        self.closed = True

    def batch(self) -> None:
        self.link.now = self.link.clock()

    def on_outcome(self, number: int, status: int, reason: str, data: bytes) -> None:
        self.link.came(number, status, reason, data)

    def on_stopping(self, reason: str) -> None:
        pass


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
        self.wire: _Wire | None = None
        self.connecting: asyncio.Task | None = None
        self.deadline: asyncio.TimerHandle | None = None
        self.waiting: deque[Out] = deque()  # nothing of these was written
        self.out: dict[int, Out] = {}  # these may have run
        self.numbers = 0
        self.now = 0.0
        self.refusal, self.patience, self.deadline_ms = "", 0, 0.0
        self.late = 0  # outcomes that came when nobody waited for them
        self.retired = False

    # ---- calls

    def send(self, taken: Taken, attempt: int, until_ms: float, now: float) -> None:
        out = Out()
        self.numbers += 1
        out.number, out.taken, out.attempt, out.until_ms, out.sent_ms = self.numbers, taken, attempt, until_ms, now
        out.link, out.looked = self, False
        out.timer = self.loop.call_at(until_ms / 1000.0, self._overdue, out)
        taken.attempt = out
        if self.wire is not None and not self.wire.paused:
            self._write(out, now)
            return
        self.waiting.append(out)
        if self.wire is None:
            self._connect()

    def drop(self, taken: Taken) -> None:
        """Nobody waits for this attempt any more; its shelf is told, the caller knows the outcome."""
        out = taken.attempt
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
        if self.connecting is not None:
            self.connecting.cancel()
        if self.deadline is not None:
            self.deadline.cancel()
        if self.wire is not None:
            self.wire.close()

    # ---- the connection

    def _connect(self) -> None:
        if self.connecting is not None:
            return
        self.refusal = ""
        self.connecting = self.loop.create_task(self._try())
        self.patience = EXTRA
        self._allow()

    def _allow(self) -> None:
        self.deadline_ms = self.clock() + self.limits.connect
        self.deadline = self.loop.call_later(self.limits.connect / 1000.0, self._too_long)

    async def _try(self) -> None:
        wire = None
        try:
            host, port = parse_address(self.address)
            session = Session("head", self.head, self.limits.frame, self.limits.streams, greets=True)
            _, wire = await self.loop.create_connection(lambda: _Wire(self, session), host, port)
        except (OSError, ValueError) as error:
            self._unreached(str(error))
        except asyncio.CancelledError:
            if wire is not None:
                wire.abort()
            raise

    def _too_long(self) -> None:
        """No connection, or no greeting on it: a stopped process may well have its connections accepted.

        Where this head itself was late (a burst of thousands, a stop by signal), the shelf had no fair chance
        to be heard: the time is given again, a few times."""
        if self.clock() - self.deadline_ms > self.limits.connect / 4 and self.patience > 0:
            self.patience -= 1
            self._allow()
            return
        self._unreached("no greeting in time")

    def opened(self, wire: _Wire) -> None:
        if self.connecting is None:  # given up meanwhile
            wire.abort()
            return
        self._connected()
        self.wire = wire
        self.push()

    def _connected(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        self.connecting = None

    def _unreached(self, why: str) -> None:
        task = self.connecting
        if task is None:
            return
        self._connected()
        if not task.done():
            task.cancel()
        self.refusal = self.refusal or why
        now = self.clock()
        lost = list(self.waiting)
        self.waiting.clear()
        for out in lost:
            self._end(out, now, Outcome.UNREACHED)

    def push(self) -> None:
        """Writes what waits, as far as the shelf reads."""
        now = self.clock()
        while self.waiting and self.wire is not None and not self.wire.paused:
            self._write(self.waiting.popleft(), now)

    def _write(self, out: Out, now: float) -> None:
        taken, wire = out.taken, self.wire
        assert wire is not None
        self.out[out.number] = out
        wire.send(
            Kind.TRIP,
            out.number,
            taken.trace,
            out.attempt,
            f"{taken.volume}/{taken.extent}",
            taken.op,
            taken.offset,
            taken.length,
            taken.units,
            taken.label,
            out.until_ms - now,
            taken.data,
        )
        if self.noted is not None:
            self.noted(now, "trip", id=taken.trace, n=out.attempt, shelf=self.shelf, until=round(out.until_ms, 3))

    def lost(self, wire: _Wire) -> None:
        now = self.clock()
        if self.connecting is not None and self.wire is None:
            self._unreached("the connection broke before the greeting")
            return
        if wire is not self.wire:
            return
        self.wire = None
        broken = list(self.out.values())
        self.out.clear()
        for out in broken:
            self._end(out, now, Outcome.BROKEN)
        if self.waiting:
            self._connect()

    def _rest(self) -> None:
        if self.retired and not self.out and not self.waiting and self.wire is not None:
            self.wire.close()

    # ---- outcomes

    def came(self, number: int, status: int, reason: str, data: bytes) -> None:
        out = self.out.pop(number, None)
        if out is None or status >= len(STATUS):
            self.late += 1  # overdue or recalled before: its access has its answer, nothing is sent again
            if out is not None:
                self._end(out, self.now, Outcome.ERRED)
            return
        self._end(out, self.now, STATUS[status], data)

    def _overdue(self, out: Out) -> None:
        if not out.looked:
            # A loop that was held up runs its timers before it reads: the outcome may lie in the socket.
            out.looked = True
            out.timer = self.loop.call_later(LOOK, self._overdue, out)
            return
        now = self.clock()
        if self.out.pop(out.number, None) is not None:
            if self.wire is not None:
                self.wire.send(Kind.RECALL, out.number)
                self._doubt(self.wire)
            self._end(out, now, Outcome.OVERDUE)
        elif out in self.waiting:
            self.waiting.remove(out)
            self._end(out, now, Outcome.UNREACHED)

    def _doubt(self, wire: _Wire) -> None:
        """An attempt got no answer: is it the shelf, or a connection that is cut in the middle and swallows all? A ping
        is answered by any process that runs; where even that stays out, a new connection is made."""
        if wire.doubted_at is None:
            wire.doubted_at = wire.heard
            wire.send(Kind.PING, 0)
            self.loop.call_later(2 * self.limits.connect / 1000.0, self._decide_doubt, wire)

    def _decide_doubt(self, wire: _Wire) -> None:
        since, wire.doubted_at = wire.doubted_at, None
        if wire is self.wire and not wire.closed and wire.heard == since:
            self.refusal = "the connection is silent"
            wire.abort()

    def _end(self, out: Out, now: float, outcome: Outcome, data: bytes = b"") -> None:
        out.timer.cancel()
        if self.noted is not None:
            self.noted(now, "outcome", id=out.taken.trace, n=out.attempt, shelf=self.shelf, what=outcome.value)
        self.ended(now, out.taken, out.attempt, outcome, now - out.sent_ms, data)
        self._rest()
