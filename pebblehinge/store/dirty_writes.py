"""Confirmed writes that are not yet on their storage nodes: the newest bytes, and the order of write-back.

No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

from pebblehinge.store.records import Barrier, Write


class VolumeWrites:
    """The dirty writes of one volume by number, in groups that its barriers separate; the oldest group goes first."""

    def __init__(self) -> None:
        self.groups: deque[dict[int, Write]] = deque([{}])


class DirtyWrites:
    """All dirty writes of a gateway.

    Of one extent one write is in flight at a time, in order; none behind a barrier is in flight before all writes ahead
    of the barrier are written back.

    Attributes:
        volumes: The writes by volume and barrier.
        extents: The writes of each extent, by volume and extent, in order.
        eligible: The writes that may be in flight by these rules: the first of each extent, ahead of all barriers.
        in_flight: Numbers of writes that are being written back.
        confirmed_ms: When each write was confirmed, by number, the oldest first.
        bytes: Payload of all of them.
        maybe_applied: Numbers of writes that a storage node may have applied already, in this run or the one before.
    """

    def __init__(self) -> None:
        self.volumes: dict[str, VolumeWrites] = {}
        self.extents: dict[tuple[str, str], dict[int, Write]] = {}
        self.eligible_writes: dict[int, Write] = {}
        self.in_flight: dict[int, None] = {}
        self.confirmed_ms: dict[int, float] = {}
        self.bytes = 0
        self.maybe_applied: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self.confirmed_ms)

    def add(self, now: float, write: Write, maybe_applied: bool = False) -> None:
        """Adds a confirmed write behind all others of its volume."""
        volume = self.volumes.setdefault(write.volume, VolumeWrites())
        volume.groups[-1][write.number] = write
        queue = self.extents.setdefault((write.volume, write.extent), {})
        if not queue and len(volume.groups) == 1:
            self.eligible_writes[write.number] = write
        queue[write.number] = write
        self.confirmed_ms[write.number] = now
        self.bytes += len(write.data)
        if maybe_applied:
            self.maybe_applied[write.number] = None

    def add_barrier(self, barrier: Barrier) -> None:
        """Holds back what is added to the volume from now on until all that it has is written back."""
        volume = self.volumes.setdefault(barrier.volume, VolumeWrites())
        if volume.groups[-1]:
            volume.groups.append({})

    def ready_writes(self) -> Iterator[Write]:
        """The eligible writes that aren't in flight."""
        return (write for number, write in self.eligible_writes.items() if number not in self.in_flight)

    def remove(self, write: Write) -> None:
        """Removes a write that is on its storage node, which makes others eligible."""
        volume = self.volumes[write.volume]
        volume.groups[0].pop(write.number, None)
        self.eligible_writes.pop(write.number, None)
        self._remove_from_extent(volume, write)
        self._drop_empty_groups(volume)
        if not volume.groups[0]:
            del self.volumes[write.volume]
        self.in_flight.pop(write.number, None)
        self.maybe_applied.pop(write.number, None)
        del self.confirmed_ms[write.number]
        self.bytes -= len(write.data)

    def _remove_from_extent(self, volume: VolumeWrites, write: Write) -> None:
        queue = self.extents[write.volume, write.extent]
        queue.pop(write.number, None)
        if not queue:
            del self.extents[write.volume, write.extent]
        else:
            self._make_eligible(volume, next(iter(queue.values())))

    def _drop_empty_groups(self, volume: VolumeWrites) -> None:
        """Drops groups that are empty; of the next one the first write of each extent is eligible."""
        opened = False
        while not volume.groups[0] and len(volume.groups) > 1:
            volume.groups.popleft()
            opened = True
        for write in list(volume.groups[0].values()) if opened else ():
            if next(iter(self.extents[write.volume, write.extent])) == write.number:
                self._make_eligible(volume, write)

    def _make_eligible(self, volume: VolumeWrites, write: Write) -> None:
        if write.number in volume.groups[0]:
            self.eligible_writes[write.number] = write

    def is_clean(self, volume: str, up_to: int) -> bool:
        """Whether all writes of a volume up to this number are on their storage nodes."""
        known = self.volumes.get(volume)
        return known is None or not any(n <= up_to for group in known.groups for n in group)

    def read_covered(self, volume: str, extent: str, offset: int, length: int) -> bytes | None:
        """The bytes of a range if dirty writes cover all of it, else None: a storage node must be asked."""
        queue = self.extents.get((volume, extent))
        if not queue:
            return None
        covered = bytearray(length)
        for _, low, high in _overlaps(queue.values(), offset, length):
            covered[low - offset : high - offset] = b"\1" * (high - low)
        return self.overlay(volume, extent, offset, length, b"") if all(covered) else None

    def overlay(self, volume: str, extent: str, offset: int, length: int, base: bytes) -> bytes:
        """What a storage node returned for a range, with all dirty writes laid over it in their order."""
        merged = bytearray(base)
        queue = self.extents.get((volume, extent), {})
        # An extent reaches to the end of what was written, with zeros where nothing was.
        end = min(length, max((w.offset + len(w.data) for w in queue.values()), default=0) - offset)
        if len(merged) < end:
            merged += bytes(end - len(merged))
        for write, low, high in _overlaps(queue.values(), offset, length):
            merged[low - offset : high - offset] = write.data[low - write.offset : high - write.offset]
        return bytes(merged)

    def oldest_confirmed_ms(self) -> float | None:
        """When the oldest write was confirmed, None if there is none."""
        return next(iter(self.confirmed_ms.values()), None)


def _overlaps(writes: Iterable[Write], offset: int, length: int) -> Iterator[tuple[Write, int, int]]:
    """The writes that touch a range, each with the bounds of what it touches, from the start of the extent."""
    for write in writes:
        low = max(offset, write.offset)
        high = min(offset + length, write.offset + len(write.data))
        if low < high:
            yield write, low, high
