"""Read-only inspection of a journal's folder, for the commands that inspect and export a journal."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import JournalDamagedError
from pebblehinge.store.journal import FENCE_FILE
from pebblehinge.store.records import Completion, Record, Write
from pebblehinge.store.segment import batch_size, decode_batch, find_batch, read_segment, segment_names


@dataclass(slots=True)
class Inspection:
    """The readable content of a journal's folder, damaged or not.

    Attributes:
        segments: Number of segment files.
        fenced: Whether another process has taken the journal over.
        bytes: Total size of the segment files.
        damage: One line for each damaged place.
        writes: Writes without a completion record, by number.
        done: How many of the writes found have a completion record.
        barriers: Number of barriers found.
    """

    segments: int
    fenced: bool
    bytes: int = 0
    damage: list[str] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    done: int = 0
    barriers: int = 0


def inspect_journal(disk: Disk) -> Inspection:
    """Reads all readable records of a folder, including those after damaged places."""
    names = segment_names(disk.names())
    inspection = Inspection(len(names), disk.exists(FENCE_FILE))
    writes: dict[int, Write] = {}
    completed_numbers: dict[int, None] = {}
    for name in names:
        data = disk.read(name)
        inspection.bytes += len(data)
        for record in _read_records(name, data, name == names[-1], inspection.damage):
            if isinstance(record, Completion):
                completed_numbers.update(dict.fromkeys(record.numbers))
            elif isinstance(record, Write):
                writes[record.number] = record
            else:
                inspection.barriers += 1
    inspection.writes = [writes[number] for number in sorted(writes) if number not in completed_numbers]
    inspection.done = sum(number in completed_numbers for number in writes)
    return inspection


def _read_records(name: str, data: bytes, is_newest: bool, damage: list[str]) -> list[Record]:
    """Returns the readable records of a segment and appends a line to `damage` for each damaged place."""
    try:
        contents = read_segment(name, data, is_newest)
    except JournalDamagedError as error:
        damage.append(str(error))
        return _valid_records(data)
    if contents.valid_bytes < len(data):
        torn_bytes = len(data) - contents.valid_bytes
        damage.append(f"{name}: {torn_bytes} bytes at its end are a torn tail (never promised)")
    return [record for batch in contents.batches for record in batch]


def _valid_records(data: bytes) -> list[Record]:
    """Returns the records of all valid batches of a damaged segment."""
    records: list[Record] = []
    offset = find_batch(data, 0)
    while offset is not None:
        records += decode_batch(data, offset) or []
        offset = find_batch(data, offset + batch_size(data, offset))
    return records
