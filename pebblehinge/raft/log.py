"""A replicated log as one instance holds it: entries after a snapshot, and the membership that they state."""

from __future__ import annotations

import msgspec

NOOP, DATA, MEMBERS = 0, 1, 2  # kinds of entries


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry. `session` and `serial` name a proposal, so that one that is sent twice is applied once."""

    term: int
    index: int
    kind: int
    data: bytes = b""
    session: str = ""
    serial: int = 0


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """Who votes, and who only learns. Changed by one instance at a time (thesis 4.1)."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners

    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine up to and including an index."""

    term: int
    index: int
    members: Membership
    data: bytes


class LogError(Exception):
    """A log that contradicts itself: an instance stops rather than go on with it."""


class Log:
    """Entries after `snapshot.index`, which may be 0."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = list(entries)
        self.at = snapshot.index  # index before the first entry
        for i, entry in enumerate(self.entries):
            if entry.index != self.at + 1 + i:
                raise LogError(f"entry {entry.index} stands where {self.at + 1 + i} should")

    @property
    def last(self) -> int:
        return self.at + len(self.entries)

    def term(self, index: int) -> int | None:
        """The term at an index; None where it is not known any more, or not yet."""
        if index == self.at:
            return self.snapshot.term
        if self.at < index <= self.last:
            return self.entries[index - self.at - 1].term
        return None

    @property
    def last_term(self) -> int:
        return self.term(self.last) or 0

    def between(self, low: int, high: int, most_bytes: int = 1 << 62) -> list[Entry]:
        """Entries from low to high, both included, at least one and at most so many bytes."""
        found, size = [], 0
        for index in range(max(low, self.at + 1), min(high, self.last) + 1):
            entry = self.entries[index - self.at - 1]
            size += len(entry.data) + 32
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    def append(self, entry: Entry) -> None:
        if entry.index != self.last + 1:
            raise LogError(f"entry {entry.index} is to follow {self.last}")
        self.entries.append(entry)

    def cut(self, index: int) -> None:
        """Drops the entry at an index and all after it."""
        del self.entries[max(0, index - self.at - 1) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Forgets what a snapshot holds; a snapshot beyond the log takes its place."""
        keep = [e for e in self.entries if e.index > snapshot.index]
        if self.term(snapshot.index) != snapshot.term:
            keep = []
        self.snapshot, self.at, self.entries = snapshot, snapshot.index, keep

    def first_of_term(self, term: int, below: int) -> int:
        """The first index of a term's run that ends below an index: what a conflict backs off to."""
        index = below
        while index > self.at + 1 and self.term(index - 1) == term:
            index -= 1
        return index

    def last_of_term(self, term: int) -> int:
        """The last index of a term, or 0."""
        for entry in reversed(self.entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return 0
        return self.snapshot.index if self.snapshot.term == term else 0

    def members(self, upto: int | None = None) -> tuple[Membership, int]:
        """The newest membership in the log, committed or not (thesis 4.1), and the index that states it."""
        for entry in reversed(self.entries):
            if entry.kind == MEMBERS and (upto is None or entry.index <= upto):
                return msgspec.msgpack.decode(entry.data, type=Membership), entry.index
        return self.snapshot.members, self.snapshot.index
