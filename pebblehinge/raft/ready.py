"""What a `Raft` core asks its driver to do."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.raft.entries import Entry, HardState, Snapshot
from pebblehinge.raft.messages import Message


@dataclass(frozen=True, slots=True)
class ReadState:
    """The outcome of a read: once `index` is applied it is linearizable. None: leadership was lost, so no outcome."""

    context: int
    index: int | None

    def is_reached(self, last_applied: int) -> bool:
        """Whether the read may be served from a state machine that has applied that far."""
        return self.index is not None and self.index <= last_applied


@dataclass(slots=True)
class Ready:
    """What is to be done now, in the order of the fields."""

    messages: list[Message] = field(default_factory=list)  # to be sent at any time: they promise nothing
    hard_state: HardState | None = None  # to be persisted
    snapshot: Snapshot | None = None  # to be persisted in place of all before it
    truncate_from: int | None = None  # entries from this index on are to be dropped from disk
    entries: list[Entry] = field(default_factory=list)  # to be persisted
    messages_after_persist: list[Message] = field(default_factory=list)  # to be sent once all above is on disk
    snapshot_to_restore: Snapshot | None = None  # the state machine starts anew from it, before the entries below
    committed_entries: list[Entry] = field(default_factory=list)  # to be applied, each once, in order
    read_states: list[ReadState] = field(default_factory=list)

    @property
    def must_persist(self) -> bool:
        """Whether there is anything to store."""
        return bool(self.hard_state or self.snapshot or self.truncate_from or self.entries)

    def __bool__(self) -> bool:
        """Whether there is anything to do."""
        return bool(
            self.must_persist
            or self.messages
            or self.messages_after_persist
            or self.committed_entries
            or self.snapshot_to_restore
            or self.read_states
        )
