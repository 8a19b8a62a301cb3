"""The work that a `Raft` core hands to its driver."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.raft.entries import Entry, HardState, Snapshot
from pebblehinge.raft.messages import Message


@dataclass(frozen=True, slots=True)
class ReadState:
    """The result of a read index request.

    Attributes:
        context: The caller's identifier of the read.
        index: The read index: the read is linearizable once this entry is applied. None if leadership was lost or
            changed, so that the read must be retried.
    """

    context: int
    index: int | None

    def is_servable(self, last_applied: int) -> bool:
        """Returns whether a state machine that has applied entries up to `last_applied` may serve the read."""
        return self.index is not None and self.index <= last_applied


@dataclass(slots=True)
class Ready:
    """The work to do now, in the order of the fields."""

    messages: list[Message] = field(default_factory=list)  # sent at any time: they do not depend on persisted state
    hard_state: HardState | None = None  # persisted
    snapshot: Snapshot | None = None  # persisted; replaces the log up to its index
    truncate_from: int | None = None  # stored entries from this index on are removed
    entries: list[Entry] = field(default_factory=list)  # persisted
    messages_after_persist: list[Message] = field(default_factory=list)  # sent only when all of the above is on disk
    snapshot_to_restore: Snapshot | None = None  # replaces the state machine's state before the entries below
    committed_entries: list[Entry] = field(default_factory=list)  # applied in order, each exactly once
    read_states: list[ReadState] = field(default_factory=list)

    @property
    def must_persist(self) -> bool:
        """Returns whether there is anything to persist."""
        return bool(self.hard_state or self.snapshot or self.truncate_from or self.entries)

    def __bool__(self) -> bool:
        """Returns whether there is any work to do."""
        return bool(
            self.must_persist
            or self.messages
            or self.messages_after_persist
            or self.committed_entries
            or self.snapshot_to_restore
            or self.read_states
        )
