"""What every instance holds, whichever part it plays: its log, term, vote, members, and what is to be done."""

from __future__ import annotations

import random

from pebblehinge.raft.log import Entry, Log, Snapshot
from pebblehinge.raft.messages import Message, Progress, Ready, Role


class Common:
    """State of one instance, and the calls that are the same for leaders and followers."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        entries: list[Entry],
        term: int,
        vote: str | None,
        rng: random.Random,
        election: int = 10,
        heartbeat: int = 2,
    ) -> None:
        self.name, self.rng = name, rng
        self.election, self.heartbeat = election, heartbeat
        self.log = Log(snapshot, entries)
        self.term, self.vote = term, vote
        self.commit = self.applied_to = snapshot.index
        self.handed = snapshot.index  # committed entries handed out by `ready`
        self.stored_to = self.log.last
        self.members, self.members_at = self.log.members()
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.votes: dict[str, bool] = {}
        self.progress: dict[str, Progress] = {}
        self.elapsed = 0
        self.timeout = self._draw()
        self.heard = 0  # ticks since this follower heard of its leader
        self.transferee: str | None = None
        self.transfer_ticks = 0
        self.waiting_reads: list[int] = []  # contexts that wait for a round to begin
        self.round_reads: list[int] = []  # served by the round that is out; none is out where empty
        self.round = self.round_index = 0  # the newest round, and the index that its reads are served at
        self.round_heard: dict[str, None] = {}  # who has answered it
        self.partial: tuple[int, int, bytearray] | None = None  # a snapshot that comes in pieces: index, term, bytes
        self.term_start = 0  # index of the leader's own no-op
        self.out = Ready()

    def applied(self, index: int) -> None:
        self.applied_to = max(self.applied_to, index)

    def snapshot_taken(self, data: bytes, index: int) -> Snapshot | None:
        """The state machine's state at an applied index: the log before it may go. To be stored by the caller."""
        term = self.log.term(index)
        if index <= self.log.at or index > self.applied_to or term is None:
            return None
        snapshot = Snapshot(term, index, self.log.members(index)[0], data)
        self.log.compact(snapshot)
        return snapshot

    def ready(self) -> Ready:
        """What is to be done since the last call."""
        if self.commit > self.handed:
            self.out.committed += self.log.between(self.handed + 1, self.commit)
            self.handed = self.commit
        out, self.out = self.out, Ready()
        return out

    def _draw(self) -> int:
        return self.rng.randint(self.election, 2 * self.election - 1)

    def _has_leader(self) -> bool:
        """Whether a leader was heard of lately; a leader itself has one."""
        return self.role is Role.LEADER or (self.leader is not None and self.heard < self.election)

    def _set_term(self, term: int, vote: str | None) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.out.hard_state = (term, vote)

    def _take_members(self) -> None:
        self.members, self.members_at = self.log.members()
        if self.role is Role.LEADER:
            for name in self.members.all():
                if name != self.name and name not in self.progress:
                    self.progress[name] = Progress(self.log.last + 1)
            for name in [n for n in self.progress if n not in self.members.all()]:
                del self.progress[name]

    def _send(self, message: Message) -> None:
        self.out.messages.append(message)
