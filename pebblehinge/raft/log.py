"""The replicated log in the memory of one member: a snapshot, and the entries after it.

Indexes count from 1 over the group's whole life; `snapshot_index` is 0 until the first snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pebblehinge.raft.entries import Entry, EntryKind, Membership, Snapshot
from pebblehinge.raft.errors import LogError

ENTRY_OVERHEAD_BYTES = 32  # of an entry beside its data, as `Log.slice` counts
UNLIMITED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class LoggedMembership:
    """A membership, and the index of the entry (or snapshot) that states it."""

    membership: Membership
    index: int


class Log:
    """Entries after `snapshot`, without gaps."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Raises LogError if the entries do not follow the snapshot without gaps."""
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.entries = list(entries)
        for expected, entry in enumerate(self.entries, snapshot.index + 1):
            if entry.index != expected:
                raise LogError(f"entry {entry.index} stands where {expected} should")

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index; None if it is compacted away, or not there yet."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def slice(self, low: int, high: int, max_bytes: int = UNLIMITED_BYTES) -> list[Entry]:
        """Entries from `low` to `high`, both included: at most `max_bytes` of them, but always one if there is one."""
        found: list[Entry] = []
        size = 0
        for index in range(max(low, self.snapshot_index + 1), min(high, self.last_index) + 1):
            entry = self.entries[index - self.snapshot_index - 1]
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def append(self, entry: Entry) -> None:
        """Adds the next entry. Raises LogError if its index does not follow the last."""
        if entry.index != self.last_index + 1:
            raise LogError(f"entry {entry.index} is to follow {self.last_index}")
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all after it."""
        del self.entries[max(0, index - self.snapshot_index - 1) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Drops what a snapshot covers; one that this log does not agree with takes the place of the whole log."""
        remaining = [entry for entry in self.entries if entry.index > snapshot.index]
        if self.term_at(snapshot.index) != snapshot.term:
            remaining = []
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.entries = remaining

    def first_index_of_run(self, term: int, index: int) -> int:
        """First index of the run of entries of one term that ends at `index`: what a conflict backs off to."""
        while index > self.snapshot_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int) -> int | None:
        """Last index of a term; None if the log has no entry of it."""
        for entry in reversed(self.entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return self.snapshot.index if self.snapshot.term == term else None

    def newest_membership(self, up_to: int | None = None) -> LoggedMembership:
        """The newest membership in the log up to an index, committed or not (thesis, 4.1)."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.MEMBERSHIP and (up_to is None or entry.index <= up_to):
                return LoggedMembership(msgspec.msgpack.decode(entry.data, type=Membership), entry.index)
        return LoggedMembership(self.snapshot.membership, self.snapshot.index)
