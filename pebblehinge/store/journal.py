"""The journal of a head: which writes are confirmed, which of them are done, and in which segments they stand.

`records` has the kinds of records, `segment` the format on disk. Nothing here reads a clock or waits; `committer` does
what `Batch` says.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.store.disk import Disk, StorageError
from pebblehinge.store.records import Barrier, Done, Record, Write
from pebblehinge.store.segment import HEADER, MAGIC, VERSION, frame, name_of, read_segment

SEGMENT = 8 << 20  # bytes after which a new segment begins
FENCE = "fence"


@dataclass(slots=True)
class Batch:
    """Bytes that are to be appended to a file and synced, before any of its records counts."""

    name: str
    data: bytes
    fresh: bool  # the file is new: its folder is synced, too
    records: list[Record]


@dataclass(slots=True)
class Segment:
    """One file: which of its writes are not done, and its barriers."""

    size: int = 0
    live: dict[int, None] = field(default_factory=dict)


class Journal:
    """The books of one folder: what is live, and where. `begin` reads it; then `add` gives batches to be synced."""

    def __init__(self, disk: Disk, segment: int = SEGMENT) -> None:
        self.disk, self.most = disk, segment
        self.segments: dict[int, Segment] = {}
        self.where: dict[int, int] = {}  # number of a live write -> its segment
        self.writes: dict[int, Write] = {}
        self.barriers: dict[int, Barrier] = {}
        self.number = 0  # of the last record
        self.segment = 0
        self.cut = 0  # bytes of torn tails that were cut at the start

    # ---- reading

    def begin(self) -> None:
        """Reads what the folder holds; raises StorageError where it can't be trusted."""
        if self.disk.exists(FENCE):
            by = self.disk.read(FENCE).decode("utf-8", "replace")
            raise StorageError(f"this journal was taken over ({by.strip()}): its writes are another's now")
        names = sorted(n for n in self.disk.names() if n.startswith("journal-") and n.endswith(".seg"))
        done: dict[int, None] = {}
        for i, name in enumerate(names):
            number, data = int(name[8:-4]), self.disk.read(name)
            batches, sound = read_segment(name, data, i == len(names) - 1)
            if sound < len(data):
                self.cut += len(data) - sound
                self.disk.truncate(name, sound)
            segment = self.segments[number] = Segment(sound)
            if sound:
                # Numbers are never given twice: what is done of an earlier life must not end a write of this one.
                self.number = max(self.number, HEADER.unpack_from(data)[3])
            for record in (r for batch in batches for r in batch):
                self._take(record, number, segment, done)
            self.segment = number
        for number in done:
            self._forget(number)
        self.segment += 1  # what was read is not written to again: a tail that was cut stays cut
        self.reclaim()

    def _take(self, record: Record, number: int, segment: Segment, done: dict[int, None]) -> None:
        if isinstance(record, Done):
            done.update(dict.fromkeys(record.numbers))
            self.number = max([self.number, *record.numbers])
            return
        self.number = max(self.number, record.number)
        if record.number in self.where:  # it was moved on to a later segment
            self.segments[self.where[record.number]].live.pop(record.number, None)
        if isinstance(record, Write):
            self.writes[record.number] = record
        else:
            self.barriers[record.number] = record
        self.where[record.number] = number
        segment.live[record.number] = None

    def _forget(self, number: int) -> None:
        at = self.where.pop(number, None)
        if at is not None:
            self.segments[at].live.pop(number, None)
            self.writes.pop(number, None)
            self.barriers.pop(number, None)

    # ---- writing

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def add(self, records: list[Record]) -> Batch:
        """What is to be appended for these records. They count once `synced` is called for it."""
        name = name_of(self.segment)
        fresh = self.segment not in self.segments
        data = frame(records)
        if fresh:
            self.segments[self.segment] = Segment()
            data = HEADER.pack(MAGIC, VERSION, self.segment, self.number) + data
        self.segments[self.segment].size += len(data)
        return Batch(name, data, fresh, records)

    def synced(self, batch: Batch) -> None:
        """The batch lasts."""
        number = int(batch.name[8:-4])
        done: dict[int, None] = {}
        for record in batch.records:
            self._take(record, number, self.segments[number], done)
        for n in done:
            self._forget(n)
        if self.segments[self.segment].size >= self.most:
            self.segment += 1

    def settle_barriers(self) -> None:
        """A barrier with nothing live before it has done its work."""
        oldest: dict[str, int] = {}
        for number, write in self.writes.items():
            oldest[write.volume] = min(number, oldest.get(write.volume, number))
        for number, barrier in list(self.barriers.items()):
            if oldest.get(barrier.volume, self.number + 1) > number:
                self._forget(number)

    def reclaim(self) -> int:
        """Removes segments with nothing live in them; how many."""
        self.settle_barriers()
        gone = [n for n, s in self.segments.items() if not s.live and n != self.segment]
        for number in gone:
            self.disk.remove(name_of(number))
            del self.segments[number]
        return len(gone)

    def sparse(self, part: float = 0.25) -> list[Record]:
        """A checkpoint: live records of old segments that hold little else, to be added once more so that the segments
        can go. Numbers stay, so what is read later is the same."""
        found: list[Record] = []
        for number, segment in self.segments.items():
            if number == self.segment or not segment.live:
                continue
            live = [self.writes.get(n) or self.barriers[n] for n in segment.live]
            size = sum(len(r.data) + 200 if isinstance(r, Write) else 50 for r in live)
            if size < part * segment.size:
                found += live
        return sorted(found, key=lambda r: r.number)  # type: ignore[union-attr]

    def size(self) -> int:
        return sum(s.size for s in self.segments.values())


def fence(disk: Disk, by: str) -> None:
    """From now on the head that this journal belonged to may not write by it."""
    disk.replace(FENCE, by.encode())
