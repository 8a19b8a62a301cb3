"""Linearizable reads by read index: no disk, and no trust in clocks (thesis 6.4)."""

from __future__ import annotations

from pebblehinge.raft.common import Common
from pebblehinge.raft.messages import MOST_READS, Role


class Reads(Common):
    """Reads that wait for a round of the majority."""

    def read(self, context: int) -> bool:
        """Asks for an index at which a read is linearizable; it comes in `Ready.reads`. False: not the leader."""
        if self.role is not Role.LEADER or len(self.reads) + len(self.waiting_reads) >= MOST_READS:
            return False
        if self.commit < self.term_start:
            self.waiting_reads.append(context)
            return True
        self.round += 1
        self.read_of_round[self.round] = context
        self.reads.append((self.round, self.commit, {self.name: None}))
        self._heartbeat()
        self._count_reads()
        return True

    def _note_read(self, source: str, context: int) -> None:
        if source in self.members.voters:
            for round_, _, who in self.reads:
                if context >= round_:
                    who[source] = None
            self._count_reads()

    def _count_reads(self) -> None:
        while self.reads and len([n for n in self.reads[0][2] if n in self.members.voters]) >= self.members.quorum():
            round_, index, _ = self.reads.pop(0)
            self.out.reads.append((self.read_of_round.pop(round_), index))
