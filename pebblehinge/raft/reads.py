"""Linearizable reads by read index, batched: one round of the majority serves all reads that came before it began.

A read may only be served by a round that began after the read came: a follower that has answered an earlier round may
follow another leader by now, and what that one has committed would be missed (thesis 6.4). So reads that come while a
round is out wait for the next one; at most one is out at a time, and a read waits for two at most.
"""

from __future__ import annotations

from pebblehinge.raft.common import Common
from pebblehinge.raft.messages import MOST_READS, Role


class Reads(Common):
    """`round` counts a leader's rounds; each append names it, and its answer names it back."""

    def read(self, context: int) -> bool:
        """Asks for an index at which a read is linearizable; it comes in `Ready.reads`. False: not the leader, or too
        much waits."""
        if self.role is not Role.LEADER or len(self.round_reads) + len(self.waiting_reads) >= MOST_READS:
            return False
        self.waiting_reads.append(context)
        self._begin_round()
        return True

    def _begin_round(self) -> None:
        """For all reads that have come by now; not before this term has committed anything."""
        if self.round_reads or not self.waiting_reads or self.commit < self.term_start:
            return
        self.round += 1
        self.round_reads, self.waiting_reads = self.waiting_reads, []
        self.round_index, self.round_heard = self.commit, {self.name: None}
        self._heartbeat()
        self._count_reads()

    def _note_read(self, source: str, context: int) -> None:
        """An answer from this term: to the round that is out, or to an older one."""
        if self.round_reads and context >= self.round and source in self.members.voters:
            self.round_heard[source] = None
            self._count_reads()

    def _count_reads(self) -> None:
        heard = sum(name in self.members.voters for name in self.round_heard)
        if self.round_reads and heard >= self.members.quorum():
            self.out.reads += [(context, self.round_index) for context in self.round_reads]
            self.round_reads = []
            self._begin_round()

    def _lose_reads(self) -> None:
        """This instance leads no more, or anew: nobody is answered by a round of before."""
        self.out.reads += [(context, -1) for context in (*self.round_reads, *self.waiting_reads)]
        self.round_reads, self.waiting_reads, self.round_heard = [], [], {}
