"""The entries of the replicated log, and the other values that members persist.

All structs are stored and sent as msgpack arrays, so the order of their fields is part of the format.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The kind of an entry's data; the values are stored and sent."""

    NOOP = 0  # no data: appended by each new leader, which can commit entries of earlier terms only with one of its own
    DATA = 1  # a command of the state machine
    MEMBERSHIP = 2  # a msgpack-encoded `Membership`


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry.

    Attributes:
        term: The term in which the leader appended the entry.
        index: The entry's position in the log.
        kind: An `EntryKind`, typed as int so that entries of a kind unknown to this version are replicated as well.
        data: The content, by kind.
        session: With `serial`, identifies a proposal so that a retry is applied only once; "" if it needs no
            deduplication.
        serial: The number of the proposal within its session.
    """

    term: int
    index: int
    kind: int
    data: bytes = b""
    session: str = ""
    serial: int = 0


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The voters and learners of a group. Each change adds or removes at most one voter (thesis, 4.1)."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    def all_members(self) -> tuple[str, ...]:
        """Returns the names of the voters, followed by those of the learners."""
        return self.voters + self.learners

    def quorum(self) -> int:
        """Returns the number of voters that form a majority."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's state after the entry at `index`, with that entry's term and the membership at that point."""

    term: int
    index: int
    membership: Membership
    data: bytes


class HardState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The persistent state besides the log (paper, figure 2); on disk before any message that depends on it is sent."""

    current_term: int = 0
    voted_for: str | None = None


def initial_snapshot(names: list[str]) -> Snapshot:
    """Returns the empty snapshot at index 0 from which a new group with these voters starts."""
    return Snapshot(0, 0, Membership(tuple(sorted(names))), b"")
