"""A gateway's journal: which writes are confirmed, which of them are written back, and which segments hold them.

`records` defines the records, `segment` their format on disk. Nothing here reads a clock or waits; `committer` has
each `Batch` appended and synced.
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

SEGMENT_BYTES = 8 << 20  # a new segment begins once this size is reached
SPARSE_LIVE_FRACTION = 0.25  # a segment with a smaller live share has its live records relocated
WRITE_OVERHEAD_BYTES = 200  # estimated size of a write record without its data
BARRIER_BYTES = 50  # estimated size of a barrier record
FENCE_FILE = "fence"


@dataclass(slots=True)
class Batch:
    """Bytes that must be appended to a file and synced before any of the records counts.

    Attributes:
        file_name: Name of the segment's file.
        data: The bytes.
        creates_file: Whether the append creates the file, so that the folder has to be synced, too.
        records: The records that the bytes encode.
    """

    file_name: str
    data: bytes
    creates_file: bool
    records: list[Record]


@dataclass(slots=True)
class Segment:
    """One segment file.

    Attributes:
        size: Its size so far, in bytes.
        live: Numbers of its live writes and barriers.
    """

    size: int = 0
    live: dict[int, None] = field(default_factory=dict)


class Journal:
    """The journal of one folder.

    `recover` reads it. Then `prepare` encodes batches, and `mark_committed` is called for each once it is durable.

    Attributes:
        segments: The segments by number, the oldest first.
        segment_of: The segment number of each live record, by the record's number.
        writes: Live writes by number.
        barriers: Live barriers by number.
        last_number: The highest record number assigned so far.
        current_segment: Number of the segment that is appended to.
        truncated_bytes: Bytes of torn tails that `recover` cut off.
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

    # ---- recovery

    def recover(self) -> None:
        """Reads the folder's segments and cuts off the torn tail of the newest one.

        Raises:
            JournalFencedError: Another process has taken the journal over.
            JournalDamagedError: The journal is damaged where writes may have been confirmed.
        """
        if self.disk.exists(FENCE_FILE):
            owner = self.disk.read(FENCE_FILE).decode("utf-8", "replace")
            raise JournalFencedError(
                f"this journal was taken over ({owner.strip()}): another process applies its writes now"
            )
        names = segment_names(self.disk.names())
        completed_numbers: dict[int, None] = {}
        for name in names:
            self._recover_segment(name, name == names[-1], completed_numbers)
        for number in completed_numbers:
            self._remove_record(number)
        self.current_segment += 1  # never append to a recovered segment: its truncated tail must stay truncated
        self.reclaim()

    def _recover_segment(self, name: str, is_newest: bool, completed_numbers: dict[int, None]) -> None:
        number = segment_number(name)
        data = self.disk.read(name)
        contents = read_segment(name, data, is_newest)
        if contents.valid_bytes < len(data):
            self.truncated_bytes += len(data) - contents.valid_bytes
            self.disk.truncate(name, contents.valid_bytes)
        self.segments[number] = Segment(contents.valid_bytes)
        if contents.valid_bytes:
            # Numbers are never reused: a completion of an earlier incarnation must not complete a write of this one.
            self.last_number = max(self.last_number, decode_header(data).last_number)
        for batch in contents.batches:
            for record in batch:
                self._add_record(record, number, completed_numbers)
        self.current_segment = number

    def _add_record(self, record: Record, segment: int, completed_numbers: dict[int, None]) -> None:
        """Makes a record live, or adds the numbers of a completion to `completed_numbers`."""
        if isinstance(record, Completion):
            completed_numbers.update(dict.fromkeys(record.numbers))
            self.last_number = max([self.last_number, *record.numbers])
            return
        self.last_number = max(self.last_number, record.number)
        if record.number in self.segment_of:  # this one is its relocated copy
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

    # ---- appending

    def next_number(self) -> int:
        """Assigns the number of a new write or barrier."""
        self.last_number += 1
        return self.last_number

    def prepare(self, records: list[Record]) -> Batch:
        """Encodes records as a batch; they count once `mark_committed` is called for it."""
        data = encode_batch(records)
        creates_file = self.current_segment not in self.segments
        if creates_file:
            self.segments[self.current_segment] = Segment()
            data = encode_header(self.current_segment, self.last_number) + data
        self.segments[self.current_segment].size += len(data)
        return Batch(segment_name(self.current_segment), data, creates_file, records)

    def mark_committed(self, batch: Batch) -> None:
        """Applies the records of a batch that is now durable; begins a new segment if the current one is full."""
        segment = segment_number(batch.file_name)
        completed_numbers: dict[int, None] = {}
        for record in batch.records:
            self._add_record(record, segment, completed_numbers)
        for number in completed_numbers:
            self._remove_record(number)
        if self.segments[self.current_segment].size >= self.segment_bytes:
            self.current_segment += 1

    # ---- removing segments

    def reclaim(self) -> int:
        """Removes the segments without live records, except the current one, and returns how many were removed."""
        self._remove_obsolete_barriers()
        empty = [n for n, s in self.segments.items() if not s.live and n != self.current_segment]
        for number in empty:
            self.disk.remove(segment_name(number))
            del self.segments[number]
        return len(empty)

    def _remove_obsolete_barriers(self) -> None:
        """Removes barriers that no live write of their volume precedes."""
        oldest: dict[str, int] = {}
        for number, write in self.writes.items():
            oldest[write.volume] = min(number, oldest.get(write.volume, number))
        for number, barrier in list(self.barriers.items()):
            if oldest.get(barrier.volume, self.last_number + 1) > number:
                self._remove_record(number)

    def records_to_relocate(self, max_live_fraction: float = SPARSE_LIVE_FRACTION) -> list[Write | Barrier]:
        """Returns the live records of sparse old segments, ordered by number, for compaction.

        The caller appends them again under the same numbers, so that these segments can be removed.

        Args:
            max_live_fraction: A segment whose live records take a smaller share of its bytes counts as sparse.
        """
        records: list[Write | Barrier] = []
        for number, segment in self.segments.items():
            if number == self.current_segment or not segment.live:
                continue
            live = [self.writes.get(n) or self.barriers[n] for n in segment.live]
            if sum(map(_estimate_record_bytes, live)) < max_live_fraction * segment.size:
                records += live
        return sorted(records, key=lambda record: record.number)

    def size(self) -> int:
        """Returns the size of all segments in bytes."""
        return sum(segment.size for segment in self.segments.values())


def _estimate_record_bytes(record: Write | Barrier) -> int:
    return len(record.data) + WRITE_OVERHEAD_BYTES if isinstance(record, Write) else BARRIER_BYTES


def fence(disk: Disk, owner: str) -> None:
    """Takes a journal over: from now on its gateway must not write to it.

    Args:
        disk: The journal's folder.
        owner: Who takes it over, for the error message that the gateway gets.
    """
    disk.replace(FENCE_FILE, owner.encode())
