"""A gateway's journal: which writes are confirmed, which of them are done, and in which segments they are.

`records` has the records, `segment` their format on disk. Nothing here reads a clock or waits; `committer` appends and
syncs each `Batch`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import JournalFencedError
from pebblehinge.store.records import Barrier, Completion, Record, Write
from pebblehinge.store.segment import (
    decode_header,
    encode_batch,
    encode_header,
    read_segment,
    segment_name,
    segment_names,
    segment_number,
)

SEGMENT_BYTES = 8 << 20  # a new segment begins beyond this
SPARSE_LIVE_FRACTION = 0.25  # of a segment: with less in live records these are written again
WRITE_OVERHEAD_BYTES = 200  # estimate of what a write takes beside its data
BARRIER_BYTES = 50  # likewise of a barrier
FENCE_FILE = "fence"


@dataclass(slots=True)
class Batch:
    """Bytes to append to a file and to sync, before any of the records counts.

    Attributes:
        file_name: Name of the segment's file.
        data: The bytes.
        creates_file: Whether this makes the file, so that the folder has to be synced, too.
        records: The records in the bytes.
    """

    file_name: str
    data: bytes
    creates_file: bool
    records: list[Record]


@dataclass(slots=True)
class Segment:
    """One file: its bytes so far, and the numbers of its live writes and barriers."""

    size: int = 0
    live: dict[int, None] = field(default_factory=dict)


class Journal:
    """The journal of one folder. `recover` reads it; then `prepare` gives batches, each to be reported `committed`.

    Attributes:
        segments: The segments by number, the oldest first.
        segment_of: The segment of each live record, by the record's number.
        writes: Live writes by number.
        barriers: Live barriers by number.
        last_number: The highest record number that was given out.
        current_segment: Number of the segment that is written to.
        truncated_bytes: Bytes of torn tails that `recover` cut.
    """

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES) -> None:
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.segment_of: dict[int, int] = {}
        self.writes: dict[int, Write] = {}
        self.barriers: dict[int, Barrier] = {}
        self.last_number = 0
        self.current_segment = 0
        self.truncated_bytes = 0

    # ---- reading

    def recover(self) -> None:
        """Reads what the folder holds, and cuts the torn end of the newest segment.

        Raises:
            JournalFencedError: Another process has taken the journal over.
            JournalDamagedError: The journal can't be trusted.
        """
        if self.disk.exists(FENCE_FILE):
            by = self.disk.read(FENCE_FILE).decode("utf-8", "replace")
            raise JournalFencedError(f"this journal was taken over ({by.strip()}): its writes are another's now")
        names = segment_names(self.disk.names())
        done: dict[int, None] = {}
        for name in names:
            self._recover_segment(name, name == names[-1], done)
        for number in done:
            self._remove_record(number)
        self.current_segment += 1  # what was read is not written to again: a tail that was cut stays cut
        self.reclaim()

    def _recover_segment(self, name: str, last: bool, done: dict[int, None]) -> None:
        number = segment_number(name)
        data = self.disk.read(name)
        contents = read_segment(name, data, last)
        if contents.valid_bytes < len(data):
            self.truncated_bytes += len(data) - contents.valid_bytes
            self.disk.truncate(name, contents.valid_bytes)
        self.segments[number] = Segment(contents.valid_bytes)
        if contents.valid_bytes:
            # Numbers are never given out twice: what an earlier run noted as done must not end a write of this one.
            self.last_number = max(self.last_number, decode_header(data).last_number)
        for batch in contents.batches:
            for record in batch:
                self._add_record(record, number, done)
        self.current_segment = number

    def _add_record(self, record: Record, segment: int, done: dict[int, None]) -> None:
        """Enters a record of a segment; the numbers of a Done are put into `done`."""
        if isinstance(record, Completion):
            done.update(dict.fromkeys(record.numbers))
            self.last_number = max([self.last_number, *record.numbers])
            return
        self.last_number = max(self.last_number, record.number)
        if record.number in self.segment_of:  # it was relocated to a later segment
            self.segments[self.segment_of[record.number]].live.pop(record.number, None)
        if isinstance(record, Write):
            self.writes[record.number] = record
        else:
            self.barriers[record.number] = record
        self.segment_of[record.number] = segment
        self.segments[segment].live[record.number] = None

    def _remove_record(self, number: int) -> None:
        segment = self.segment_of.pop(number, None)
        if segment is not None:
            self.segments[segment].live.pop(number, None)
            self.writes.pop(number, None)
            self.barriers.pop(number, None)

    # ---- writing

    def next_number(self) -> int:
        """Gives out the number of a new write or barrier."""
        self.last_number += 1
        return self.last_number

    def prepare(self, records: list[Record]) -> Batch:
        """What is to be appended for these records, which count once the batch is reported `committed`."""
        data = encode_batch(records)
        new_file = self.current_segment not in self.segments
        if new_file:
            self.segments[self.current_segment] = Segment()
            data = encode_header(self.current_segment, self.last_number) + data
        self.segments[self.current_segment].size += len(data)
        return Batch(segment_name(self.current_segment), data, new_file, records)

    def mark_committed(self, batch: Batch) -> None:
        """The batch is durable."""
        segment = segment_number(batch.file_name)
        done: dict[int, None] = {}
        for record in batch.records:
            self._add_record(record, segment, done)
        for number in done:
            self._remove_record(number)
        if self.segments[self.current_segment].size >= self.segment_bytes:
            self.current_segment += 1

    # ---- removing segments

    def reclaim(self) -> int:
        """Removes segments without live records; returns how many."""
        self._remove_obsolete_barriers()
        empty = [n for n, s in self.segments.items() if not s.live and n != self.current_segment]
        for number in empty:
            self.disk.remove(segment_name(number))
            del self.segments[number]
        return len(empty)

    def _remove_obsolete_barriers(self) -> None:
        """Removes barriers with no live write of their volume before them."""
        oldest: dict[str, int] = {}
        for number, write in self.writes.items():
            oldest[write.volume] = min(number, oldest.get(write.volume, number))
        for number, barrier in list(self.barriers.items()):
            if oldest.get(barrier.volume, self.last_number + 1) > number:
                self._remove_record(number)

    def records_to_relocate(self, max_live_fraction: float = SPARSE_LIVE_FRACTION) -> list[Write | Barrier]:
        """A checkpoint: the live records of old segments that hold little else, by number.

        They are to be appended once more, under their numbers, so that these segments can be removed.

        Args:
            max_live_fraction: How much of a segment's bytes may be live for it to count as sparse.
        """
        found: list[Write | Barrier] = []
        for number, segment in self.segments.items():
            if number == self.current_segment or not segment.live:
                continue
            live = [self.writes.get(n) or self.barriers[n] for n in segment.live]
            if sum(map(_estimate_record_bytes, live)) < max_live_fraction * segment.size:
                found += live
        return sorted(found, key=lambda record: record.number)

    def size(self) -> int:
        """Bytes of all segments."""
        return sum(segment.size for segment in self.segments.values())


def _estimate_record_bytes(record: Write | Barrier) -> int:
    return len(record.data) + WRITE_OVERHEAD_BYTES if isinstance(record, Write) else BARRIER_BYTES


def fence(disk: Disk, by: str) -> None:
    """Takes a journal over: from now on its gateway may not write to it. `by` says who did it."""
    disk.replace(FENCE_FILE, by.encode())
