"""Linearizable reads by the ReadIndex protocol (thesis, 6.4), in batches.

In each round, the leader confirms its leadership with a majority and thereby serves all reads that arrived before the
round started. A later read must not share the round: a follower that has acknowledged it may follow another leader by
now, and the read would miss that leader's commits. Reads that arrive during a round therefore wait for the next one. At
most one round is in progress at a time, so a read waits for at most two rounds.
"""

from __future__ import annotations

from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.replication import Replicator
from pebblehinge.raft.state import ServerState

MAX_PENDING_READS = 4096  # 36 bytes each in this module; the requester's state for each is larger


class ReadIndex:
    """The pending reads of a leader. Each AppendEntries carries `ServerState.read_round`, the number of the round.

    Attributes:
        waiting_contexts: The contexts of the reads that wait for the next round.
        round_contexts: The contexts of the reads in the current round; empty if no round is in progress.
        round_commit_index: The commit index when the current round started.
        acknowledged_by: The members that have acknowledged the current round, in order.
    """

    def __init__(self, state: ServerState, replicator: Replicator) -> None:
        self.state = state
        self.replicator = replicator
        self.waiting_contexts: list[int] = []
        self.round_contexts: list[int] = []
        self.round_commit_index = 0
        self.acknowledged_by: dict[str, None] = {}

    def add(self, context: int) -> bool:
        """Adds a read, and starts a round if none is in progress; returns False if too many reads are pending."""
        if len(self.round_contexts) + len(self.waiting_contexts) >= MAX_PENDING_READS:
            return False
        self.waiting_contexts.append(context)
        self.begin_round()
        return True

    def begin_round(self) -> None:
        """Begins a round for the waiting reads, unless one is in progress or the term has no committed entry yet."""
        state = self.state
        if self.round_contexts or not self.waiting_contexts or state.commit_index < state.term_start_index:
            return
        state.read_round += 1
        self.round_contexts = self.waiting_contexts
        self.waiting_contexts = []
        self.round_commit_index = state.commit_index
        self.acknowledged_by = {state.name: None}
        self.replicator.broadcast_heartbeat()
        self._try_finish_round()

    def on_response(self, source: str, read_round: int) -> None:
        """Counts a member's response to an AppendEntries of this term; one of an earlier round is ignored."""
        if self.round_contexts and read_round >= self.state.read_round and source in self.state.membership.voters:
            self.acknowledged_by[source] = None
            self._try_finish_round()

    def abort(self) -> None:
        """Fails all pending reads, since leadership was lost or has just begun."""
        for context in (*self.round_contexts, *self.waiting_contexts):
            self.state.pending.read_states.append(ReadState(context, None))
        self.round_contexts = []
        self.waiting_contexts = []
        self.acknowledged_by = {}

    def _try_finish_round(self) -> None:
        """Completes the reads of the round once a majority has acknowledged it, and starts the next round."""
        membership = self.state.membership
        acknowledgements = sum(name in membership.voters for name in self.acknowledged_by)
        if not self.round_contexts or acknowledgements < membership.quorum():
            return
        for context in self.round_contexts:
            self.state.pending.read_states.append(ReadState(context, self.round_commit_index))
        self.round_contexts = []
        self.begin_round()
