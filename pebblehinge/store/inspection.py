"""A look at a journal's folder that changes nothing, for the commands that inspect and export a journal."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import JournalDamagedError
from pebblehinge.store.journal import FENCE_FILE
from pebblehinge.store.records import Completion, Record, Write
from pebblehinge.store.segment import batch_size, decode_batch, find_batch, read_segment, segment_names


@dataclass(slots=True)
class Inspection:
    """What a folder holds, sound or not.

    Attributes:
        segments: Number of segment files.
        bytes: Their size.
        fenced: Whether another process has taken the journal over.
        damage: One line for each damaged place.
        writes: Writes that are not done, by number.
        done: How many of the writes found are done.
        barriers: How many barriers were found.
    """

    segments: int
    fenced: bool
    bytes: int = 0
    damage: list[str] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    done: int = 0
    barriers: int = 0


def inspect_journal(disk: Disk) -> Inspection:
    """Reads all that can be read of a folder, past damage too."""
    names = segment_names(disk.names())
    found = Inspection(len(names), disk.exists(FENCE_FILE))
    writes: dict[int, Write] = {}
    done: dict[int, None] = {}
    for name in names:
        data = disk.read(name)
        found.bytes += len(data)
        for record in _read_records(name, data, name == names[-1], found.damage):
            if isinstance(record, Completion):
                done.update(dict.fromkeys(record.numbers))
            elif isinstance(record, Write):
                writes[record.number] = record
            else:
                found.barriers += 1
    found.writes = [writes[number] for number in sorted(writes) if number not in done]
    found.done = sum(number in done for number in writes)
    return found


def _read_records(name: str, data: bytes, last: bool, damage: list[str]) -> list[Record]:
    """The records of a segment that can be read; what is damaged is added to `damage`."""
    try:
        contents = read_segment(name, data, last)
    except JournalDamagedError as error:
        damage.append(str(error))
        return _valid_records(data)
    if contents.valid_bytes < len(data):
        cut = len(data) - contents.valid_bytes
        damage.append(f"{name}: {cut} bytes at its end are cut off (never promised)")
    return [record for batch in contents.batches for record in batch]


def _valid_records(data: bytes) -> list[Record]:
    """The records of all sound batches, wherever they are."""
    found: list[Record] = []
    at = find_batch(data, 0)
    while at is not None:
        found += decode_batch(data, at) or []
        at = find_batch(data, at + batch_size(data, at))
    return found
