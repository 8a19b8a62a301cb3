"""When dirty writes are written back, and when no more are accepted. No I/O, no clock.

Writes wait a little, so that several of one extent go together, which saves a storage node work; age, a full buffer, a
flush or a barrier end the wait. The number in flight follows what the fleet bears, as for any client, and begins small
after a restart: the replay of a full journal is much at once, and storage nodes may have restarted, too. A node that
takes nothing is tried now and then with one write; the others' go on. Each write-back is a request of the gateway: slow
start, draining and the limits of quota plans are the scheduler's, which counts its units once, here and not when the
write was confirmed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto
from itertools import islice

from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.errors import JournalFailedError
from pebblehinge.store.records import Write

MIN_WINDOW = 2.0  # writes in flight
INITIAL_WINDOW = 2.0  # likewise, after a start
WINDOW_SHRINK = 0.6  # factor of the window when a write-back is not accepted
MIN_SHRINK_INTERVAL_MS = 20.0
MAX_CANDIDATES = 256  # writes, the longest ready first, of which those that go are chosen
CANDIDATES_PER_FREE_PLACE = 4  # beyond those
MIN_BACKOFF_MS = 100.0  # between attempts at a storage node that takes nothing
MAX_BACKOFF_MS = 5_000.0


@dataclass(slots=True, frozen=True)
class WriteRejection:
    """Why a write can't be buffered now, and for how long to stay away; 0 for the longest time that settings allow."""

    reason: str
    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Backoff:
    """A storage node is not tried before this clock time; the pause that led to it grows with each failure."""

    until_ms: float
    pause_ms: float


class WritebackStep(Enum):
    """What to do for a write whose turn it is."""

    READ_BACK = auto()  # an attempt of it may have run: read what the storage node has
    WRITE = auto()
    DONE = auto()  # it is on its storage node


class WritebackPolicy:
    """Decides what is accepted into the buffer and what is written back next.

    Attributes:
        max_bytes: Dirty bytes beyond which nothing is accepted.
        max_age_ms: Age of the oldest dirty write beyond which nothing is accepted.
        delay_ms: How long a write waits for others.
        max_in_flight: Write-backs in flight at the most.
        window: Write-backs in flight at present, with a fraction.
        flushing: For each volume the number up to which a flush was asked for.
        backoffs: The slots whose storage node takes nothing.
        probing: Of these the slots at which one write is in flight.
        next_shrink_ms: Clock time before which the window doesn't shrink again.
    """

    def __init__(self, max_bytes: int, max_age_ms: float, delay_ms: float, max_in_flight: int) -> None:
        self.max_bytes = max_bytes
        self.max_age_ms = max_age_ms
        self.delay_ms = delay_ms
        self.max_in_flight = max_in_flight
        self.window = INITIAL_WINDOW
        self.flush_up_to: dict[str, int] = {}
        self.backoffs: dict[int, Backoff] = {}
        self.probed_slots: dict[int, None] = {}
        self.next_shrink_ms = -math.inf

    def check_write(
        self, now: float, dirty: DirtyWrites, size: int, failure: JournalFailedError | None
    ) -> WriteRejection | None:
        """Returns why a write of so many bytes can't be buffered now, None if it can."""
        if failure is not None:
            return WriteRejection(str(failure), 0.0)
        if dirty.bytes + size > self.max_bytes:
            return WriteRejection(f"{dirty.bytes} bytes wait for their shelfs already", self.delay_ms)
        oldest = dirty.oldest_confirmed_ms()
        if oldest is not None and now - oldest > self.max_age_ms:
            return WriteRejection(f"a write has waited for its shelf for {(now - oldest) / 1000:.0f} s", self.delay_ms)
        return None

    def flush(self, volume: str, up_to: int) -> None:
        """Has the writes of a volume up to this number written back without delay."""
        self.flush_up_to[volume] = max(up_to, self.flush_up_to.get(volume, 0))

    def due_writes(self, now: float, dirty: DirtyWrites) -> list[Write]:
        """The writes to write back now, the oldest first."""
        free = int(self.window) - len(dirty.in_flight)
        if free <= 0:
            return []
        candidates = islice(dirty.ready_writes(), MAX_CANDIDATES + CANDIDATES_PER_FREE_PLACE * free)
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
        """At most so many of them, and one for a slot whose storage node takes nothing."""
        chosen: list[Write] = []
        for write in due:
            if len(chosen) >= free:
                break
            if write.slot in self.backoffs:
                if write.slot in self.probed_slots:
                    continue
                self.probed_slots[write.slot] = None
            chosen.append(write)
        return chosen

    def record_success(self, write: Write) -> None:
        """A write-back succeeded: the window grows."""
        self.probed_slots.pop(write.slot, None)
        self.backoffs.pop(write.slot, None)
        self.window = min(float(self.max_in_flight), self.window + 1.0 / self.window)

    def record_failure(self, now: float, write: Write, retry_after_ms: float) -> None:
        """A write-back was not accepted: its slot backs off and the window shrinks."""
        self.probed_slots.pop(write.slot, None)
        backoff = self.backoffs.get(write.slot, Backoff(0.0, MIN_BACKOFF_MS / 2))
        if now >= backoff.until_ms:  # those that were in flight together count as one failure
            pause_ms = min(MAX_BACKOFF_MS, 2 * backoff.pause_ms)
            self.backoffs[write.slot] = Backoff(now + max(retry_after_ms, pause_ms), pause_ms)
        if now >= self.next_shrink_ms:
            self.window = max(MIN_WINDOW, self.window * WINDOW_SHRINK)
            self.next_shrink_ms = now + max(MIN_SHRINK_INTERVAL_MS, retry_after_ms)

    def next_wake_ms(self, now: float, dirty: DirtyWrites) -> float:
        """When to look again though nothing happens; infinity for never."""
        at = math.inf
        if len(dirty.in_flight) >= int(self.window):
            return at
        for write in islice(dirty.ready_writes(), MAX_CANDIDATES):
            if write.slot in self.probed_slots:
                continue
            backoff = self.backoffs.get(write.slot)
            if backoff is not None and backoff.until_ms > now:
                at = min(at, backoff.until_ms)
            else:
                at = min(at, max(now, dirty.confirmed_ms[write.number] + self.delay_ms))
        return at


def next_step(write: Write, maybe_applied: bool, read_back: bytes | None) -> WritebackStep:
    """What to do for a write whose turn it is.

    An attempt of it may have run in an earlier run of the gateway, so its bytes may be there; then nothing is written
    again. Where others are, it is written under its idempotency key, which a storage node that ran it lately knows.

    Args:
        write: The write.
        maybe_applied: Whether an attempt of it may have run.
        read_back: What the storage node has in its place, None if it was not read.
    """
    if not maybe_applied:
        return WritebackStep.WRITE
    if read_back is None:
        return WritebackStep.READ_BACK
    return WritebackStep.DONE if read_back == write.data else WritebackStep.WRITE
