"""One connection to a head."""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pebblehinge.net import Peer, dial
from pebblehinge.wire import Kind, Session
from pebblehinge.wire.frames import BARRIER, FLUSH, READ, WRITE

FINALS = ("honoured", "pushed back", "terminated")
KEEPALIVE_MS = 5_000.0  # as the heads' own, unless their settings say otherwise
LOST = "lost"  # the connection broke first: nothing is known of the effect
OWN_TIME = "out of time"  # the client's patience ended with no answer, which no sound head lets happen


@dataclass(slots=True, frozen=True)
class Result:
    """How one access ended. `stay_ms` is the time to keep away before a further try; 0 is none."""

    final: str
    stay_ms: float = 0.0
    reason: str = ""
    slot: int = -1
    data: bytes = b""
    took_ms: float = 0.0

    @property
    def succeeded(self) -> bool:
        return self.final == "honoured"


class Client(Peer):
    """Many accesses on one connection. Made by `connect`."""

    FRAMES = frozenset({Kind.ANSWER, Kind.STOPPING})

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        limit: int,
        streams: int,
        stall_ms: float,
        role: str = "client",
        noted: Callable[..., None] | None = None,
        keepalive_ms: float = KEEPALIVE_MS,
    ) -> None:
        super().__init__(loop, Session(role, name, limit, streams, greets=True), stall_ms, keepalive_ms)
        self.name = name
        self.noted = noted
        self.open: dict[int, tuple[asyncio.Future[Result], float, str, asyncio.TimerHandle]] = {}
        self.ids = itertools.count(1)
        self.given_up: OrderedDict[int, None] = OrderedDict()  # called off here: an answer may have crossed that
        self.up: asyncio.Future[None] = loop.create_future()
        self.stopping = False
        self.why = ""

    # ---- the connection

    def ready(self) -> None:
        if not self.up.done():
            self.up.set_result(None)

    def refused(self, reason: str) -> None:
        self.why = reason

    def fail(self, reason: str) -> None:
        self.why = reason
        super().fail(reason)

    def gone(self, exc: Exception | None) -> None:
        if not self.up.done():
            self.up.set_exception(ConnectionError(self.why or "the head closed the connection"))
        now = self.loop.time()
        for id_, (future, began, trace, timer) in list(self.open.items()):
            timer.cancel()
            self._end(id_, future, Result(LOST, reason=self.why, took_ms=(now - began) * 1000.0), trace)
        self.open.clear()

    def on_stopping(self, reason: str) -> None:
        """The head takes nothing new: a further access belongs to another one."""
        self.stopping = True

    def on_answer(self, id_: int, final: int, stay_ms: float, reason: str, slot: int, data: bytes) -> None:
        known = self.open.pop(id_, None)
        now = self.loop.time()
        if known is None:
            crossed = id_ in self.given_up
            self.given_up.pop(id_, None)
            if self.noted is not None and not crossed:  # an answer to what had ended: rule 1 would be broken
                self.noted("extra", id=str(id_), final=FINALS[final])
            return
        future, began, trace, timer = known
        timer.cancel()
        took = (now - began) * 1000.0
        self._end(id_, future, Result(FINALS[final], stay_ms, reason, slot, data, took), trace)

    # ---- accesses

    def access(
        self,
        volume: str,
        extent: str,
        *,
        profile: str,
        op: int,
        slot: int,
        units: float,
        patience_ms: float,
        offset: int = 0,
        length: int = 0,
        data: bytes = b"",
        plan: str | None = None,
        label: str | None = None,
        again: bool | None = None,
        trace: str = "",
    ) -> asyncio.Future[Result]:
        """Sends one access; the future gives its Result and never an error. Cancelling it calls it off."""
        future: asyncio.Future[Result] = self.loop.create_future()
        if self.closed or self.failed:
            future.set_result(Result(LOST, reason=self.why or "the connection is closed"))
            return future
        id_ = next(self.ids)
        trace = trace or f"{self.name}-{id_}"
        timer = self.loop.call_later(patience_ms / 1000.0, self._out_of_time, id_)
        self.open[id_] = (future, self.loop.time(), trace, timer)
        future.add_done_callback(lambda f: self.cancel(id_) if f.cancelled() else None)
        if self.noted is not None:
            self.noted("sent", id=trace)
        self.send(
            Kind.TAKE,
            id_,
            trace,
            volume,
            plan,
            profile,
            extent,
            slot,
            units,
            patience_ms,
            again,
            label,
            op,
            offset,
            length,
            data,
        )
        return future

    def read(self, volume: str, extent: str, length: int, **more: Any) -> asyncio.Future[Result]:
        return self.access(volume, extent, op=READ, length=length, **more)

    def write(self, volume: str, extent: str, data: bytes, **more: Any) -> asyncio.Future[Result]:
        return self.access(volume, extent, op=WRITE, data=data, length=len(data), **more)

    def barrier(self, volume: str, **more: Any) -> asyncio.Future[Result]:
        """Honoured: what was confirmed for a buffered volume before lands before what is confirmed after."""
        return self.access(volume, "-", op=BARRIER, units=1.0, slot=0, **more)

    def flush_volume(self, volume: str, **more: Any) -> asyncio.Future[Result]:
        """Honoured: all that was confirmed for a buffered volume stands at its shelfs."""
        return self.access(volume, "-", op=FLUSH, units=1.0, slot=0, **more)

    def cancel(self, id_: int) -> None:
        """Calls an access off; the head owes nothing more for it."""
        known = self.open.pop(id_, None)
        if known is not None:
            known[3].cancel()
            if self.noted is not None:
                self.noted("left", id=known[2])
            self._call_off(id_)

    def _out_of_time(self, id_: int) -> None:
        known = self.open.pop(id_, None)
        if known is not None:
            future, began, trace, _ = known
            self._call_off(id_)
            took = (self.loop.time() - began) * 1000.0
            self._end(id_, future, Result(OWN_TIME, took_ms=took), trace)

    def _call_off(self, id_: int) -> None:
        self.send(Kind.CANCEL, id_)
        self.given_up[id_] = None
        if len(self.given_up) > 2 * self.session.streams:
            self.given_up.popitem(last=False)

    def _end(self, id_: int, future: asyncio.Future[Result], result: Result, trace: str) -> None:
        if self.noted is not None:
            self.noted("answer", id=trace, final=result.final, stay=result.stay_ms, took=round(result.took_ms, 3))
        if not future.done():
            future.set_result(result)


async def connect(
    address: str,
    *,
    name: str = "client",
    loop: asyncio.AbstractEventLoop | None = None,
    limit: int = 1 << 20,
    streams: int = 512,
    stall_ms: float = 10_000.0,
    within_ms: float = 2_000.0,
    role: str = "client",
    noted: Callable[..., None] | None = None,
    keepalive_ms: float = KEEPALIVE_MS,
) -> Client:
    """A connected client; raises OSError (ConnectionError, TimeoutError) with the reason where it can't be had. A
    connection on which nothing has come for `keepalive_ms` is asked, and ends when three times that have passed: its
    other end may be gone with nobody left to say so."""
    loop = loop or asyncio.get_running_loop()
    deadline = loop.time() + within_ms / 1000.0
    client = Client(loop, name, limit, streams, stall_ms, role, noted, keepalive_ms)
    try:
        async with asyncio.timeout_at(deadline):
            await dial(loop, client, address)
            await client.up
    except TimeoutError:
        client.abort()
        raise TimeoutError(f"{address}: no greeting within {within_ms:g} ms") from None
    return client
