"""One member's in-memory copy of the replicated log: the latest snapshot and the entries after it.

Indexes start at 1 and never restart; `snapshot_index` is 0 until the first snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pebblehinge.raft.entries import Entry, EntryKind, Membership, Snapshot
from pebblehinge.raft.errors import LogError

ENTRY_OVERHEAD_BYTES = 32  # counted by `Log.slice` for each entry in addition to its data
UNLIMITED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class LoggedMembership:
    """A membership, and the index of the entry or snapshot that contains it."""

    membership: Membership
    index: int


class Log:
    """A snapshot, and the entries after it without gaps."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Raises LogError if the entries do not follow the snapshot without gaps."""
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.entries = list(entries)
        for expected, entry in enumerate(self.entries, snapshot.index + 1):
            if entry.index != expected:
                raise LogError(f"entry {entry.index} found where entry {expected} should be")

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry, or of the snapshot if there are no entries."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the last entry, or of the snapshot if there are no entries."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index, None if it is compacted or beyond the end of the log."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def slice(self, low: int, high: int, max_bytes: int = UNLIMITED_BYTES) -> list[Entry]:
        """Returns the entries from `low` to `high` inclusive, of at most `max_bytes` but at least one if any exists."""
        selected: list[Entry] = []
        size = 0
        for index in range(max(low, self.snapshot_index + 1), min(high, self.last_index) + 1):
            entry = self.entries[index - self.snapshot_index - 1]
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entry: Entry) -> None:
        """Appends the next entry. Raises LogError if its index does not follow the last one."""
        if entry.index != self.last_index + 1:
            raise LogError(f"entry {entry.index} can't follow entry {self.last_index}")
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all entries after it."""
        del self.entries[max(0, index - self.snapshot_index - 1) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Removes the entries that a snapshot covers, or all entries if the log does not match the snapshot."""
        remaining = [entry for entry in self.entries if entry.index > snapshot.index]
        if self.term_at(snapshot.index) != snapshot.term:
            remaining = []
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.entries = remaining

    def first_index_of_term_run(self, term: int, index: int) -> int:
        """Returns the first index of the run of entries of `term` that ends at `index`, for use as a conflict index."""
        while index > self.snapshot_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int) -> int | None:
        """Returns the last index of a term, None if the log has no entry of it."""
        for entry in reversed(self.entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return self.snapshot.index if self.snapshot.term == term else None

    def newest_membership(self, up_to: int | None = None) -> LoggedMembership:
        """Returns the latest membership in the log up to an index, committed or not (thesis, 4.1)."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.MEMBERSHIP and (up_to is None or entry.index <= up_to):
                return LoggedMembership(msgspec.msgpack.decode(entry.data, type=Membership), entry.index)
        return LoggedMembership(self.snapshot.membership, self.snapshot.index)
