"""The sockets of a running head: its clients, its links to shelfs and list, its timer, its stop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from pebblehinge.core import HONOURED, Taken
from pebblehinge.head.admission import HeadCore
from pebblehinge.head.door import Door
from pebblehinge.head.inside import FINALS
from pebblehinge.head.link import ShelfLink
from pebblehinge.head.listing import ListingLink
from pebblehinge.head.writeback import Back
from pebblehinge.interface import Entry, ListCall, ListKind
from pebblehinge.net import Peer, parse_address
from pebblehinge.records import NoRecords, Records
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.store import StorageError, memory
from pebblehinge.wire import Kind, Session, WireError

STOP_TOKEN = 1


class ClientConn(Peer):
    """One client's connection, with the accesses it has open."""

    FRAMES = frozenset({Kind.TAKE, Kind.CANCEL})

    def __init__(self, server: HeadServer) -> None:
        limits = server.config.limits
        session = Session("head", server.name, limits.frame, limits.streams, greets=False)
        super().__init__(server.loop, session, limits.stall, limits.keepalive)
        self.server = server
        self.open: dict[int, Taken | None] = {}
        self.seen: dict[int, Any] = {}  # reads of buffered volumes: what they must show
        self.settled = False  # has heard of the stop, and all that it sent before has come

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.server.conns[self] = None
        if len(self.server.conns) > self.server.config.limits.connections:
            self.fail(f"{self.server.config.limits.connections} connections are open here already")

    def batch(self) -> None:
        self.server.now = self.server.clock()  # one reading for all that came together

    def ready(self) -> None:
        if self.server.core.stopping:
            self.tell_stopping()

    def tell_stopping(self) -> None:
        """What the client sent before it heard of the stop is on its way yet: closing now would lose it. It
        answers the ping after the last of them, and sends nothing more."""
        self.send(Kind.STOPPING, "this head is stopping")
        self.send(Kind.PING, STOP_TOKEN)

    def on_pong(self, token: int) -> None:
        if token == STOP_TOKEN and self.server.core.stopping:
            self.settled = True
            self.server.stop_if_done()

    def gone(self, exc: Exception | None) -> None:
        self.server.gone(self)

    def fail(self, reason: str) -> None:
        if not self.failed:
            self.server.log.warning("client cut", peer=self.session.peer_name, reason=reason)
            self.server.faults += 1
        super().fail(reason)

    def on_take(
        self, id_: int, trace: str, volume: str, plan: str | None, profile: str, extent: str, *rest: Any
    ) -> None:
        if id_ in self.open:
            raise WireError(f"TAKE: id {id_} is open already")
        if len(self.open) >= self.session.streams:
            raise WireError(f"TAKE: more than {self.session.streams} accesses open on one connection")
        if len(trace) > 200 or len(extent) > 500 or not extent:
            raise WireError("TAKE: an id of at most 200 and an extent of 1 to 500 characters are taken")
        server = self.server
        self.open[id_] = None  # until the module has it: its answer may come within the call
        server.note(server.now, "take", id=trace, client=self.session.peer_name)
        back, seen = server.back, ()
        if back is not None and back.buffers(volume):
            slot, units, left_ms, _, label, op, offset, length, data = rest
            more = (slot, units, left_ms, label, op, offset, length, data)
            if back.take(self, id_, trace, volume, profile, extent, *more):
                return
            seen = back.before_read(volume, extent)
        taken = server.core.take(server.now, self, id_, trace, volume, plan, profile, extent, *rest)
        if taken is not None and seen:
            self.seen[id_] = seen
        if taken is not None and not taken.answered:
            self.open[id_] = taken

    def tell(self, id_: int, final: int, stay_ms: float, reason: str, slot: int, data: bytes) -> None:
        """An answer to what the core never saw."""
        if self.open.pop(id_, self) is not self:
            self.send(Kind.ANSWER, id_, final, stay_ms, reason, slot, data)

    def answered(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        self.open.pop(taken.id, None)
        back, seen = self.server.back, self.seen.pop(taken.id, ())
        if back is not None and final == HONOURED and taken.op == 0 and back.buffers(taken.volume):
            data = back.after_read(taken, seen, data)
        self.send(Kind.ANSWER, taken.id, final, stay_ms, reason, taken.slot, data)

    def on_cancel(self, id_: int) -> None:
        taken = self.open.pop(id_, None)
        if taken is not None:  # an answer that crossed it on the way stands
            self.server.core.left(self.server.now, taken)


class HeadServer:
    """A running head. Loop, clock (milliseconds) and records are handed in; nothing here reads others."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        records: Records | NoRecords | None = None,
        core: type[HeadCore] = HeadCore,
    ) -> None:
        self.loop, self.clock, self.config, self.name, self.log = loop, clock, config, name, log
        self.block: HeadBlock = config.head[name]
        self.records = records or NoRecords()
        self.note = self.records.note if self.records.on else _nothing
        self.conns: dict[ClientConn, None] = {}  # in the order in which they came
        self.links: dict[str, ShelfLink] = {}
        self.retired: list[ShelfLink] = []
        self.now = clock()
        self.core = core(config, self.block, self.now, self)
        self.timer: asyncio.TimerHandle | None = None
        self.wake_ms = float("inf")
        self.server: Any = None
        self.latency = HdrHistogram(1, 60_000_000, 3)  # microseconds, of honoured accesses
        self.faults = 0
        self.door: Door | None = None
        self.memory_disk: Any = None
        self.version_shown: dict[str, Any] = {}  # of the group's configuration, where there is one
        self.times: Any = None
        self.back: Back | None = None
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.listing = ListingLink(
            loop, clock, name, config.listing.listen, config.limits, random.Random(self.block.seed), self._listed,
            config.listing.mode == "ask",
        )  # fmt: skip

    async def start(self) -> None:
        host, port = parse_address(self.block.listen)
        self.server = await self.loop.create_server(lambda: ClientConn(self), host, port, backlog=4096)
        if self.back is not None:
            self.back.begin()
        if self.block.rsync is not None:
            self.door = Door(self)
            await self.door.start()
        self.listing.start()
        self.core.start(self.clock())
        if self.back is not None:
            self.back.pump()
        if self.memory_disk is not None:
            self.loop.call_later(self.config.buffer.memory / 1000.0, self._keep_soon)
        self.note(self.clock(), "up", role="head", name=self.name)

    def buffer(self, disk: Any, lasts: Any) -> None:
        """Before `start`: buffered volumes are confirmed from a journal on this disk."""
        self.back = Back(self, disk, lasts)

    def remember(self, disk: Any, times: Callable[[], tuple[float, float, str]]) -> None:
        """Before `start`: takes up what an earlier life learned, and keeps what this one learns. `times` gives the wall
        clock and the machine's time since its start, in ms, and which start that was."""
        self.memory_disk, self.times = disk, times
        mark = memory.mark_of(self.config.module_settings(self.block))
        if not disk.exists(memory.FILE):
            return
        try:
            data = disk.read(memory.FILE)
            state, age, whole, word = memory.recalled(data, self.name, mark, *times())
        except (StorageError, OSError) as error:
            self.log.warning("memory is not taken up", why=str(error))
            return
        self.core.module.recall(self.clock(), state, age, whole)
        self.log.info("memory", what=word, shelfs=len(state["shelfs"]), extents=len(state["thinks"]))

    def keep_memory(self, whole: bool = False) -> None:
        """Writes what is known now. A disk that fails costs the memory and nothing else."""
        if self.memory_disk is None:
            return
        mark = memory.mark_of(self.config.module_settings(self.block))
        state = self.core.module.remembered(self.clock())
        try:
            memory.save(self.memory_disk, memory.Kept(self.name, mark, *self.times(), whole, state))
        except OSError as error:
            self.log.warning("memory is not kept", why=str(error))

    def _keep_soon(self) -> None:
        self.keep_memory()
        if not self.stopped.done():
            self.loop.call_later(self.config.buffer.memory / 1000.0, self._keep_soon)

    # ---- stopping

    def stop(self, why: str) -> None:
        """Takes nothing new, gives every accepted access its answer within its own time, then is stopped."""
        if self.core.stopping:
            return
        self.core.stopping = True
        self.log.info("stopping", why=why, open=self.core.open)
        self.server.close()
        if self.door is not None:
            self.door.stop()
        if self.back is not None:
            self.back.stop()
        for conn in list(self.conns):
            conn.tell_stopping()
        self.loop.call_later(self.config.limits.stall / 1000.0, self._settle_all)
        self.stop_if_done()

    def _settle_all(self) -> None:
        """A client that never answers does not hold up the stop for ever."""
        for conn in self.conns:
            conn.settled = True
        self.stop_if_done()

    def stop_if_done(self) -> None:
        if not self.core.stopping or self.core.open or (self.door is not None and self.door.guests):
            return
        if self.back is not None and not self.back.is_done():
            return
        if self.conns:
            for conn in list(self.conns):
                if conn.settled:
                    conn.close()
            return
        if not self.stopped.done():
            self.note(self.clock(), "down", name=self.name)
            self.keep_memory(whole=True)
            self.listing.close()
            if self.door is not None:
                self.door.close()
            if self.back is not None:
                self.back.close()
            if self.core.capture is not None:
                self.core.capture.flush()
            for link in [*self.links.values(), *self.retired]:
                link.close()
            if self.timer is not None:
                self.timer.cancel()
            self.records.close()
            self.stopped.set_result(None)

    def gone(self, conn: ClientConn) -> None:
        self.conns.pop(conn, None)
        now = self.clock()
        for taken in list(conn.open.values()):
            if taken is not None:
                self.core.left(now, taken)
        conn.open.clear()
        self.stop_if_done()

    # ---- what the core has done

    def answer(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        taken.conn.answered(taken, final, stay_ms, reason, data)
        now = self.now
        if final == HONOURED:
            self.latency.record_value(max(1, int((now - taken.came_ms) * 1000.0)))
        self.note(now, "answer", id=taken.trace, final=FINALS[final], stay=stay_ms)
        if self.config.log.accesses:
            took = round(now - taken.came_ms, 3)
            self.log.info("answer", id=taken.trace, final=FINALS[final], ms=took, reason=reason)
        if self.core.stopping and not self.core.open:
            self.loop.call_soon(self.stop_if_done)

    def send_trip(self, taken: Taken, shelf: str, trip: int, until_ms: float) -> None:
        link = self.links[shelf]
        if self.config.log.accesses:
            self.log.info("trip", id=taken.trace, n=trip, shelf=shelf)
        link.send(taken, trip, until_ms, self.now)

    def drop_trip(self, taken: Taken) -> None:
        taken.trip.link.drop(taken)

    def wake_at(self, at_ms: float) -> None:
        if at_ms < self.wake_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.wake_ms = at_ms
            # The loop rounds to its grid: half a millisecond more, or it would call just before the time.
            self.timer = self.loop.call_at(at_ms / 1000.0 + 0.0005, self._woken)

    def _woken(self) -> None:
        self.timer, self.wake_ms = None, float("inf")
        self.now = self.clock()
        self.core.woken(self.now)

    def call_list(self, call: ListCall) -> None:
        self.listing.call(call)

    # ---- from shelfs and list

    def _ended(self, now: float, *rest: Any) -> None:
        self.now = now
        self.core.ended(now, *rest)

    def _listed(self, now: float, kind: ListKind, entries: list[Entry], addresses: dict[str, str]) -> None:
        self.now = now
        for shelf, address in addresses.items():
            link = self.links.get(shelf)
            if link is None or link.address != address:
                if link is not None:
                    self.retired = [r for r in self.retired if r.out or r.waiting]
                    self.retired.append(link)
                    link.retire()
                self.links[shelf] = ShelfLink(
                    self.loop, self.clock, self.name, shelf, address, self.config.limits, self._ended,
                    self.note if self.records.on else None,
                )  # fmt: skip
        self.note(now, "listed", kind=kind.value, entries=[(e.shelf, e.standing.value) for e in entries])
        self.log.debug("listed", kind=kind.value, shelfs=len(entries))
        self.core.listed(now, kind, entries)
        for shelf in [n for n in self.links if n not in self.core.module.index]:
            self.links.pop(shelf).retire()  # the module has given its place to another name: nothing of it is out

    def capture(self, writer: Any) -> None:
        """Keeps what is taken from now on; what stands is written every second."""
        self.core.capture = writer
        self._flush_capture()

    def _flush_capture(self) -> None:
        self.core.capture.flush()
        if not self.stopped.done() and self.core.capture.on:
            self.loop.call_later(1.0, self._flush_capture)

    def adopt(self, config: Config) -> None:
        """New settings from the same file; addresses stay as they were until a restart."""
        self.config = config
        self.now = self.clock()
        self.core.take_up(self.now, config)
        if self.door is not None:
            self.door.adopt(config)


def _nothing(*_: Any, **__: Any) -> None:
    pass
