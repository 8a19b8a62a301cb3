"""The watch of discovery's list: a connection that is made anew when it ends, fails or falls silent.

A change counts as told 6 s after discovery had it and could be reached, whatever failed before. So no wait is long:
the longest way from there to a list is a connection that discovery never answered on (SILENT_S), the longest pause
and one that never came up (CONNECT_S), and all of them lie well under those 6 s together (`longest_s`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError, ResponseStream, write_request
from pebblehinge.interface import Standing
from pebblehinge.service.lists import Objects, Told
from pebblehinge.stated import StatedError

SILENT_S = 2.5  # an empty line arrives every 2 s: after this without one, a further connection is opened ...
GIVEN_UP_S = 5.0  # ... and after this the silent one is closed
CONNECT_S = 1.0
PAUSES_S = (0.05, 0.5)  # between tries: the first, doubled each time, and the longest; each is jittered by JITTER
JITTER = (0.5, 1.5)
LEFT_KEPT = 8192  # shelfs that left; the first to leave goes first
LOG_S = 5.0  # a fault is told at most so often


def longest_s() -> float:
    """From when discovery can be reached to a list, at the most: on a connection made just before nothing ever comes,
    the next never comes up, and a pause before each."""
    return SILENT_S + CONNECT_S + 2 * PAUSES_S[1] * JITTER[1]


class _Connection(asyncio.Protocol):
    """One connection to discovery, with one watch on it."""

    def __init__(self, watch: Watch, address: tuple[str, int]) -> None:
        self.watch, self.address = watch, address
        self.transport: Any = None
        self.heard = watch.loop.time()
        self.pieces: list[bytes] = []
        self.objects = Objects()
        self.stream = ResponseStream(self.pieces.append)

    def connection_made(self, transport: Any) -> None:
        self.transport, self.heard = transport, self.watch.loop.time()
        self.watch.came(self)  # before anything can be read: a first list that nobody knew of would be lost
        target = b"/registry/instances?stream=1"
        if self.watch.version is not None:
            target += b"&index=%d" % self.watch.version
        host = f"{self.address[0]}:{self.address[1]}".encode()
        transport.write(write_request(b"GET", target, [(b"Host", host)], b"") + b"\r\n")

    def data_received(self, data: bytes) -> None:
        self.heard = self.watch.loop.time()
        if self.transport.is_closing():
            return
        try:
            self.stream.feed(data)
            ended = self.stream.next() is not None
            if self.stream.status not in (0, 200):
                raise HttpError(502, f"discovery answers {self.stream.status}")
            raw = b"".join(self.pieces)
            self.pieces.clear()
            for value in self.objects.feed(raw):
                self.watch.line(self, value)
            if ended:
                self.transport.abort()
        except (HttpError, StatedError, msgspec.DecodeError, UnicodeDecodeError) as error:
            self.watch.fault("discovery can't be read", error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch.lost(self)


class Watch:
    """Keeps one watch standing, from the last version seen on. An old connection is kept until a new one has told
    something: what it still tells is not lost. `told` is called with each object that counts."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        rng: random.Random,
        told: Callable[[Told], None],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.rng, self.told, self.say = loop, address, rng, told, say
        self.version: int | None = None  # asked on from; None asks for the whole list
        self.newest = -1  # version that was told
        self.left: dict[str, tuple[int, float]] = {}  # shelfs told to have left: by which version, of which start
        self.connections: list[_Connection] = []  # the newest last
        self.trying: asyncio.Task[None] | None = None
        self.stopped = False
        self.pause_s = PAUSES_S[0]
        self.said_s = -LOG_S

    def start(self) -> None:
        self._try(0.0)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on."""
        if address == self.address:
            return
        self.address, self.pause_s = address, PAUSES_S[0]
        if self.trying is not None:
            self.trying.cancel()
            self.trying = None
        self._try(0.0)

    def stop(self) -> None:
        self.stopped = True
        if self.trying is not None:
            self.trying.cancel()
        for connection in self.connections:
            connection.transport.abort()

    def look(self) -> None:
        """Now and then: beside a connection on which nothing comes another is opened, and it is given up later."""
        now = self.loop.time()
        for connection in list(self.connections):
            if now - connection.heard > GIVEN_UP_S:
                connection.transport.abort()
            elif now - connection.heard > SILENT_S and connection is self.connections[-1]:
                self._try(0.0)

    def line(self, connection: _Connection, value: Any) -> None:
        told = Told(value)
        if connection not in self.connections:
            return
        if told.version < self.newest:
            if connection is not self.connections[-1]:
                return  # the newer one has told more
            if self.version is not None:  # it goes back: what it has now is asked for as a whole, and then counts
                self.version = None
                raise HttpError(502, f"the list goes back from version {self.newest} to {told.version}")
        self._keep_left(told)
        self.pause_s = PAUSES_S[0]
        for older in self.connections[: self.connections.index(connection)]:
            older.transport.abort()
        if told.faults:
            self.fault(f"{len(told.faults)} entries of the list can't be read", told.faults[0])
        self.version = self.newest = told.version
        self.told(told)

    def _keep_left(self, told: Told) -> None:
        """A process that a later version told to have left does not come back by an older one: only a new start, or
        a later version, says that it is wanted again."""
        for n, entry in enumerate(told.entries):
            version, started = self.left.get(entry.shelf, (-1, 0.0))
            if entry.standing is not Standing.READY:
                self.left.pop(entry.shelf, None)
                self.left[entry.shelf] = (max(version, told.version), entry.started_ms)
            elif told.version < version and entry.started_ms == started:
                told.entries[n] = replace(entry, standing=Standing.DRAINING)
            else:
                self.left.pop(entry.shelf, None)
        while len(self.left) > LEFT_KEPT:
            del self.left[next(iter(self.left))]

    def fault(self, what: str, error: object) -> None:
        if self.loop.time() - self.said_s >= LOG_S:
            self.said_s = self.loop.time()
            self.say(what, error=str(error)[:200])

    def came(self, connection: _Connection) -> None:
        self.connections.append(connection)

    def lost(self, connection: _Connection) -> None:
        if connection in self.connections:
            newest = connection is self.connections[-1]
            self.connections.remove(connection)
            if newest:
                self._try(self._pause())

    def _pause(self) -> float:
        pause = self.pause_s * self.rng.uniform(*JITTER)
        self.pause_s = min(PAUSES_S[1], self.pause_s * 2)
        return pause

    def _try(self, pause_s: float) -> None:
        if not self.stopped and self.trying is None:
            self.trying = self.loop.create_task(self._connect(pause_s))

    async def _connect(self, pause_s: float) -> None:
        while True:
            await asyncio.sleep(pause_s)
            address = self.address
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, made = await self.loop.create_connection(lambda a=address: _Connection(self, a), *address)
                break
            except OSError:  # a time-out is one of these
                pause_s = self._pause()
        self.trying = None
        if made not in self.connections:  # it has ended already
            self._try(self._pause())
