"""What a stand-in shelf does with requests: its machine's queue and time, effects on its contents, and outcomes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.settings.schema import Config
from pebblehinge.storage_node.connection import Attempt
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.machine import Faults, Job, Machine
from pebblehinge.wire import Kind
from pebblehinge.wire.frames import APPEND, APPENDED, WRITE

DONE, SERVER_ERROR, FULL = 0, 1, 2


class Requests:
    """The requests of one shelf. `warm` is False where its process has just started after a crash."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        records: EventLog | NullEventLog | None,
        contents: Contents | None,
        warm: bool,
        seed: int,
    ) -> None:
        self.loop, self.clock, self.config, self.name = loop, clock, config, name
        self.block = config.shelf[name]
        self.records = records or NullEventLog()
        self.now = clock()
        self.rng = random.Random(f"{seed}/{name}")
        self.machine = Machine(config.kind[self.block.kind], config.rules, self.rng, self.now, warm)
        self.contents = contents or Contents()
        self.window = max((p.window for p in config.profile.values()), default=0.0)
        self.faults = Faults(rng=random.Random(f"{seed}/{name}/faults"))
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = float("inf")
        self.draining = self.closed = False
        self.told_fall = self.beginning = False
        self.effects = 0

    def take(self, t: Attempt, units: float, left_ms: float) -> None:
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
            self._answer(t, SERVER_ERROR, "failed", b"")
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

    def recall(self, t: Attempt) -> None:
        self.machine.drop(t.job)
        if not t.job.began:
            t.conn.attempts.pop(t.number, None)
        self.records.note(self.now, "recalled", id=t.id, n=t.attempt, began=t.job.began)

    def _advance(self, now: float) -> None:
        for job in self.machine.advance(now):
            if job.owner is not None:
                self._end(job.owner, now)

    def _end(self, t: Attempt, now: float) -> None:
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

    def _effect(self, t: Attempt, now: float) -> bool:
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

    def _answer(self, t: Attempt, status: int, reason: str, data: bytes) -> None:
        t.conn.attempts.pop(t.number, None)
        if self.faults.hits(self.faults.lost_answers):
            self.records.note(self.now, "lost", id=t.id, n=t.attempt)
            return
        self.records.note(self.now, "said", id=t.id, n=t.attempt, status=status)
        t.conn.send(Kind.OUTCOME, t.number, status, reason, data)

    def _fall(self, now: float) -> None:
        """The machine fell over; its sockets have to go with it."""
        raise NotImplementedError

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
