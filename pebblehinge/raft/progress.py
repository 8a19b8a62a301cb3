"""What a leader knows of one other member."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.raft.entries import Snapshot

MAX_INFLIGHT_APPENDS = 16  # messages with entries to one follower that are not answered yet


@dataclass(slots=True)
class Progress:
    """How far a follower's log is known to match, and what is under way to it."""

    next_index: int
    match_index: int = 0
    inflight_appends: int = 0  # messages with entries that are not answered yet
    is_probing: bool = True  # one message at a time, until it is known where the logs match
    recently_active: bool = True  # heard from since the last check of the quorum
    ticks_since_response: int = 0
    snapshot: Snapshot | None = None  # being sent
    snapshot_offset: int = 0  # of the piece that is being sent

    @property
    def is_window_full(self) -> bool:
        """Whether no more entries may be sent before an answer."""
        return self.inflight_appends >= (1 if self.is_probing else MAX_INFLIGHT_APPENDS)

    def note_response(self) -> None:
        """The follower was heard from."""
        self.recently_active = True
        self.ticks_since_response = 0

    def replicate_from_match(self) -> None:
        """The logs are known to match at `match_index`: entries after it go in a pipeline."""
        self.is_probing = False
        self.inflight_appends = 0
        self.next_index = self.match_index + 1

    def probe_from(self, next_index: int) -> None:
        """It is not known where the logs match: one message at a time, from an index on."""
        self.is_probing = True
        self.inflight_appends = 0
        self.next_index = next_index

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """What the follower lacks is compacted away: a snapshot goes instead."""
        self.snapshot = snapshot
        self.snapshot_offset = 0

    def finish_snapshot(self, snapshot: Snapshot) -> None:
        """The follower has installed a snapshot."""
        self.snapshot = None
        self.match_index = max(self.match_index, snapshot.index)
        self.replicate_from_match()
