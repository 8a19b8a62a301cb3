"""Linearizable reads by ReadIndex, batched: one round of the majority serves all reads that came before it began.

A read may only be served by a round that began after the read came: a follower that has answered an earlier round
may follow another leader by now, and what that one has committed would be missed (thesis, 6.4). So reads that come
while a round is under way wait for the next one; at most one is under way at a time, and a read waits for two at
most.
"""

from __future__ import annotations

from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.replication import Replicator
from pebblehinge.raft.state import ServerState

MAX_PENDING_READS = 4096  # reads that wait for their round: 36 bytes each here, whoever asked keeps more


class ReadIndex:
    """Owns the reads of a leader. `ServerState.read_round` numbers its rounds; each AppendEntries carries it."""

    def __init__(self, state: ServerState, replicator: Replicator) -> None:
        """Nothing waits yet."""
        self.state = state
        self.replicator = replicator
        self.waiting_contexts: list[int] = []  # contexts of reads that wait for a round to begin
        self.round_contexts: list[int] = []  # of those that the round under way serves; empty if none is
        self.round_commit_index = 0  # the commit index when that round began
        self.acknowledged_by: dict[str, None] = {}  # who has answered it, in order

    def add(self, context: int) -> bool:
        """Takes a read of the leader, and begins a round if none is under way. False if too many wait."""
        if len(self.round_contexts) + len(self.waiting_contexts) >= MAX_PENDING_READS:
            return False
        self.waiting_contexts.append(context)
        self.begin_round()
        return True

    def begin_round(self) -> None:
        """Begins a round for all reads that wait, unless one is under way or the term has committed nothing yet."""
        state = self.state
        if self.round_contexts or not self.waiting_contexts or state.commit_index < state.term_start_index:
            return
        state.read_round += 1
        self.round_contexts = self.waiting_contexts
        self.waiting_contexts = []
        self.round_commit_index = state.commit_index
        self.acknowledged_by = {state.name: None}
        self.replicator.broadcast_heartbeat()
        self._finish_round()

    def on_response(self, source: str, read_round: int) -> None:
        """A member has answered an AppendEntries of this term that carried the number of a round, maybe an old one."""
        if self.round_contexts and read_round >= self.state.read_round and source in self.state.membership.voters:
            self.acknowledged_by[source] = None
            self._finish_round()

    def abort(self) -> None:
        """Leadership is lost, or new: no read is served by a round of before."""
        for context in (*self.round_contexts, *self.waiting_contexts):
            self.state.pending.read_states.append(ReadState(context, None))
        self.round_contexts = []
        self.waiting_contexts = []
        self.acknowledged_by = {}

    def _finish_round(self) -> None:
        """Serves the reads of the round once a majority has answered it, and begins the next."""
        membership = self.state.membership
        answers = sum(name in membership.voters for name in self.acknowledged_by)
        if not self.round_contexts or answers < membership.quorum():
            return
        for context in self.round_contexts:
            self.state.pending.read_states.append(ReadState(context, self.round_commit_index))
        self.round_contexts = []
        self.begin_round()
