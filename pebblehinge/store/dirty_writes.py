"""Dirty writes: confirmed writes that are not yet on their storage nodes, their newest bytes and write-back order.

No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

from pebblehinge.store.records import Barrier, Write


class VolumeWrites:
    """The dirty writes of one volume.

    Attributes:
        groups: The writes by number, in groups separated by the volume's barriers; the oldest group is first.
    """

    def __init__(self) -> None:
        self.groups: deque[dict[int, Write]] = deque([{}])


class DirtyWrites:
    """All dirty writes of a gateway.

    The writes of one extent are written back in order, one at a time. No write behind a barrier is in flight until all
    writes ahead of the barrier are written back.

    Attributes:
        volumes: The writes by volume and barrier.
        extents: The writes of each extent in order, by volume and extent.
        eligible_writes: The writes that may be in flight by these rules: the first of each extent, ahead of all
            barriers.
        in_flight: Numbers of the writes that are being written back.
        confirmed_ms: Clock time at which each write was confirmed, by number, the oldest first.
        bytes: Data bytes of all dirty writes.
        maybe_applied: Numbers of the writes that a storage node may already have applied, in this incarnation of the
            gateway or the previous one.
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
        """Adds a confirmed write after all other writes of its volume.

        Args:
            now: Clock time in milliseconds.
            write: The write.
            maybe_applied: Whether a storage node may already have applied it.
        """
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
        """Holds back writes added to the volume after this call until its present writes are written back."""
        volume = self.volumes.setdefault(barrier.volume, VolumeWrites())
        if volume.groups[-1]:
            volume.groups.append({})

    def ready_writes(self) -> Iterator[Write]:
        """Returns the eligible writes that are not in flight."""
        return (write for number, write in self.eligible_writes.items() if number not in self.in_flight)

    def remove(self, write: Write) -> None:
        """Removes a write that is on its storage node, which may make other writes eligible."""
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
        """Drops empty groups at the front; the first write of each extent in the next group becomes eligible."""
        has_new_group = False
        while not volume.groups[0] and len(volume.groups) > 1:
            volume.groups.popleft()
            has_new_group = True
        for write in list(volume.groups[0].values()) if has_new_group else ():
            if next(iter(self.extents[write.volume, write.extent])) == write.number:
                self._make_eligible(volume, write)

    def _make_eligible(self, volume: VolumeWrites, write: Write) -> None:
        """Makes a write eligible unless it is behind a barrier."""
        if write.number in volume.groups[0]:
            self.eligible_writes[write.number] = write

    def is_clean(self, volume: str, up_to: int) -> bool:
        """Returns whether all writes of a volume up to this number are on their storage nodes."""
        volume_writes = self.volumes.get(volume)
        return volume_writes is None or not any(n <= up_to for group in volume_writes.groups for n in group)

    def read_covered(self, volume: str, extent: str, offset: int, length: int) -> bytes | None:
        """Returns the bytes of a range if dirty writes cover all of it, else None: a storage node must be read."""
        queue = self.extents.get((volume, extent))
        if not queue:
            return None
        covered = bytearray(length)
        for _, low, high in _overlaps(queue.values(), offset, length):
            covered[low - offset : high - offset] = b"\1" * (high - low)
        return self.overlay(volume, extent, offset, length, b"") if all(covered) else None

    def overlay(self, volume: str, extent: str, offset: int, length: int, base: bytes) -> bytes:
        """Returns a range as a storage node returned it, with the dirty writes applied to it in order.

        Args:
            volume: Name of the volume.
            extent: Name of the extent.
            offset: Start of the range within the extent, in bytes.
            length: Length of the range, in bytes.
            base: What the storage node returned; shorter than the range where the extent ends within it.
        """
        merged = bytearray(base)
        queue = self.extents.get((volume, extent), {})
        # An extent reaches to the end of its last written byte; unwritten gaps before that read as zeros.
        end = min(length, max((w.offset + len(w.data) for w in queue.values()), default=0) - offset)
        if len(merged) < end:
            merged += bytes(end - len(merged))
        for write, low, high in _overlaps(queue.values(), offset, length):
            merged[low - offset : high - offset] = write.data[low - write.offset : high - write.offset]
        return bytes(merged)

    def oldest_confirmed_ms(self) -> float | None:
        """Returns the clock time at which the oldest dirty write was confirmed, or None if there is none."""
        return next(iter(self.confirmed_ms.values()), None)


def _overlaps(writes: Iterable[Write], offset: int, length: int) -> Iterator[tuple[Write, int, int]]:
    """Yields each write that overlaps a range, with the start and end of the overlap as offsets in the extent."""
    for write in writes:
        low = max(offset, write.offset)
        high = min(offset + length, write.offset + len(write.data))
        if low < high:
            yield write, low, high
