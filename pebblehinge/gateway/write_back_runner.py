"""Writes confirmed writes back to their storage nodes, and records in the journal which are written back."""

from __future__ import annotations

import asyncio
import math
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.framed_request import FINAL_STATUS_LABELS
from pebblehinge.gateway.internal_client import InternalClient, InternalResult
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Completion, Write
from pebblehinge.store.writeback_policy import WritebackPolicy, WritebackStep, next_step
from pebblehinge.wire.frames import READ, WRITE

MIN_TIMER_DELAY_MS = 0.5
"""The least delay before the dirty writes are checked again."""


class WriteBackRunner:
    """Writes back the dirty writes of a gateway.

    Attributes:
        client: Makes the requests to storage nodes.
        written_back_numbers: Numbers of the writes that are written back but not yet recorded as such in the journal.
        shutdown_timed_out: Whether the time of a graceful shutdown is over, so that dirty writes stay in the journal.
        closed: Whether the runner is closed.
    """

    def __init__(
        self,
        context: GatewayContext,
        journal: Journal,
        committer: Committer,
        dirty: DirtyWrites,
        policy: WritebackPolicy,
        counts: dict[str, int],
        on_progress: Callable[[], None],
    ) -> None:
        """Creates a runner.

        Args:
            context: The running gateway.
            journal: The journal of confirmed writes.
            committer: Appends records to the journal.
            dirty: The dirty writes.
            policy: Decides which writes are written back when.
            counts: Counters of writes by their end, which the runner increments.
            on_progress: Called after each write-back and each task of the runner.
        """
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        self.settings = context.config.buffer
        self.journal = journal
        self.committer = committer
        self.dirty = dirty
        self.policy = policy
        self.counts = counts
        self.on_progress = on_progress
        self.client = InternalClient(context, "write-back")
        self.written_back_numbers: list[int] = []
        self.shutdown_timed_out = False
        self.closed = False
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._wake_timer: asyncio.TimerHandle | None = None
        self._completion_timer: asyncio.TimerHandle | None = None

    def start_due_writes(self) -> None:
        """Starts the write-backs that are due, and schedules the next check."""
        if self.shutdown_timed_out or self.closed:
            return
        now = self.clock()
        for write in self.policy.due_writes(now, self.dirty):
            self.dirty.in_flight[write.number] = None
            self.spawn(self._write_back(write))
        if self._wake_timer is not None:
            self._wake_timer.cancel()
            self._wake_timer = None
        wake_ms = self.policy.next_wake_ms(now, self.dirty)
        if wake_ms < math.inf:
            self._wake_timer = self.loop.call_later(
                max(MIN_TIMER_DELAY_MS, wake_ms - now) / 1000.0, self.start_due_writes
            )

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a separate task; an exception in it is logged."""
        task = self.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)

    def close(self) -> None:
        """Cancels the timers and the tasks in progress."""
        self.closed = True
        for handle in (self._wake_timer, self._completion_timer):
            if handle is not None:
                handle.cancel()
        for task in list(self._tasks):
            task.cancel()

    async def _write_back(self, write: Write) -> None:
        step = next_step(write, write.number in self.dirty.maybe_applied, None)
        if step is WritebackStep.READ_BACK:
            result = await self._send_request(write, READ, b"")
            if result.final == FINAL_STATUS_LABELS[FinalStatus.SUCCEEDED]:
                step = next_step(write, True, result.data)
        if step is WritebackStep.WRITE:
            result = await self._send_request(write, WRITE, write.data)
            if result.final != FINAL_STATUS_LABELS[FinalStatus.REJECTED]:
                self.dirty.maybe_applied[write.number] = None  # unless rejected, a request may have run
        now = self.clock()
        self.dirty.in_flight.pop(write.number, None)
        is_applied = step is WritebackStep.DONE
        final, retry_after_ms = (
            (FINAL_STATUS_LABELS[FinalStatus.SUCCEEDED], 0.0) if is_applied else (result.final, result.retry_after_ms)
        )
        if final == FINAL_STATUS_LABELS[FinalStatus.SUCCEEDED]:
            self.policy.record_success(write)
        else:
            self.policy.record_failure(now, write, retry_after_ms)
        if is_applied or (step is WritebackStep.WRITE and final == FINAL_STATUS_LABELS[FinalStatus.SUCCEEDED]):
            self.counts["stood already" if is_applied else "landed"] += 1
            self.dirty.remove(write)
            self.written_back_numbers.append(write.number)
            self._schedule_completion()
        self.start_due_writes()
        self.on_progress()

    async def _send_request(self, write: Write, op: int, data: bytes) -> InternalResult:
        volume = self.context.config.volume.get(write.volume)
        request_class = volume.back if volume is not None and volume.back else write.request_class
        request_number = self.client.last_id + 1
        return await self.client.request(
            write.volume,
            op=op,
            extent=write.extent,
            slot=write.slot,
            request_class=request_class,
            units=write.units,
            time_limit_ms=self.settings.patience,
            trace_id=f"{self.context.name}.w{write.number}.{request_number}",
            is_retry=False,
            offset=write.offset,
            length=len(write.data),
            data=data,
            idempotency_key=f"wb.{write.idempotency_key}.{write.number}",
        )

    def _schedule_completion(self) -> None:
        if self._completion_timer is None and not self.closed:
            self._completion_timer = self.loop.call_later(self.settings.done / 1000.0, self._record_completion)

    def _record_completion(self) -> None:
        """Records the written-back writes, so that a restart does not repeat them and their segments can be removed."""
        self._completion_timer = None
        if not self.written_back_numbers or self.committer.failure or self.closed:
            return
        numbers, self.written_back_numbers = self.written_back_numbers, []
        self.committer.add(Completion(numbers), self._on_completion_recorded)
        if not self.committer.is_running:
            self.spawn(self.committer.run())

    def _on_completion_recorded(self, is_durable: bool) -> None:
        if is_durable and not self.closed:
            self.journal.reclaim()
            for record in self.journal.records_to_relocate():
                self.committer.relocate(record)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not self.closed:
            self.on_progress()
        error = None if task.cancelled() else task.exception()
        if error is not None:
            where = "".join(traceback.format_exception(error, limit=-4))
            self.context.log.error("fault", error=repr(error), where=where)
