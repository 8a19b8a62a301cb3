"""The state of one member that all of its parts share (paper, figure 2).

`Raft` owns it and hands it to its parts: `Election` changes `role` and the hard state, `Leader` and `Follower` the
log and `commit_index`. What only one part needs (votes, progress of followers, rounds of reads, a snapshot that is
being received) is that part's own.
"""

from __future__ import annotations

import random
from enum import Enum

from pebblehinge.raft.entries import Entry, HardState, Snapshot
from pebblehinge.raft.log import Log
from pebblehinge.raft.messages import Message
from pebblehinge.raft.ready import Ready


class Role(Enum):
    """The part that a member plays; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ServerState:
    """Persistent and volatile state, timers, and what the driver is to do. Times are in ticks."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        entries: list[Entry],
        hard_state: HardState,
        rng: random.Random,
        election_timeout: int,
        heartbeat_interval: int,
    ) -> None:
        """A follower as it starts: what it has persisted, and randomness for its election timeouts."""
        self.name = name
        self.rng = rng
        self.election_timeout = election_timeout  # the shortest; a member's own is up to twice that
        self.heartbeat_interval = heartbeat_interval

        # Persistent: on disk before anything that follows from it is promised.
        self.current_term = hard_state.current_term
        self.voted_for = hard_state.voted_for
        self.log = Log(snapshot, entries)
        self.persisted_index = self.log.last_index

        # Volatile.
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index
        self.delivered_index = snapshot.index  # the last committed entry that `take_ready` has handed out
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        logged = self.log.newest_membership()
        self.membership = logged.membership
        self.membership_index = logged.index

        # Of a leader.
        self.term_start_index = 0  # of the no-op that began its term
        self.read_round = 0  # number of its newest round of reads; counts on over terms

        # Timers.
        self.ticks_elapsed = 0  # since the election timer was reset; a leader counts heartbeats by it
        self.randomized_timeout = self._draw_timeout()
        self.ticks_since_leader = 0  # since this member last heard from its leader

        self.pending = Ready()

    @property
    def hard_state(self) -> HardState:
        """Term and vote, as they are to be persisted."""
        return HardState(self.current_term, self.voted_for)

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in its newest membership."""
        return self.name in self.membership.voters

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader was heard from within the shortest election timeout; a leader itself has one."""
        if self.role is Role.LEADER:
            return True
        return self.leader_id is not None and self.ticks_since_leader < self.election_timeout

    def set_hard_state(self, term: int, voted_for: str | None) -> None:
        """Changes term and vote, to be persisted if they differ."""
        if (term, voted_for) != (self.current_term, self.voted_for):
            self.current_term = term
            self.voted_for = voted_for
            self.pending.hard_state = self.hard_state

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Follows, in a term that is new or the current one. A leader goes through `Leader.step_down`."""
        if term > self.current_term:
            self.set_hard_state(term, None)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Starts the election timer anew, with a new randomized timeout."""
        self.ticks_elapsed = 0
        self.randomized_timeout = self._draw_timeout()

    def refresh_membership(self) -> None:
        """Takes the newest membership of the log: it counts as soon as it is appended."""
        logged = self.log.newest_membership()
        self.membership = logged.membership
        self.membership_index = logged.index

    def send(self, message: Message) -> None:
        """Sends a message that promises nothing."""
        self.pending.messages.append(message)

    def send_after_persist(self, message: Message) -> None:
        """Sends a message once all that is to be persisted by now is on disk."""
        self.pending.messages_after_persist.append(message)

    def take_ready(self) -> Ready:
        """What is to be done since the last call."""
        if self.commit_index > self.delivered_index:
            self.pending.committed_entries += self.log.slice(self.delivered_index + 1, self.commit_index)
            self.delivered_index = self.commit_index
        ready = self.pending
        self.pending = Ready()
        return ready

    def _draw_timeout(self) -> int:
        return self.rng.randint(self.election_timeout, 2 * self.election_timeout - 1)
