"""Buffered volumes of a head: confirms writes from its journal, brings them to their shelfs, lays them over reads.

Decides nothing: `store.flushing` says what is taken and what goes when, the decision module all of a request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.head.admission import odd_time
from pebblehinge.head.buffered_request import Asked
from pebblehinge.head.house import House
from pebblehinge.head.inside import FINALS
from pebblehinge.head.landing import Landing
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty import Dirty
from pebblehinge.store.disk import Disk
from pebblehinge.store.flushing import Flushing
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Barrier, Write
from pebblehinge.wire.frames import BARRIER, FLUSH, READ, WRITE


class Back:
    """The write-back of one head. `lasts(batch)` appends and syncs."""

    def __init__(self, server: House, disk: Disk, lasts: Callable[[Batch], Awaitable[None]]) -> None:
        self.server, self.loop, self.clock = server, server.loop, server.clock
        block = self.block = server.config.buffer
        self.journal = Journal(disk, block.segment)
        self.committer = Committer(self.journal, lasts)
        self.dirty = Dirty()
        self.flushing = Flushing(block.most, block.age, block.delay, block.out)
        self.flushes: list[Asked] = []
        self.open = 0  # answers that are owed
        self.stopping = self.closed = False
        self.counts = {"confirmed": 0, "landed": 0, "stood already": 0, "refused": 0}
        self.landing = Landing(
            server, self.journal, self.committer, self.dirty, self.flushing, self.counts, self._moved
        )

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
        self,
        conn: Any,
        id_: int,
        trace: str,
        volume: str,
        profile: str,
        extent: str,
        slot: int,
        units: float,
        left_ms: float,
        label: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> bool:
        """True where the request is this one's: a write, a barrier or a flush; a read that dirty writes cover whole."""
        now = self.server.now
        if op == READ:
            found = self.dirty.newest(volume, extent, offset, length) if length else None
            if found is not None:
                self._answer(Asked(conn, id_, slot, trace), FinalStatus.SUCCEEDED, 0.0, "", found)
            return found is not None
        if op not in (WRITE, BARRIER, FLUSH):
            return False
        asked = Asked(conn, id_, slot, trace)
        odd = odd_time(left_ms)
        why = (odd, 0.0) if odd else self._refuses(now, volume, profile, op, offset, units, data)
        if why is not None:
            self.counts["refused"] += 1
            self._answer(asked, FinalStatus.REJECTED, why[1] or self.server.config.rules.stay_away_max, why[0], b"")
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
            self.landing.spawn(self.committer.run())
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
            self._answer(asked, FinalStatus.FAILED, 0.0, self.committer.failed, b"")
            return
        if isinstance(record, Barrier):
            self.dirty.barrier(record)
        else:
            self.dirty.add(self.clock(), record)
            self.counts["confirmed"] += 1
        self._answer(asked, FinalStatus.SUCCEEDED, 0.0, "", b"")
        self.pump()

    def _too_late(self, asked: Asked) -> None:
        """Its time is up. What was asked goes on; it is claimed no longer."""
        self._answer(asked, FinalStatus.FAILED, 0.0, "not confirmed in time", b"")

    def _answer(self, asked: Asked, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        if asked.answered:
            return
        asked.answered = True
        if asked.timer is not None:
            asked.timer.cancel()
            self.open -= 1
        asked.conn.tell(asked.id, final, stay_ms, reason, asked.slot, data)
        self.server.note(self.clock(), "answer", id=asked.trace, final=FINALS[final], stay=stay_ms)
        if self.stopping and not self.open:
            self.loop.call_soon(self.server.stop_if_done)

    # ---- reads that a shelf must be asked for

    def before_read(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Dirty writes that a read must show, even if they land while it is on its way and it did not see them."""
        return tuple(self.dirty.extents.get((volume, extent), {}).values())

    def after_read(self, pending: PendingRequest, seen: tuple[Write, ...], data: bytes) -> bytes:
        shown = Dirty()
        for write in seen:
            shown.add(0.0, write)
        base = shown.over(pending.volume, pending.extent, pending.offset, pending.length, data)
        return self.dirty.over(pending.volume, pending.extent, pending.offset, pending.length, base)

    # ---- what is waited for

    def pump(self) -> None:
        """Starts what is due, and comes again."""
        self.landing.pump()

    def _moved(self) -> None:
        """Something of the way to the shelfs is no longer under way."""
        self._look_at_flushes()
        if self.stopping:
            self.loop.call_soon(self.server.stop_if_done)

    def _look_at_flushes(self) -> None:
        left = []
        for asked in self.flushes:
            waits = any(
                r.volume == asked.volume and r.number <= asked.up_to
                for r, _ in self.committer.waiting
                if isinstance(r, Write)
            )
            waits = waits or self.committer.running or not self.dirty.clean(asked.volume, asked.up_to)
            if waits and not asked.answered:
                left.append(asked)
            else:
                self._answer(asked, FinalStatus.SUCCEEDED, 0.0, "", b"")
        self.flushes = left

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
        self.landing.given_up = True
        self.server.stop_if_done()

    def is_done(self) -> bool:
        """Whether the head may end: nothing is owed, all has landed and is noted, or the time for that is over."""
        if self.open:
            return False
        noted = not self.landing.landed or bool(self.committer.failed)
        return self.landing.given_up or (not len(self.dirty) and noted and not self.committer.running)

    def close(self) -> None:
        self.closed = True
        self.landing.close()
