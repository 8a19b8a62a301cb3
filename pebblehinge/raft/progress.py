"""The leader's view of one other member."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.raft.entries import Snapshot

MAX_INFLIGHT_APPENDS = 16  # unacknowledged AppendEntries with entries per follower


@dataclass(slots=True)
class Progress:
    """The replication state of one follower or learner.

    Attributes:
        next_index: The index of the next entry to send.
        match_index: The highest index up to which the member's log is known to match the leader's.
        inflight_appends: The number of unacknowledged AppendEntries with entries.
        is_probing: Whether the match index is unknown, so that only one AppendEntries is sent at a time.
        recently_active: Whether the member responded since the last quorum check.
        ticks_since_response: The ticks since the member's last response.
        snapshot: The snapshot that is being sent, if any.
        snapshot_offset: The position in bytes of the snapshot chunk that is being sent.
    """

    next_index: int
    match_index: int = 0
    inflight_appends: int = 0
    is_probing: bool = True
    recently_active: bool = True
    ticks_since_response: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    @property
    def is_window_full(self) -> bool:
        """Returns whether no more entries may be sent before the next response."""
        return self.inflight_appends >= (1 if self.is_probing else MAX_INFLIGHT_APPENDS)

    def record_response(self) -> None:
        """Records that the follower has responded."""
        self.recently_active = True
        self.ticks_since_response = 0

    def replicate_from_match(self) -> None:
        """Starts pipelined replication after `match_index`, where the logs are known to match."""
        self.is_probing = False
        self.inflight_appends = 0
        self.next_index = self.match_index + 1

    def probe_from(self, next_index: int) -> None:
        """Starts probing for the match index, from `next_index` on, with one message at a time."""
        self.is_probing = True
        self.inflight_appends = 0
        self.next_index = next_index

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Starts sending a snapshot, because the entries that the follower needs are compacted."""
        self.snapshot = snapshot
        self.snapshot_offset = 0

    def finish_snapshot(self, snapshot: Snapshot) -> None:
        """Records that the follower has installed the snapshot, and continues with the entries after it."""
        self.snapshot = None
        self.match_index = max(self.match_index, snapshot.index)
        self.replicate_from_match()
