"""One connection to a stand-in shelf: attempts in, outcomes out, and the lab's control frames."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.net import Peer
from pebblehinge.settings.schema import Config
from pebblehinge.storage_node.machine import Faults, Machine
from pebblehinge.wire import Kind, Session, WireError


class Attempt:
    __slots__ = ("conn", "number", "id", "attempt", "extent", "op", "offset", "length", "label", "data", "job")


class Shelf(Protocol):
    """What a connection needs of the shelf that it belongs to."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: Config
    name: str
    now: float
    machine: Machine
    faults: Faults
    conns: dict[ShelfConn, None]

    def take(self, t: Attempt, units: float, left_ms: float) -> None: ...
    def recall(self, t: Attempt) -> None: ...
    def control(self, verb: str, values: dict[str, Any]) -> str: ...


class ShelfConn(Peer):
    """One head's (or the lab's) connection."""

    FRAMES = frozenset({Kind.TRIP, Kind.RECALL, Kind.CONTROL})

    def __init__(self, shelf: Shelf) -> None:
        limits = shelf.config.limits
        session = Session("shelf", shelf.name, limits.frame, limits.streams, greets=False)
        super().__init__(shelf.loop, session, limits.stall, limits.keepalive)
        self.shelf = shelf
        self.attempts: dict[int, Attempt] = {}
        self.deaf = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.shelf.conns[self] = None
        if self.shelf.machine.fell:
            self.abort()

    def data_received(self, data: bytes) -> None:
        if not self.deaf:
            super().data_received(data)

    def _write(self, data: bytes) -> None:
        if self.deaf:
            return
        if self.shelf.faults.hits(self.shelf.faults.garble) and self.session.peer_role == "head":
            data = bytearray(data)
            data[self.shelf.faults.rng.randrange(8, len(data))] ^= 0x40
            data = bytes(data)
        super()._write(data)

    def gone(self, exc: Exception | None) -> None:
        self.shelf.conns.pop(self, None)

    def batch(self) -> None:
        self.shelf.now = self.shelf.clock()

    def on_trip(
        self,
        number: int,
        id_: str,
        attempt: int,
        extent: str,
        op: int,
        offset: int,
        length: int,
        units: float,
        label: str | None,
        left_ms: float,
        data: bytes,
    ) -> None:
        if number in self.attempts:
            raise WireError(f"TRIP: number {number} is out already")
        t = Attempt()
        t.conn, t.number, t.id, t.attempt, t.extent, t.op = self, number, id_, attempt, extent, op
        t.offset, t.length, t.label, t.data = offset, length, label, data
        self.shelf.take(t, units, left_ms)

    def on_recall(self, number: int) -> None:
        t = self.attempts.get(number)
        if t is not None:
            self.shelf.recall(t)

    def on_control(self, token: int, verb: str, values: dict[str, float | str]) -> None:
        if self.session.peer_role != "lab":
            raise WireError("CONTROL is for the lab")
        try:
            said = self.shelf.control(verb, values)
        except (KeyError, TypeError, ValueError) as error:
            said = f"no: {error}"
        self.send(Kind.CONTROLLED, token, said)
