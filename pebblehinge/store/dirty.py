"""What is confirmed and not yet at its shelf: which bytes are newest, which write may go next. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from pebblehinge.store.records import Barrier, Write


class Volume:
    """The writes of one volume in order, between its barriers."""

    def __init__(self) -> None:
        self.groups: deque[dict[int, Write]] = deque([{}])  # a barrier begins a new one


class Dirty:
    """All dirty writes of a head. Of one extent one write is out at a time, in order; behind a barrier none is out
    until all before it have landed."""

    def __init__(self) -> None:
        self.volumes: dict[str, Volume] = {}
        self.extents: dict[tuple[str, str], dict[int, Write]] = {}  # in order
        self.heads: dict[int, Write] = {}  # what order lets go now, or has let go: the first of each extent
        self.out: dict[int, None] = {}
        self.came: dict[int, float] = {}
        self.bytes = 0
        self.risky: dict[int, None] = {}  # an attempt of theirs may have run, in this life or the one before

    def __len__(self) -> int:
        return len(self.came)

    def add(self, now: float, write: Write, risky: bool = False) -> None:
        volume = self.volumes.setdefault(write.volume, Volume())
        volume.groups[-1][write.number] = write
        line = self.extents.setdefault((write.volume, write.extent), {})
        if not line and len(volume.groups) == 1:
            self.heads[write.number] = write
        line[write.number] = write
        self.came[write.number] = now
        self.bytes += len(write.data)
        if risky:
            self.risky[write.number] = None

    def barrier(self, barrier: Barrier) -> None:
        volume = self.volumes.setdefault(barrier.volume, Volume())
        if volume.groups[-1]:
            volume.groups.append({})

    def may_go(self) -> Iterator[Write]:
        """Writes that order lets go now: the first of each extent, before the first open barrier of its volume."""
        return (write for number, write in self.heads.items() if number not in self.out)

    def landed(self, write: Write) -> None:
        """It stands at its shelf."""
        volume = self.volumes[write.volume]
        volume.groups[0].pop(write.number, None)
        self.heads.pop(write.number, None)
        line = self.extents[write.volume, write.extent]
        line.pop(write.number, None)
        if not line:
            del self.extents[write.volume, write.extent]
        else:
            self._lead(volume, next(iter(line.values())))
        opened = False
        while not volume.groups[0] and len(volume.groups) > 1:
            volume.groups.popleft()
            opened = True
        for other in list(volume.groups[0].values()) if opened else ():
            if next(iter(self.extents[other.volume, other.extent])) == other.number:
                self._lead(volume, other)
        if not volume.groups[0]:
            del self.volumes[write.volume]
        self.out.pop(write.number, None)
        self.risky.pop(write.number, None)
        del self.came[write.number]
        self.bytes -= len(write.data)

    def _lead(self, volume: Volume, write: Write) -> None:
        if write.number in volume.groups[0]:
            self.heads[write.number] = write

    def clean(self, volume: str, up_to: int) -> bool:
        """Whether all of a volume up to a number has landed."""
        known = self.volumes.get(volume)
        return known is None or not any(n <= up_to for group in known.groups for n in group)

    def newest(self, volume: str, extent: str, offset: int, length: int) -> bytes | None:
        """The bytes of a range, where dirty writes cover all of it; None: a shelf must be asked."""
        line = self.extents.get((volume, extent))
        if not line:
            return None
        covered = bytearray(length)
        for write in line.values():
            low, high = max(offset, write.offset), min(offset + length, write.offset + len(write.data))
            if low < high:
                covered[low - offset : high - offset] = b"\1" * (high - low)
        return self.over(volume, extent, offset, length, b"") if all(covered) else None

    def over(self, volume: str, extent: str, offset: int, length: int, base: bytes) -> bytes:
        """What a shelf gave for a range, with all dirty writes laid over it in their order."""
        out = bytearray(base)
        line = self.extents.get((volume, extent), {})
        # An extent reaches to the end of what was written, with zeros where nothing was.
        end = min(length, max((w.offset + len(w.data) for w in line.values()), default=0) - offset)
        if len(out) < end:
            out += bytes(end - len(out))
        for write in line.values():
            low, high = max(offset, write.offset), min(offset + length, write.offset + len(write.data))
            if low >= high:
                continue
            out[low - offset : high - offset] = write.data[low - write.offset : high - write.offset]
        return bytes(out)

    def oldest_ms(self) -> float | None:
        return next(iter(self.came.values()), None)
