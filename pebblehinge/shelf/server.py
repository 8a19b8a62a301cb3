"""The sockets of a stand-in shelf: attempts in, outcomes out, troubles by control frames, its place in the list."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.net import Peer, parse_address
from pebblehinge.records import NoRecords, Records
from pebblehinge.settings.schema import Config
from pebblehinge.shelf.contents import Contents
from pebblehinge.shelf.model import Faults, Job, Machine
from pebblehinge.wire import Kind, Session, WireError
from pebblehinge.wire.frames import APPEND, APPENDED, WRITE

DONE, ERRED, FULL = 0, 1, 2
STRIKES = {  # control verbs and the machine's settings while they act, with their values at rest
    "slow": {"slow": 1.0},
    "hang": {"hang": False},
    "neighbour": {"neighbour": 0.0, "neighbour_ms": 0.0},
    "pauses": {"pause_ms": 0.0, "pause_every_ms": 0.0},
    "fast-errors": {"errors": 0.0},
}
LINKS = {"resets": "resets", "garble": "garble", "lost-answers": "lost_answers", "half-open": "deaf"}


class _Attempt:
    __slots__ = ("conn", "number", "id", "attempt", "extent", "op", "offset", "length", "label", "data", "job")


class ShelfConn(Peer):
    """One head's (or the lab's) connection."""

    FRAMES = frozenset({Kind.TRIP, Kind.RECALL, Kind.CONTROL})

    def __init__(self, shelf: ShelfServer) -> None:
        limits = shelf.config.limits
        session = Session("shelf", shelf.name, limits.frame, limits.streams, greets=False)
        super().__init__(shelf.loop, session, limits.stall, limits.keepalive)
        self.shelf = shelf
        self.attempts: dict[int, _Attempt] = {}
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
        t = _Attempt()
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


class _Register(Peer):
    """The connection that tells the listing that this process runs."""

    def __init__(self, shelf: ShelfServer, session: Session) -> None:
        super().__init__(shelf.loop, session, shelf.config.limits.stall)
        self.shelf = shelf

    def ready(self) -> None:
        s, block = self.shelf, self.shelf.block
        age = -1.0 if s.machine.warm_from < 0 and not s.restarted else s.clock() - s.machine.started_ms
        self.send(Kind.REGISTER, s.name, block.listen, block.slot, block.rack, age)
        if s.draining:
            self.send(Kind.STANDING, "draining")
        s.register = self

    def gone(self, exc: Exception | None) -> None:
        self.shelf.register_lost(self)


class ShelfServer:
    """A stand-in shelf. `warm` is False where its process has just started after a crash."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        records: Records | NoRecords | None = None,
        contents: Contents | None = None,
        warm: bool = True,
        seed: int = 0,
    ) -> None:
        self.loop, self.clock, self.config, self.name, self.log = loop, clock, config, name, log
        self.block = config.shelf[name]
        self.records = records or NoRecords()
        self.now = clock()
        self.rng = random.Random(f"{seed}/{name}")
        self.machine = Machine(config.kind[self.block.kind], config.rules, self.rng, self.now, warm)
        self.restarted = not warm
        self.contents = contents or Contents()
        self.window = max((p.window for p in config.profile.values()), default=0.0)
        self.faults = Faults(rng=random.Random(f"{seed}/{name}/faults"))
        self.conns: dict[ShelfConn, None] = {}  # in the order in which they came
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = float("inf")
        self.server: Any = None
        self.register: _Register | None = None
        self.registering: asyncio.Task | None = None
        self.again: asyncio.TimerHandle | None = None
        self.draining = self.closed = False
        self.told_fall = self.beginning = False
        self.effects = 0

    async def start(self) -> None:
        host, port = parse_address(self.block.listen)
        self.server = await self.loop.create_server(lambda: ShelfConn(self), host, port, backlog=1024)
        self._register()
        kind, machine = self.machine.kind, self.machine
        self.records.note(
            self.clock(),
            "up",
            role="shelf",
            name=self.name,
            slot=self.block.slot,
            cold=self.restarted,
            started=machine.started_ms,
            cores=kind.cores,
            speed=machine.speed,
            cold_from=kind.cold_from,
            warm_ms=kind.cold,
            unit_work=kind.unit_work,
        )

    def stop(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for handle in (self.timer, self.registering, self.again):
            if handle is not None:
                handle.cancel()
        if self.register is not None:
            self.register.close()
        for conn in list(self.conns):
            conn.close()
        self.records.note(self.clock(), "down", name=self.name)
        self.records.close()
        self.contents.close()

    def kill(self) -> None:
        """The process is gone at once, as far as sockets can tell: for labs that hold many in one process."""
        self.closed = True
        self.server.close()
        for handle in (self.timer, self.registering, self.again):
            if handle is not None:
                handle.cancel()
        if self.register is not None:
            self.register.abort()
        for conn in list(self.conns):
            conn.abort()
        self.records.close()

    # ---- the list

    def _register(self) -> None:
        self.registering = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        limits = self.config.limits
        session = Session("shelf", self.name, limits.frame, limits.streams, greets=True)
        try:
            host, port = parse_address(self.config.listing.listen)
            await self.loop.create_connection(lambda: _Register(self, session), host, port)
        except OSError:
            self.register_lost(None)

    def register_lost(self, conn: _Register | None) -> None:
        if self.register is conn:
            self.register = None
        if not self.closed:
            self.again = self.loop.call_later(0.2, self._register)

    # ---- accesses

    def take(self, t: _Attempt, units: float, left_ms: float) -> None:
        now, faults = self.now, self.faults
        self._advance(now)
        before = faults.hits(faults.resets)
        if before and faults.rng.random() < 0.5:
            self.records.note(now, "reset", id=t.id, n=t.attempt, head=t.conn.session.peer_name, unseen=True)
            t.conn.abort()
            return
        chance = self.machine.strike.errors or self.machine.kind.errors
        if chance and self.rng.random() < chance:
            # An error that comes at once: half of them after the effect, so that nobody may trust them.
            self.records.note(
                now,
                "got",
                id=t.id,
                n=t.attempt,
                head=t.conn.session.peer_name,
                x=t.extent,
                u=units,
                w=0.0,
                op=t.op,
                full=False,
                label=t.label,
                cold=self.machine.warmth(now) < 1.0,
            )
            if self.rng.random() < 0.5:
                self._effect(t, now)
            self._answer(t, ERRED, "failed", b"")
            return
        cheap = t.label is not None and self.contents.done(t.label, now, self.window)
        job = Job(t, units, t.op in (WRITE, APPEND), t.extent, t.attempt, now + left_ms, cheap)
        t.job = job
        taken = not self.draining and self.machine.take(now, job)
        self.records.note(
            now,
            "got",
            id=t.id,
            n=t.attempt,
            head=t.conn.session.peer_name,
            x=t.extent,
            u=units,
            w=round(job.work, 3),
            op=t.op,
            full=not taken,
            label=t.label,
            cold=self.machine.warmth(now) < 1.0,
        )
        if self.machine.fell and not self.told_fall:
            self._fall(now)
            return
        if not taken:
            t.conn.send(Kind.OUTCOME, t.number, FULL, "draining" if self.draining else "full", b"")
            return
        t.conn.attempts[t.number] = t
        if before:  # the other half of the resets: it is taken, and its answer will find no connection
            t.conn.abort()
        if not self.beginning:
            self.beginning = True
            self.loop.call_soon(self._begin)

    def _begin(self) -> None:
        """After all frames that came together: an attempt whose recall stood right behind it, as in the socket of a
        process that was stopped for a while, must not run."""
        self.beginning = False
        if not self.closed:
            self.machine.begin(self.now)
            self._wake()

    def recall(self, t: _Attempt) -> None:
        self.machine.drop(t.job)
        if not t.job.began:
            t.conn.attempts.pop(t.number, None)
        self.records.note(self.now, "recalled", id=t.id, n=t.attempt, began=t.job.began)

    def _advance(self, now: float) -> None:
        for job in self.machine.advance(now):
            if job.owner is not None:
                self._end(job.owner, now)

    def _end(self, t: _Attempt, now: float) -> None:
        if t.op == WRITE:
            self._effect(t, now)
            self._answer(t, DONE, "", b"")
        elif t.op == APPEND:
            landed = self._effect(t, now)
            self._answer(t, DONE, "", APPENDED.pack(landed, len(self.contents.extents.get(t.extent, b""))))
        else:
            data = self.contents.read(t.extent, t.offset, t.length)
            self.records.note(now, "read", id=t.id, n=t.attempt)
            self._answer(t, DONE, "", data)

    def _effect(self, t: _Attempt, now: float) -> bool:
        """A write takes effect, but for a repeat whose label says that it was done; an append where the extent ends
        at the offset that it names, and nowhere else."""
        if t.op == APPEND and len(self.contents.extents.get(t.extent, b"")) != t.offset:
            self.records.note(now, "beside", id=t.id, n=t.attempt, x=t.extent, offset=t.offset)
            return False
        if t.op not in (WRITE, APPEND):
            return False
        if t.op == WRITE and t.label is not None and self.contents.done(t.label, now, self.window):
            self.records.note(now, "repeat", id=t.id, n=t.attempt, label=t.label)
            return False
        self.effects += 1
        if self.effects % 1024 == 0:
            self.contents.forget(now, self.window)
        self.records.note(now, "effect", id=t.id, n=t.attempt, label=t.label, x=t.extent, bytes=len(t.data))
        self.contents.write(now, t.id, t.extent, t.offset, t.data, t.label, t.attempt)
        return True

    def _answer(self, t: _Attempt, status: int, reason: str, data: bytes) -> None:
        t.conn.attempts.pop(t.number, None)
        if self.faults.hits(self.faults.lost_answers):
            self.records.note(self.now, "lost", id=t.id, n=t.attempt)
            return
        self.records.note(self.now, "said", id=t.id, n=t.attempt, status=status)
        t.conn.send(Kind.OUTCOME, t.number, status, reason, data)

    def _fall(self, now: float) -> None:
        self.told_fall = True
        self.records.note(now, "fell", name=self.name, fill=self.machine.worst_fill)
        self.log.warning("fell over", shelf=self.name)
        self.server.close()
        for conn in list(self.conns):
            conn.abort()

    # ---- time

    def _wake(self) -> None:
        at = self.machine.next_ms()
        if at < self.timer_ms or self.timer is None:
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.timer_ms = at
            if at < float("inf"):
                self.timer = self.loop.call_at(at / 1000.0 + 0.0005, self._due)

    def _due(self) -> None:
        self.timer, self.timer_ms = None, float("inf")
        self.now = self.clock()
        self._advance(self.now)
        self._wake()

    # ---- the lab's hand

    def control(self, verb: str, values: dict[str, Any]) -> str:
        """A trouble begins (with its figures) or ends (`off`); returns what was done."""
        now = self.now = self.clock()
        off = bool(values.get("off", 0))
        self.records.note(now, "control", verb=verb, values=values)
        if verb in STRIKES:
            rest = STRIKES[verb]
            wanted = rest if off else {k: type(v)(values.get(k, True)) for k, v in rest.items()}
            for job in self.machine.set_strike(now, **wanted):
                if job.owner is not None:
                    self._end(job.owner, now)
            self._wake()
        elif verb == "half-open":
            # Connections that stand turn deaf for good; new ones are well: a link that is cut in the middle.
            for conn in self.conns:
                if conn.session.peer_role == "head":
                    conn.deaf = not off
        elif verb in LINKS:
            setattr(self.faults, LINKS[verb], 0.0 if off else float(values["by"]))
        elif verb == "drain":
            self.draining = not off
            if self.register is not None:
                self.register.send(Kind.STANDING, "ready" if off else "draining")
        elif verb == "stats":
            m = self.machine
            return f"effects={self.effects} worst_fill={m.worst_fill:.3f} fell={int(m.fell)} speed={m.speed:.3f}"
        else:
            return f"no: {verb!r} is not known"
        return "done"
