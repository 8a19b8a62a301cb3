"""Decides when dirty writes are written back, and when no more are accepted. No I/O, no clock.

A write waits for a short delay, so that several writes of one extent go together, which saves work on the storage
node; a buffer that is half full, a flush, a barrier or a restart ends the wait. A window limits the number of
write-backs in flight and adapts to what the fleet accepts, as for any client. It is small after a restart, because
replaying a full journal is a burst and the storage nodes may have restarted, too. A storage node that accepts nothing
is probed with one write at a time, with backoff; write-backs to the other nodes continue.

Each write-back is a request of the gateway, so slow start, draining and the limits of quota plans are left to the
scheduler. It counts the units of a write once: at the write-back, not when the write is confirmed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto
from itertools import islice

from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.errors import JournalFailedError
from pebblehinge.store.records import Write

MIN_WINDOW_WRITES = 2.0  # in flight
INITIAL_WINDOW_WRITES = 2.0  # in flight, after a start of the gateway
WINDOW_SHRINK_FACTOR = 0.6  # applied when a write-back is not accepted
MIN_SHRINK_INTERVAL_MS = 20.0
MAX_CANDIDATES = 256  # ready writes considered for write-back, in the order in which they became eligible
EXTRA_CANDIDATES_PER_FREE_PLACE = 4  # considered in addition, for each write that the window still admits
MIN_BACKOFF_MS = 100.0  # between attempts at a storage node that accepts nothing
MAX_BACKOFF_MS = 5_000.0


@dataclass(slots=True, frozen=True)
class WriteRejection:
    """A write that can't be buffered now.

    Attributes:
        reason: The reason, as the client gets it.
        retry_after_ms: The wait before a retry, in milliseconds; 0 for the longest wait that the settings allow.
    """

    reason: str
    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Backoff:
    """The backoff of a storage node that accepts nothing.

    Attributes:
        until_ms: Clock time before which no write-back is sent to it.
        pause_ms: Length of the pause in milliseconds; doubles with each failure.
    """

    until_ms: float
    pause_ms: float


class WritebackStep(Enum):
    """The next step of a write-back."""

    READ_BACK = auto()  # the write may already be applied: read its range from the storage node
    WRITE = auto()
    DONE = auto()  # the write is on its storage node


class WritebackPolicy:
    """Decides what is accepted into the buffer and what is written back next.

    Attributes:
        max_bytes: Dirty bytes beyond which no write is accepted.
        max_age_ms: Age of the oldest dirty write beyond which no write is accepted, in milliseconds.
        delay_ms: How long a write waits for others of its extent, in milliseconds.
        max_in_flight: Upper limit of the window.
        window: Present limit of write-backs in flight; a fraction accumulates until it admits one more.
        flush_up_to: For each volume, the highest write number that a flush has requested.
        backoffs: Backoff of each slot whose storage node accepts nothing.
        probed_slots: Slots with a backoff for which a write is in flight.
        next_shrink_ms: Clock time before which the window does not shrink again.
    """

    def __init__(self, max_bytes: int, max_age_ms: float, delay_ms: float, max_in_flight: int) -> None:
        self.max_bytes = max_bytes
        self.max_age_ms = max_age_ms
        self.delay_ms = delay_ms
        self.max_in_flight = max_in_flight
        self.window = INITIAL_WINDOW_WRITES
        self.flush_up_to: dict[str, int] = {}
        self.backoffs: dict[int, Backoff] = {}
        self.probed_slots: dict[int, None] = {}
        self.next_shrink_ms = -math.inf

    def check_write(
        self, now: float, dirty: DirtyWrites, size: int, failure: JournalFailedError | None
    ) -> WriteRejection | None:
        """Returns why a write of `size` bytes can't be buffered now, or None if it can.

        Args:
            now: Clock time in milliseconds.
            dirty: The dirty writes.
            size: Bytes of the write and of all writes that are not confirmed yet.
            failure: The failure of the journal, or None.
        """
        if failure is not None:
            return WriteRejection(str(failure), 0.0)
        if dirty.bytes + size > self.max_bytes:
            return WriteRejection(f"{dirty.bytes} bytes wait for their shelfs already", self.delay_ms)
        oldest = dirty.oldest_confirmed_ms()
        if oldest is not None and now - oldest > self.max_age_ms:
            return WriteRejection(f"a write has waited for its shelf for {(now - oldest) / 1000:.0f} s", self.delay_ms)
        return None

    def flush(self, volume: str, up_to: int) -> None:
        """Makes the writes of a volume up to this number due without delay."""
        self.flush_up_to[volume] = max(up_to, self.flush_up_to.get(volume, 0))

    def due_writes(self, now: float, dirty: DirtyWrites) -> list[Write]:
        """Returns the writes to write back now, the oldest first."""
        free = int(self.window) - len(dirty.in_flight)
        if free <= 0:
            return []
        candidates = islice(dirty.ready_writes(), MAX_CANDIDATES + EXTRA_CANDIDATES_PER_FREE_PLACE * free)
        due = [write for write in candidates if self._is_due(now, dirty, write)]
        due.sort(key=lambda write: write.number)
        return self._select(due, free)

    def _is_due(self, now: float, dirty: DirtyWrites, write: Write) -> bool:
        delay_ms = 0.0 if self._is_urgent(dirty, write) else self.delay_ms
        if now - dirty.confirmed_ms[write.number] < delay_ms:
            return False
        backoff = self.backoffs.get(write.slot)
        return backoff is None or (now >= backoff.until_ms and write.slot not in self.probed_slots)

    def _is_urgent(self, dirty: DirtyWrites, write: Write) -> bool:
        return (
            dirty.bytes > self.max_bytes / 2
            or write.number <= self.flush_up_to.get(write.volume, 0)
            or write.number in dirty.maybe_applied
            or len(dirty.volumes[write.volume].groups) > 1
        )

    def _select(self, due: list[Write], free: int) -> list[Write]:
        """Selects at most `free` writes, and at most one for each slot with a backoff."""
        selected: list[Write] = []
        for write in due:
            if len(selected) >= free:
                break
            if write.slot in self.backoffs:
                if write.slot in self.probed_slots:
                    continue
                self.probed_slots[write.slot] = None
            selected.append(write)
        return selected

    def record_success(self, write: Write) -> None:
        """Ends the backoff of the write's slot and enlarges the window."""
        self.probed_slots.pop(write.slot, None)
        self.backoffs.pop(write.slot, None)
        self.window = min(float(self.max_in_flight), self.window + 1.0 / self.window)

    def record_failure(self, now: float, write: Write, retry_after_ms: float) -> None:
        """Sets a backoff for the slot of a write that was not accepted, and shrinks the window."""
        self.probed_slots.pop(write.slot, None)
        backoff = self.backoffs.get(write.slot, Backoff(0.0, MIN_BACKOFF_MS / 2))
        if now >= backoff.until_ms:  # failures of writes that were in flight together count as one
            pause_ms = min(MAX_BACKOFF_MS, 2 * backoff.pause_ms)
            self.backoffs[write.slot] = Backoff(now + max(retry_after_ms, pause_ms), pause_ms)
        if now >= self.next_shrink_ms:
            self.window = max(MIN_WINDOW_WRITES, self.window * WINDOW_SHRINK_FACTOR)
            self.next_shrink_ms = now + max(MIN_SHRINK_INTERVAL_MS, retry_after_ms)

    def next_wake_ms(self, now: float, dirty: DirtyWrites) -> float:
        """Returns the clock time of the next check for due writes if nothing happens before; infinity for none."""
        wake_ms = math.inf
        if len(dirty.in_flight) >= int(self.window):
            return wake_ms
        for write in islice(dirty.ready_writes(), MAX_CANDIDATES):
            if write.slot in self.probed_slots:
                continue
            backoff = self.backoffs.get(write.slot)
            if backoff is not None and backoff.until_ms > now:
                wake_ms = min(wake_ms, backoff.until_ms)
            else:
                wake_ms = min(wake_ms, max(now, dirty.confirmed_ms[write.number] + self.delay_ms))
        return wake_ms


def next_step(write: Write, maybe_applied: bool, read_back: bytes | None) -> WritebackStep:
    """Returns the next step of a write-back.

    A storage node may already have applied the write, for example in an earlier incarnation of the gateway. If its
    range then holds the write's bytes, nothing is written again. If it holds other bytes, the write is sent under its
    idempotency key, by which a storage node that applied it recently recognises it.

    Args:
        write: The write.
        maybe_applied: Whether a storage node may already have applied it.
        read_back: The present bytes of its range on the storage node, None if they were not read.
    """
    if not maybe_applied:
        return WritebackStep.WRITE
    if read_back is None:
        return WritebackStep.READ_BACK
    return WritebackStep.DONE if read_back == write.data else WritebackStep.WRITE
