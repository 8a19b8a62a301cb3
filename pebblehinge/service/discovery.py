"""The watch of discovery's list: entries out of its lines, and a connection that is made anew when it ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError, Stream, write_request
from pebblehinge.interface import Entry, ListKind
from pebblehinge.service.config import parse_address
from pebblehinge.stated import STANDINGS, Reader, StatedError

LINE_LIMIT = 4 * 1024 * 1024  # bytes of one line
SILENT_S = 6.5  # an empty line arrives every 2 s: after three that did not, the connection is given up
CONNECT_S = 2.0
PAUSES_S = (0.05, 2.0)  # between tries: the first, doubled each time, and the longest; each is jittered


class Told:
    """What one line of the list says."""

    __slots__ = ("version", "kind", "entries", "addresses", "faults")

    def __init__(self, raw: Any) -> None:
        line = Reader(raw, "", "list")
        self.version = line.get("version", int)
        self.kind = ListKind.WHOLE if line.get("full", bool, False) else ListKind.CHANGES
        self.entries: list[Entry] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.faults: list[str] = []  # entries that can't be read are left out, the others count
        for row in line.rows("servers"):
            try:
                name, cell = row.get("id", str), row.get("cell", int)
                standing = row.word("state", STANDINGS)
                address = parse_address(row.get("addr", str), f"{row.place}.addr")
                self.entries.append(Entry(name, standing, cell, row.get("started_ms", float, 0.0)))
                self.addresses[name] = address
            except StatedError as error:
                self.faults.append(str(error))


class Lines:
    """Lines out of a stream's pieces, each bounded."""

    __slots__ = ("parts", "size")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole by now, empty ones left out; raises HttpError where one is too long."""
        *whole, rest = data.split(b"\n")
        lines = []
        for part in whole:
            lines.append(b"".join([*self.parts, part]).strip())
            self.parts, self.size = [], 0
        if rest:
            self.parts.append(rest)
            self.size += len(rest)
            if self.size > LINE_LIMIT:
                raise HttpError(502, f"a line of more than {LINE_LIMIT} bytes")
        return [line for line in lines if line]


class _Connection(asyncio.Protocol):
    """One connection to discovery, with one watch on it."""

    def __init__(self, watch: Watch, address: tuple[str, int]) -> None:
        self.watch, self.address = watch, address
        self.transport: Any = None
        self.heard = watch.loop.time()
        self.pieces: list[bytes] = []
        self.lines = Lines()
        self.stream = Stream(self.pieces.append)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
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
            lines = self.lines.feed(b"".join(self.pieces))
            self.pieces.clear()
            for line in lines:
                self.watch.line(self, line)
            if ended:
                self.transport.abort()
        except (HttpError, StatedError, msgspec.DecodeError, UnicodeDecodeError) as error:
            self.watch.say("discovery can't be read", error=str(error)[:200])
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch.lost(self)


class Watch:
    """Keeps one watch standing, from the last version seen on. An old connection is kept until a new one has told
    something: what it still tells is not lost. `told` is called with each line that could be read."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], rng: random.Random,
        told: Callable[[Told], None], say: Callable[..., None],
    ) -> None:  # fmt: skip
        self.loop, self.address, self.rng, self.told, self.say = loop, address, rng, told, say
        self.version: int | None = None
        self.connections: list[_Connection] = []  # the newest last
        self.trying: asyncio.Task[None] | None = None
        self.stopped = False
        self.pause_s = PAUSES_S[0]

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
        """Now and then: a connection on which nothing comes is given up."""
        for connection in self.connections:
            if self.loop.time() - connection.heard > SILENT_S:
                connection.transport.abort()

    def line(self, connection: _Connection, line: bytes) -> None:
        told = Told(msgspec.json.decode(line))
        if connection not in self.connections:
            return
        self.pause_s = PAUSES_S[0]
        for older in self.connections[: self.connections.index(connection)]:
            older.transport.abort()
        for fault in told.faults[:3]:
            self.say("an entry of the list can't be read", error=fault[:200])
        self.version = told.version
        self.told(told)

    def lost(self, connection: _Connection) -> None:
        if connection in self.connections:
            newest = connection is self.connections[-1]
            self.connections.remove(connection)
            if newest:
                self._try(self._pause())

    def _pause(self) -> float:
        pause = self.pause_s * self.rng.uniform(0.5, 1.5)
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
        self.connections.append(made)
        if made.transport.is_closing():
            self.lost(made)
