"""What a replicated log is made of. All structs are stored and sent as msgpack arrays: the order of fields is fixed."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What an entry means; the numbers are stored and sent."""

    NOOP = 0  # appended by each new leader, so that it can commit what was there before it
    DATA = 1  # a command of the state machine
    MEMBERSHIP = 2  # a msgpack-encoded `Membership`


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry.

    `kind` is an `EntryKind`, typed as int so that an entry of a kind unknown here is carried rather than refused.
    `session` and `serial` identify a proposal, so that one that is sent twice is applied once; "" for none.
    """

    term: int
    index: int
    kind: int
    data: bytes = b""
    session: str = ""
    serial: int = 0


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """Who votes, and who only learns. Changed by one member at a time (thesis, 4.1)."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    def all_members(self) -> tuple[str, ...]:
        """Names of voters, then of learners."""
        return self.voters + self.learners

    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's state up to and including `index`, with the term of that entry and the membership there."""

    term: int
    index: int
    membership: Membership
    data: bytes


class HardState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What must be on disk before any promise is made (paper, figure 2: persistent state beside the log)."""

    current_term: int = 0
    voted_for: str | None = None


def initial_snapshot(names: list[str]) -> Snapshot:
    """The empty snapshot at index 0 that a new group with these voters begins from."""
    return Snapshot(0, 0, Membership(tuple(sorted(names))), b"")
