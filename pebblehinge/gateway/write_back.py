"""Write-back of buffered volumes: confirms writes from the journal, writes them back, and includes them in reads.

No decision is taken here: `store.writeback_policy` decides which writes are accepted and when they are written back,
and the scheduler decides on the requests that write them back.
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
        committer: Appends records to the journal, several of them with one sync.
        dirty: Writes that are confirmed and not yet on their storage nodes.
        policy: Decides which writes are accepted, and when they are written back.
        write_back_runner: Writes them back.
        open_count: Number of requests that have no answer yet.
        counts: Numbers of writes by their end.
    """

    def __init__(self, context: GatewayContext, disk: Disk, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """Creates a write-back with its journal on `disk`; `write_batch` appends a batch to it and syncs."""
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
        """Restores the confirmed writes of earlier incarnations; raises StorageError if the journal can't be read."""
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
        """Returns whether a volume is buffered."""
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
        """Handles a write, barrier or flush of a buffered volume, or a read whose range dirty writes cover.

        The arguments are those of `GatewayCore.admit`. Returns False if the request table has to handle the request.
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
        """Returns the dirty writes that a read must include, even if it runs before their concurrent write-back."""
        return tuple(self.dirty.extents.get((volume, extent), {}).values())

    def overlay_dirty_writes(self, pending: FramedRequest, writes_before_read: tuple[Write, ...], data: bytes) -> bytes:
        """Returns the data of a read, overlaid with the writes that were dirty before it and then with those of now."""
        earlier_overlay = DirtyWrites()
        for write in writes_before_read:
            earlier_overlay.add(0.0, write)
        data_before = earlier_overlay.overlay(pending.volume, pending.extent, pending.offset, pending.length, data)
        return self.dirty.overlay(pending.volume, pending.extent, pending.offset, pending.length, data_before)

    def start_due_writes(self) -> None:
        """Starts the write-backs that are due, and schedules the next check."""
        self.write_back_runner.start_due_writes()

    def stop(self) -> None:
        """Rejects new requests and writes back; writes that are dirty after `buffer.stop` ms stay in the journal."""
        self.stopping = True
        for volume in list(self.dirty.volumes):
            self.policy.flush(volume, self.journal.last_number)
        self.start_due_writes()
        self.loop.call_later(self.settings.stop / 1000.0, self._on_shutdown_timeout)

    def is_drained(self) -> bool:
        """Returns whether all requests are answered and, until the timeout, all writes recorded as written back."""
        if self.open_count:
            return False
        is_recorded = not self.write_back_runner.written_back_numbers or self.committer.failure is not None
        is_clean = not len(self.dirty) and is_recorded and not self.committer.is_running
        return self.write_back_runner.shutdown_timed_out or is_clean

    def close(self) -> None:
        """Cancels the write-backs in progress."""
        self.closed = True
        self.write_back_runner.close()

    def _on_shutdown_timeout(self) -> None:
        if self.dirty and not self.closed:
            self.context.log.warning("writes left in the journal", writes=len(self.dirty), bytes=self.dirty.bytes)
        self.write_back_runner.shutdown_timed_out = True
        self.context.stop_if_done()

    def _check_admission(self, now: float, request_class: str, op: int, offset: int, units: float, data: bytes) -> None:
        """Raises RequestRejectedError for a request that is not admitted."""
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
        """Answers a flush once all writes that are confirmed, or being confirmed, by now are written back."""
        request.volume = volume
        request.up_to = self.journal.last_number
        self.policy.flush(volume, request.up_to)
        self.flushes.add(request)
        self.flushes.answer_completed()
        self.start_due_writes()

    def _append(self, request: BufferedRequest, record: Write | Barrier) -> None:
        """Appends a record to the journal, and answers the request when the record is durable."""
        self.committer.add(record, lambda is_durable: self._on_append_result(request, record, is_durable))
        if not self.committer.is_running:
            self.write_back_runner.spawn(self.committer.run())

    def _on_append_result(self, request: BufferedRequest, record: Write | Barrier, is_durable: bool) -> None:
        if self.closed:
            return
        if not is_durable:
            # The record may or may not be on the disk, so the request may have taken effect.
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
        """Fails a request at its deadline; its write or flush continues, but may or may not complete."""
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
        """Answers the flushes that a completed write-back allows, and continues a graceful shutdown."""
        self.flushes.answer_completed()
        if self.stopping:
            self.loop.call_soon(self.context.stop_if_done)
