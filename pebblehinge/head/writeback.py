"""Buffered volumes of a head: confirms writes from its journal, brings them to their shelfs, lays them over reads.

Decides nothing: `store.flushing` says what is taken and what goes when, the decision module all of an access.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from pebblehinge.core import HONOURED, PUSHED_BACK, TERMINATED, Taken
from pebblehinge.head.admission import odd_time
from pebblehinge.head.inside import FINALS, Inside
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty import Dirty
from pebblehinge.store.disk import Disk
from pebblehinge.store.flushing import Flushing, next_step
from pebblehinge.store.journal import Barrier, Batch, Done, Journal, Write
from pebblehinge.wire.frames import BARRIER, FLUSH, READ, WRITE

if TYPE_CHECKING:
    from pebblehinge.head.server import HeadServer


class Asked:
    """One client's buffered write, barrier or flush, until it is answered."""

    __slots__ = ("conn", "id", "slot", "trace", "timer", "answered", "volume", "up_to")

    def __init__(self, conn: Any, id_: int, slot: int, trace: str) -> None:
        self.conn, self.id, self.slot, self.trace = conn, id_, slot, trace
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False
        self.volume, self.up_to = "", 0


class Back:
    """The write-back of one head. `lasts(batch)` appends and syncs."""

    def __init__(self, server: HeadServer, disk: Disk, lasts: Callable[[Batch], Awaitable[None]]) -> None:
        self.server, self.loop, self.clock = server, server.loop, server.clock
        block = self.block = server.config.buffer
        self.journal = Journal(disk, block.segment)
        self.committer = Committer(self.journal, lasts)
        self.dirty = Dirty()
        self.flushing = Flushing(block.most, block.age, block.delay, block.out)
        self.inside = Inside(server, "write-back")
        self.flushes: list[Asked] = []
        self.landed: list[int] = []  # not yet noted as done
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.noting: asyncio.TimerHandle | None = None
        self.open = 0  # answers that are owed
        self.stopping = self.given_up = self.closed = False
        self.counts = {"confirmed": 0, "landed": 0, "stood already": 0, "refused": 0}

    def begin(self) -> None:
        """Takes up what an earlier life of this head had confirmed; raises StorageError where that can't be read."""
        self.journal.begin()
        now = self.clock()
        everything = [*self.journal.writes.values(), *self.journal.barriers.values()]
        for record in sorted(everything, key=lambda r: r.number):
            if isinstance(record, Write):
                self.dirty.add(now, record, risky=True)
            else:
                self.dirty.barrier(record)
        if everything or self.journal.cut:
            writes, size = len(self.journal.writes), self.dirty.bytes
            self.server.log.info("journal", writes=writes, bytes=size, cut=self.journal.cut)

    def buffers(self, volume: str) -> bool:
        block = self.server.config.volume.get(volume)
        return block is not None and block.save == "buffered"

    # ---- from clients

    def take(
        self, conn: Any, id_: int, trace: str, volume: str, profile: str, extent: str, slot: int, units: float,
        left_ms: float, label: str | None, op: int, offset: int, length: int, data: bytes,
    ) -> bool:  # fmt: skip
        """True where the access is this one's: a write, a barrier or a flush; a read that dirty writes cover whole."""
        now = self.server.now
        if op == READ:
            found = self.dirty.newest(volume, extent, offset, length) if length else None
            if found is not None:
                self._answer(Asked(conn, id_, slot, trace), HONOURED, 0.0, "", found)
            return found is not None
        if op not in (WRITE, BARRIER, FLUSH):
            return False
        asked = Asked(conn, id_, slot, trace)
        odd = odd_time(left_ms)
        why = (odd, 0.0) if odd else self._refuses(now, volume, profile, op, offset, units, data)
        if why is not None:
            self.counts["refused"] += 1
            self._answer(asked, PUSHED_BACK, why[1] or self.server.config.rules.stay_away_max, why[0], b"")
            return True
        self.open += 1
        left = max(0.0, left_ms - self.server.block.answer_margin)
        asked.timer = self.loop.call_later(left / 1000.0, self._too_late, asked)
        if op == FLUSH:
            # All that was confirmed or is on its way by now.
            asked.volume, asked.up_to = volume, self.journal.number
            self.flushing.flush(volume, asked.up_to)
            self.flushes.append(asked)
            self._look_at_flushes()
            self.pump()
            return True
        number = self.journal.next_number()
        if op == BARRIER:
            record: Write | Barrier = Barrier(number, volume)
        else:
            record = Write(number, volume, extent, slot, offset, data, f"{label or trace}", profile, units)
        self.committer.add(record, lambda lasts: self._committed(asked, record, lasts))
        if not self.committer.running:
            self._spawn(self.committer.run())
        return True

    def _refuses(
        self, now: float, volume: str, profile: str, op: int, offset: int, units: float, data: bytes
    ) -> tuple[str, float] | None:
        if self.stopping:
            return "this head is stopping: another one takes new accesses", 0.0
        if op == WRITE and (profile not in self.server.config.profile or offset < 0):
            return f"profile {profile[:60]!r} is not known here, or there is no such place", 0.0
        if op == WRITE and not 0 < units <= self.server.config.rules.most_units:
            return f"{units:g} units: at most {self.server.config.rules.most_units:g} are taken", 0.0
        if op == FLUSH:
            return None
        return self.flushing.refuses(now, self.dirty, len(data) + self._on_the_way(), self.committer.failed)

    def _on_the_way(self) -> int:
        return sum(len(getattr(record, "data", b"")) for record, _ in self.committer.waiting)

    def _committed(self, asked: Asked, record: Write | Barrier, lasts: bool) -> None:
        if self.closed:
            return
        if not lasts:
            # It may be on the disk or not: that is all that can be said.
            self._answer(asked, TERMINATED, 0.0, self.committer.failed, b"")
            return
        if isinstance(record, Barrier):
            self.dirty.barrier(record)
        else:
            self.dirty.add(self.clock(), record)
            self.counts["confirmed"] += 1
        self._answer(asked, HONOURED, 0.0, "", b"")
        self.pump()

    def _too_late(self, asked: Asked) -> None:
        """Its time is up. What was asked goes on; it is claimed no longer."""
        self._answer(asked, TERMINATED, 0.0, "not confirmed in time", b"")

    def _answer(self, asked: Asked, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        if asked.answered:
            return
        asked.answered = True
        if asked.timer is not None:
            asked.timer.cancel()
            self.open -= 1
        asked.conn.tell(asked.id, final, stay_ms, reason, asked.slot, data)
        self.server.note(self.clock(), "answer", id=asked.trace, final=FINALS[final],
                         stay=stay_ms)  # fmt: skip
        if self.stopping and not self.open:
            self.loop.call_soon(self.server.stop_if_done)

    # ---- reads that a shelf must be asked for

    def before_read(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Dirty writes that a read must show, even if they land while it is on its way and it did not see them."""
        return tuple(self.dirty.extents.get((volume, extent), {}).values())

    def after_read(self, taken: Taken, seen: tuple[Write, ...], data: bytes) -> bytes:
        shown = Dirty()
        for write in seen:
            shown.add(0.0, write)
        base = shown.over(taken.volume, taken.extent, taken.offset, taken.length, data)
        return self.dirty.over(taken.volume, taken.extent, taken.offset, taken.length, base)

    # ---- to the shelfs

    def pump(self) -> None:
        """Starts what is due, and comes again."""
        if self.given_up or self.closed:
            return
        now = self.clock()
        for write in self.flushing.due(now, self.dirty):
            self.dirty.out[write.number] = None
            self._spawn(self._land(write))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.flushing.wake_ms(now, self.dirty)
        if at < float("inf"):
            self.timer = self.loop.call_later(max(0.5, at - now) / 1000.0, self.pump)

    async def _land(self, write: Write) -> None:
        step = next_step(write, write.number in self.dirty.risky, None)
        if step == "look":
            answer = await self._access(write, READ, b"")
            if answer.final == "honoured":
                step = next_step(write, True, answer.data)
        if step == "write":
            answer = await self._access(write, WRITE, write.data)
            if answer.final != "pushed back":
                self.dirty.risky[write.number] = None  # it may have run, whatever becomes of it
        now = self.clock()
        self.dirty.out.pop(write.number, None)
        final, stay = ("honoured", 0.0) if step == "done" else (answer.final, answer.stay_ms)
        self.flushing.ended(now, self.dirty, write, final, stay)
        if step == "done" or (step == "write" and final == "honoured"):
            self.counts["stood already" if step == "done" else "landed"] += 1
            self.dirty.landed(write)
            self.landed.append(write.number)
            self._note_soon()
            self._look_at_flushes()
        self.pump()
        if self.stopping:
            self.server.stop_if_done()

    async def _access(self, write: Write, op: int, data: bytes) -> Any:
        volume = self.server.config.volume.get(write.volume)
        back = volume.back if volume is not None and volume.back else write.profile
        number = self.inside.ids + 1
        return await self.inside.access(
            write.volume, op=op, extent=write.extent, slot=write.slot, profile=back, units=write.units,
            patience_ms=self.block.patience, trace=f"{self.server.name}.w{write.number}.{number}", again=False,
            offset=write.offset, length=len(write.data), data=data, label=f"wb.{write.label}.{write.number}",
        )  # fmt: skip

    def _look_at_flushes(self) -> None:
        left = []
        for asked in self.flushes:
            waits = any(r.volume == asked.volume and r.number <= asked.up_to for r, _ in self.committer.waiting
                        if isinstance(r, Write))  # fmt: skip
            waits = waits or self.committer.running or not self.dirty.clean(asked.volume, asked.up_to)
            if waits and not asked.answered:
                left.append(asked)
            else:
                self._answer(asked, HONOURED, 0.0, "", b"")
        self.flushes = left

    def _note_soon(self) -> None:
        if self.noting is None and not self.closed:
            self.noting = self.loop.call_later(self.block.done / 1000.0, self._note)

    def _note(self) -> None:
        """What landed is noted, so that it is not brought again after a crash; then segments may go."""
        self.noting = None
        if not self.landed or self.committer.failed or self.closed:
            return
        numbers, self.landed = self.landed, []
        self.committer.add(Done(numbers), lambda lasts: self._noted(lasts))
        if not self.committer.running:
            self._spawn(self.committer.run())

    def _noted(self, lasts: bool) -> None:
        if lasts and not self.closed:
            self.journal.reclaim()
            for record in self.journal.sparse():
                self.committer.move(record)

    def _spawn(self, coro: Any) -> None:
        task = self.loop.create_task(coro)
        self.tasks[task] = None
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.pop(task, None)
        if not self.closed:
            self._look_at_flushes()
            if self.stopping:
                self.loop.call_soon(self.server.stop_if_done)
        if not task.cancelled() and task.exception() is not None:
            where = "".join(traceback.format_exception(task.exception(), limit=-4))
            self.server.log.error("fault", error=repr(task.exception()), where=where)

    # ---- the end

    def stop(self) -> None:
        """No new writes; what is dirty goes to its shelfs for a while, and what does not stays in the journal."""
        self.stopping = True
        for volume in list(self.dirty.volumes):
            self.flushing.flush(volume, self.journal.number)
        self.pump()
        self.loop.call_later(self.block.stop / 1000.0, self._give_up)

    def _give_up(self) -> None:
        if self.dirty and not self.closed:
            self.server.log.warning("left in the journal", writes=len(self.dirty), bytes=self.dirty.bytes)
        self.given_up = True
        self.server.stop_if_done()

    def is_done(self) -> bool:
        """Whether the head may end: nothing is owed, all has landed and is noted, or the time for that is over."""
        if self.open:
            return False
        noted = not self.landed or bool(self.committer.failed)
        return self.given_up or (not len(self.dirty) and noted and not self.committer.running)

    def close(self) -> None:
        self.closed = True
        for handle in (self.timer, self.noting):
            if handle is not None:
                handle.cancel()
        for task in list(self.tasks):
            task.cancel()
