"""Brings confirmed writes to their shelfs, and notes in the journal what landed."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Any

from pebblehinge.head.house import House
from pebblehinge.head.inside import Inside
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Done, Write
from pebblehinge.store.writeback_policy import WritebackPolicy, WritebackStep, next_step
from pebblehinge.wire.frames import READ, WRITE


class Landing:
    """The way of dirty writes to their shelfs. Tells through `moved` whenever something is no longer under way."""

    def __init__(
        self,
        house: House,
        journal: Journal,
        committer: Committer,
        dirty: DirtyWrites,
        policy: WritebackPolicy,
        counts: dict[str, int],
        moved: Callable[[], None],
    ) -> None:
        self.house, self.loop, self.clock, self.moved = house, house.loop, house.clock, moved
        self.block = house.config.buffer
        self.journal, self.committer, self.dirty, self.policy = journal, committer, dirty, policy
        self.inside = Inside(house, "write-back")
        self.landed: list[int] = []  # not yet noted as done
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.noting: asyncio.TimerHandle | None = None
        self.given_up = self.closed = False
        self.counts = counts

    def pump(self) -> None:
        """Starts what is due, and comes again."""
        if self.given_up or self.closed:
            return
        now = self.clock()
        for write in self.policy.due(now, self.dirty):
            self.dirty.in_flight[write.number] = None
            self.spawn(self._land(write))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.policy.wake_ms(now, self.dirty)
        if at < float("inf"):
            self.timer = self.loop.call_later(max(0.5, at - now) / 1000.0, self.pump)

    async def _land(self, write: Write) -> None:
        step = next_step(write, write.number in self.dirty.maybe_applied, None)
        if step is WritebackStep.READ_BACK:
            answer = await self._request(write, READ, b"")
            if answer.final == "honoured":
                step = next_step(write, True, answer.data)
        if step is WritebackStep.WRITE:
            answer = await self._request(write, WRITE, write.data)
            if answer.final != "pushed back":
                self.dirty.maybe_applied[write.number] = None  # it may have run, whatever becomes of it
        now = self.clock()
        self.dirty.in_flight.pop(write.number, None)
        final, stay = ("honoured", 0.0) if step is WritebackStep.DONE else (answer.final, answer.stay_ms)
        if final == "honoured":
            self.policy.succeeded(write)
        else:
            self.policy.failed(now, write, stay)
        if step is WritebackStep.DONE or (step is WritebackStep.WRITE and final == "honoured"):
            self.counts["stood already" if step is WritebackStep.DONE else "landed"] += 1
            self.dirty.remove(write)
            self.landed.append(write.number)
            self._note_soon()
        self.pump()
        self.moved()

    async def _request(self, write: Write, op: int, data: bytes) -> Any:
        volume = self.house.config.volume.get(write.volume)
        back = volume.back if volume is not None and volume.back else write.profile
        number = self.inside.ids + 1
        return await self.inside.request(
            write.volume,
            op=op,
            extent=write.extent,
            slot=write.slot,
            profile=back,
            units=write.units,
            patience_ms=self.block.patience,
            trace=f"{self.house.name}.w{write.number}.{number}",
            again=False,
            offset=write.offset,
            length=len(write.data),
            data=data,
            label=f"wb.{write.label}.{write.number}",
        )

    def _note_soon(self) -> None:
        if self.noting is None and not self.closed:
            self.noting = self.loop.call_later(self.block.done / 1000.0, self._note)

    def _note(self) -> None:
        """What landed is noted, so that it is not brought again after a crash; then segments may go."""
        self.noting = None
        if not self.landed or self.committer.failure or self.closed:
            return
        numbers, self.landed = self.landed, []
        self.committer.add(Done(numbers), lambda lasts: self._noted(lasts))
        if not self.committer.running:
            self.spawn(self.committer.run())

    def _noted(self, lasts: bool) -> None:
        if lasts and not self.closed:
            self.journal.reclaim()
            for record in self.journal.records_to_relocate():
                self.committer.relocate(record)

    def spawn(self, coro: Any) -> None:
        task = self.loop.create_task(coro)
        self.tasks[task] = None
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.pop(task, None)
        if not self.closed:
            self.moved()
        if not task.cancelled() and task.exception() is not None:
            where = "".join(traceback.format_exception(task.exception(), limit=-4))
            self.house.log.error("fault", error=repr(task.exception()), where=where)

    def close(self) -> None:
        self.closed = True
        for handle in (self.timer, self.noting):
            if handle is not None:
                handle.cancel()
        for task in list(self.tasks):
            task.cancel()
