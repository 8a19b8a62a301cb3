"""Buffered volumes of a gateway: confirms writes from its journal, commits them to their nodes, shows them to reads.

Decides nothing: `store.writeback_policy` says what is accepted and what is committed when, the scheduler all of a
request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.admission import MAX_QUOTED, check_patience
from pebblehinge.gateway.buffered_request import BufferedOrigin, BufferedRequest
from pebblehinge.gateway.commit import NodeCommitter
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.errors import RequestRejectedError
from pebblehinge.gateway.flush_requests import FlushRequests
from pebblehinge.gateway.framed_request import FINAL_WORDS, FramedRequest
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

    def __init__(self, context: GatewayContext, disk: Disk, make_durable: Callable[[Batch], Awaitable[None]]) -> None:
        """Keeps the journal on `disk`; `make_durable` appends a batch to it and syncs."""
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        block = self.block = context.config.buffer
        self.journal = Journal(disk, block.segment)
        self.committer = Committer(self.journal, make_durable)
        self.dirty = DirtyWrites()
        self.policy = WritebackPolicy(block.most, block.age, block.delay, block.out)
        self.flushes = FlushRequests(self.committer, self.dirty, self._succeed)
        self.open = 0
        self.stopping = False
        self.closed = False
        self.counts = {"confirmed": 0, "landed": 0, "stood already": 0, "refused": 0}
        self.node_committer = NodeCommitter(
            context, self.journal, self.committer, self.dirty, self.policy, self.counts, self._on_progress
        )

    def begin(self) -> None:
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

    def buffers(self, volume: str) -> bool:
        """Whether a volume is buffered."""
        block = self.context.config.volume.get(volume)
        return block is not None and block.save == "buffered"

    # ---- requests

    def take(
        self,
        conn: BufferedOrigin,
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
        """Takes a request for a buffered volume: a write, a barrier, a flush, or a read that dirty writes cover.

        Its arguments are those of `GatewayCore.take`. Returns False if the request is for the request table.
        """
        now = self.context.now
        if op == READ:
            found = self.dirty.read_covered(volume, extent, offset, length) if length else None
            if found is not None:
                self._answer(BufferedRequest(conn, id_, slot, trace), FinalStatus.SUCCEEDED, 0.0, "", found)
            return found is not None
        if op not in (WRITE, BARRIER, FLUSH):
            return False
        request = BufferedRequest(conn, id_, slot, trace)
        try:
            check_patience(left_ms)
            self._admit(now, profile, op, offset, units, data)
        except RequestRejectedError as error:
            self.counts["refused"] += 1
            stay_ms = error.stay_ms or self.context.config.rules.stay_away_max
            self._answer(request, FinalStatus.REJECTED, stay_ms, str(error), b"")
            return True
        self.open += 1
        confirm_ms = max(0.0, left_ms - self.context.block.answer_margin)
        request.timer = self.loop.call_later(confirm_ms / 1000.0, self._time_out, request)
        if op == FLUSH:
            self._flush(request, volume)
            return True
        number = self.journal.next_number()
        if op == BARRIER:
            self._confirm(request, Barrier(number, volume))
        else:
            self._confirm(request, Write(number, volume, extent, slot, offset, data, label or trace, profile, units))
        return True

    def before_read(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Returns dirty writes that a read must show, even if they are committed meanwhile and it did not see them."""
        return tuple(self.dirty.extents.get((volume, extent), {}).values())

    def after_read(self, pending: FramedRequest, dirty_writes: tuple[Write, ...], data: bytes) -> bytes:
        """Returns the bytes of a read with the dirty writes of before it, then those of now, over them."""
        before = DirtyWrites()
        for write in dirty_writes:
            before.add(0.0, write)
        base = before.overlay(pending.volume, pending.extent, pending.offset, pending.length, data)
        return self.dirty.overlay(pending.volume, pending.extent, pending.offset, pending.length, base)

    def pump(self) -> None:
        """Starts the commits that are due, and comes again when others are."""
        self.node_committer.pump()

    # ---- graceful shutdown

    def stop(self) -> None:
        """Accepts no new writes; what is dirty is committed for a while, and what is left stays in the journal."""
        self.stopping = True
        for volume in list(self.dirty.volumes):
            self.policy.flush(volume, self.journal.last_number)
        self.pump()
        self.loop.call_later(self.block.stop / 1000.0, self._give_up)

    def is_done(self) -> bool:
        """Whether the gateway may end: nothing is owed, all is committed and recorded, or the time for that is over."""
        if self.open:
            return False
        is_recorded = not self.node_committer.committed or self.committer.failure is not None
        is_clean = not len(self.dirty) and is_recorded and not self.committer.is_running
        return self.node_committer.gave_up or is_clean

    def close(self) -> None:
        """Cancels what is under way."""
        self.closed = True
        self.node_committer.close()

    def _give_up(self) -> None:
        if self.dirty and not self.closed:
            self.context.log.warning("left in the journal", writes=len(self.dirty), bytes=self.dirty.bytes)
        self.node_committer.gave_up = True
        self.context.stop_if_done()

    # ---- steps of a request

    def _admit(self, now: float, profile: str, op: int, offset: int, units: float, data: bytes) -> None:
        """Raises RequestRejectedError for a request that is not accepted."""
        config = self.context.config
        if self.stopping:
            raise RequestRejectedError("this head is stopping: another one takes new accesses")
        if op == WRITE and (profile not in config.profile or offset < 0):
            quoted = profile[:MAX_QUOTED]
            raise RequestRejectedError(f"profile {quoted!r} is not known here, or there is no such place")
        if op == WRITE and not 0 < units <= config.rules.most_units:
            raise RequestRejectedError(f"{units:g} units: at most {config.rules.most_units:g} are taken")
        if op == FLUSH:
            return
        unconfirmed_bytes = sum(len(getattr(row.record, "data", b"")) for row in self.committer.pending)
        refusal = self.policy.check_write(now, self.dirty, len(data) + unconfirmed_bytes, self.committer.failure)
        if refusal is not None:
            raise RequestRejectedError(refusal.reason, refusal.retry_after_ms)

    def _flush(self, request: BufferedRequest, volume: str) -> None:
        """Waits until all is committed that was confirmed, or is being confirmed, by now."""
        request.volume = volume
        request.up_to = self.journal.last_number
        self.policy.flush(volume, request.up_to)
        self.flushes.add(request)
        self.flushes.check()
        self.pump()

    def _confirm(self, request: BufferedRequest, record: Write | Barrier) -> None:
        """Appends a record to the journal; the request is answered when it is durable."""
        self.committer.add(record, lambda is_durable: self._on_recorded(request, record, is_durable))
        if not self.committer.is_running:
            self.node_committer.spawn(self.committer.run())

    def _on_recorded(self, request: BufferedRequest, record: Write | Barrier, is_durable: bool) -> None:
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
        self.pump()

    def _time_out(self, request: BufferedRequest) -> None:
        """The request's time is up. What it asked for goes on, and is no longer promised."""
        self._answer(request, FinalStatus.FAILED, 0.0, "not confirmed in time", b"")

    def _succeed(self, request: BufferedRequest) -> None:
        self._answer(request, FinalStatus.SUCCEEDED, 0.0, "", b"")

    def _answer(self, request: BufferedRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        if request.answered:
            return
        request.answered = True
        if request.timer is not None:
            request.timer.cancel()
            self.open -= 1
        request.conn.answer_buffered(request.id, final, stay_ms, reason, request.slot, data)
        self.context.note(self.clock(), "answer", id=request.trace, final=FINAL_WORDS[final], stay=stay_ms)
        if self.stopping and not self.open:
            self.loop.call_soon(self.context.stop_if_done)

    def _on_progress(self) -> None:
        """Something of the commits is no longer under way."""
        self.flushes.check()
        if self.stopping:
            self.loop.call_soon(self.context.stop_if_done)
