"""Buffered volumes of a gateway: confirms writes from its journal, commits them to their nodes, shows them to reads.

Decides nothing: `store.writeback_policy` says what is accepted and what is committed when, the scheduler all of a
request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.admission import MAX_QUOTED_CHARS, check_time_limit
from pebblehinge.gateway.buffered_request import BufferedOrigin, BufferedRequest
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.errors import RequestRejectedError
from pebblehinge.gateway.flush_requests import FlushRequests
from pebblehinge.gateway.framed_request import FINAL_STATUS_LABELS, FramedRequest
from pebblehinge.gateway.write_back_runner import WriteBackRunner
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.disk import Disk
from pebblehinge.store.journal import Batch, Journal
from pebblehinge.store.records import Barrier, Write
from pebblehinge.store.writeback_policy import WritebackPolicy
from pebblehinge.wire.frames import BARRIER, FLUSH, READ, WRITE


class WriteBack:
    """The write-back of one gateway.

    Attributes:
        journal: The journal of confirmed writes.
        committer: Appends to it, several records with one sync.
        dirty: Writes that are confirmed and not yet committed to their storage nodes.
        policy: Says when they are.
        node_committer: Commits them.
        open: How many requests are owed an answer.
        counts: Writes by what became of them.
    """

    def __init__(self, context: GatewayContext, disk: Disk, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """Keeps the journal on `disk`; `make_durable` appends a batch to it and syncs."""
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        settings = self.settings = context.config.buffer
        self.journal = Journal(disk, settings.segment)
        self.committer = Committer(self.journal, write_batch)
        self.dirty = DirtyWrites()
        self.policy = WritebackPolicy(settings.most, settings.age, settings.delay, settings.out)
        self.flushes = FlushRequests(self.committer, self.dirty, self._succeed)
        self.open_count = 0
        self.stopping = False
        self.closed = False
        self.counts = {"confirmed": 0, "landed": 0, "stood already": 0, "refused": 0}
        self.write_back_runner = WriteBackRunner(
            context, self.journal, self.committer, self.dirty, self.policy, self.counts, self._on_progress
        )

    def recover(self) -> None:
        """Restores what an earlier incarnation had confirmed; raises StorageError if that can't be read."""
        self.journal.recover()
        now = self.clock()
        records: list[Write | Barrier] = [*self.journal.writes.values(), *self.journal.barriers.values()]
        for record in sorted(records, key=lambda record: record.number):
            if isinstance(record, Write):
                self.dirty.add(now, record, maybe_applied=True)
            else:
                self.dirty.add_barrier(record)
        if records or self.journal.truncated_bytes:
            writes, size = len(self.journal.writes), self.dirty.bytes
            self.context.log.info("journal", writes=writes, bytes=size, cut=self.journal.truncated_bytes)

    def is_buffered(self, volume: str) -> bool:
        """Whether a volume is buffered."""
        volume_settings = self.context.config.volume.get(volume)
        return volume_settings is not None and volume_settings.save == "buffered"

    def try_handle(
        self,
        origin: BufferedOrigin,
        id_: int,
        trace_id: str,
        volume: str,
        request_class: str,
        extent: str,
        slot: int,
        units: float,
        time_limit_ms: float,
        idempotency_key: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> bool:
        """Takes a request for a buffered volume: a write, a barrier, a flush, or a read that dirty writes cover.

        Its arguments are those of `GatewayCore.take`. Returns False if the request is for the request table.
        """
        now = self.context.now
        if op == READ:
            covered_data = self.dirty.read_covered(volume, extent, offset, length) if length else None
            if covered_data is not None:
                self._answer(BufferedRequest(origin, id_, slot, trace_id), FinalStatus.SUCCEEDED, 0.0, "", covered_data)
            return covered_data is not None
        if op not in (WRITE, BARRIER, FLUSH):
            return False
        request = BufferedRequest(origin, id_, slot, trace_id)
        try:
            check_time_limit(time_limit_ms)
            self._check_admission(now, request_class, op, offset, units, data)
        except RequestRejectedError as error:
            self.counts["refused"] += 1
            retry_after_ms = error.retry_after_ms or self.context.config.rules.stay_away_max
            self._answer(request, FinalStatus.REJECTED, retry_after_ms, str(error), b"")
            return True
        self.open_count += 1
        answer_timeout_ms = max(0.0, time_limit_ms - self.context.gateway_settings.answer_margin)
        request.timer = self.loop.call_later(answer_timeout_ms / 1000.0, self._time_out, request)
        if op == FLUSH:
            self._flush(request, volume)
            return True
        number = self.journal.next_number()
        if op == BARRIER:
            self._append(request, Barrier(number, volume))
        else:
            self._append(
                request,
                Write(number, volume, extent, slot, offset, data, idempotency_key or trace_id, request_class, units),
            )
        return True

    def dirty_writes_of_extent(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Returns dirty writes that a read must show, even if they are committed meanwhile and it did not see them."""
        return tuple(self.dirty.extents.get((volume, extent), {}).values())

    def overlay_dirty_writes(self, pending: FramedRequest, writes_before_read: tuple[Write, ...], data: bytes) -> bytes:
        """Returns the bytes of a read with the dirty writes of before it, then those of now, over them."""
        earlier_overlay = DirtyWrites()
        for write in writes_before_read:
            earlier_overlay.add(0.0, write)
        data_before = earlier_overlay.overlay(pending.volume, pending.extent, pending.offset, pending.length, data)
        return self.dirty.overlay(pending.volume, pending.extent, pending.offset, pending.length, data_before)

    def start_due_writes(self) -> None:
        """Starts the commits that are due, and comes again when others are."""
        self.write_back_runner.start_due_writes()

    def stop(self) -> None:
        """Accepts no new writes; what is dirty is committed for a while, and what is left stays in the journal."""
        self.stopping = True
        for volume in list(self.dirty.volumes):
            self.policy.flush(volume, self.journal.last_number)
        self.start_due_writes()
        self.loop.call_later(self.settings.stop / 1000.0, self._on_shutdown_timeout)

    def is_drained(self) -> bool:
        """Whether the gateway may end: nothing is owed, all is committed and recorded, or the time for that is over."""
        if self.open_count:
            return False
        is_recorded = not self.write_back_runner.written_back_numbers or self.committer.failure is not None
        is_clean = not len(self.dirty) and is_recorded and not self.committer.is_running
        return self.write_back_runner.shutdown_timed_out or is_clean

    def close(self) -> None:
        """Cancels what is under way."""
        self.closed = True
        self.write_back_runner.close()

    def _on_shutdown_timeout(self) -> None:
        if self.dirty and not self.closed:
            self.context.log.warning("left in the journal", writes=len(self.dirty), bytes=self.dirty.bytes)
        self.write_back_runner.shutdown_timed_out = True
        self.context.stop_if_done()

    def _check_admission(self, now: float, request_class: str, op: int, offset: int, units: float, data: bytes) -> None:
        """Raises RequestRejectedError for a request that is not accepted."""
        config = self.context.config
        if self.stopping:
            raise RequestRejectedError("this head is stopping: another one takes new accesses")
        if op == WRITE and (request_class not in config.profile or offset < 0):
            quoted = request_class[:MAX_QUOTED_CHARS]
            raise RequestRejectedError(f"profile {quoted!r} is not known here, or there is no such place")
        if op == WRITE and not 0 < units <= config.rules.most_units:
            raise RequestRejectedError(f"{units:g} units: at most {config.rules.most_units:g} are taken")
        if op == FLUSH:
            return
        unconfirmed_bytes = sum(len(getattr(pending.record, "data", b"")) for pending in self.committer.pending)
        rejection = self.policy.check_write(now, self.dirty, len(data) + unconfirmed_bytes, self.committer.failure)
        if rejection is not None:
            raise RequestRejectedError(rejection.reason, rejection.retry_after_ms)

    def _flush(self, request: BufferedRequest, volume: str) -> None:
        """Waits until all is committed that was confirmed, or is being confirmed, by now."""
        request.volume = volume
        request.up_to = self.journal.last_number
        self.policy.flush(volume, request.up_to)
        self.flushes.add(request)
        self.flushes.answer_completed()
        self.start_due_writes()

    def _append(self, request: BufferedRequest, record: Write | Barrier) -> None:
        """Appends a record to the journal; the request is answered when it is durable."""
        self.committer.add(record, lambda is_durable: self._on_append_result(request, record, is_durable))
        if not self.committer.is_running:
            self.write_back_runner.spawn(self.committer.run())

    def _on_append_result(self, request: BufferedRequest, record: Write | Barrier, is_durable: bool) -> None:
        if self.closed:
            return
        if not is_durable:
            # It may be on the disk or not: that is all that can be said.
            self._answer(request, FinalStatus.FAILED, 0.0, str(self.committer.failure), b"")
            return
        if isinstance(record, Barrier):
            self.dirty.add_barrier(record)
        else:
            self.dirty.add(self.clock(), record)
            self.counts["confirmed"] += 1
        self._succeed(request)
        self.start_due_writes()

    def _time_out(self, request: BufferedRequest) -> None:
        """The request's time is up. What it asked for goes on, and is no longer promised."""
        self._answer(request, FinalStatus.FAILED, 0.0, "not confirmed in time", b"")

    def _succeed(self, request: BufferedRequest) -> None:
        self._answer(request, FinalStatus.SUCCEEDED, 0.0, "", b"")

    def _answer(
        self, request: BufferedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        if request.answered:
            return
        request.answered = True
        if request.timer is not None:
            request.timer.cancel()
            self.open_count -= 1
        request.origin.deliver_buffered_answer(request.id, final, retry_after_ms, reason, request.slot, data)
        self.context.record_event(
            self.clock(), "answer", id=request.trace_id, final=FINAL_STATUS_LABELS[final], stay=retry_after_ms
        )
        if self.stopping and not self.open_count:
            self.loop.call_soon(self.context.stop_if_done)

    def _on_progress(self) -> None:
        """Something of the commits is no longer under way."""
        self.flushes.answer_completed()
        if self.stopping:
            self.loop.call_soon(self.context.stop_if_done)
