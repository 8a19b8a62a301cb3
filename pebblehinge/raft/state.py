"""The state of one member that its components share (paper, figure 2).

`Raft` owns it: `Election` changes `role` and the hard state, `Leader` and `Follower` change the log and `commit_index`.
State that only one component needs (votes, progress of followers, read index rounds, a snapshot that is being received)
is kept in that component.
"""

from __future__ import annotations

import random
from enum import Enum

from pebblehinge.raft.entries import Entry, HardState, Snapshot
from pebblehinge.raft.log import Log
from pebblehinge.raft.messages import Message
from pebblehinge.raft.ready import Ready


class Role(Enum):
    """The role of a member; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ServerState:
    """Persistent and volatile state, timers, and the pending work of the driver. Times are in ticks."""

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
        """Starts a follower from its persisted state; `rng` draws the randomized election timeouts."""
        self.name = name
        self.rng = rng
        self.election_timeout = election_timeout  # the minimum; the randomized timeout is less than twice that
        self.heartbeat_interval = heartbeat_interval

        # Persistent state: on disk before any message that depends on it is sent.
        self.current_term = hard_state.current_term
        self.voted_for = hard_state.voted_for
        self.log = Log(snapshot, entries)
        self.persisted_index = self.log.last_index

        # Volatile state.
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index
        self.delivered_index = snapshot.index  # the last committed entry that `take_ready` has returned
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        newest = self.log.newest_membership()
        self.membership = newest.membership
        self.membership_index = newest.index

        # Leader state.
        self.term_start_index = 0  # index of the no-op at the start of its term
        self.read_round = 0  # number of the latest read index round; not reset between terms

        # Timers.
        self.ticks_elapsed = 0  # since the election timer was reset; on a leader, since the last quorum check
        self.randomized_timeout = self._draw_timeout()
        self.ticks_since_leader = 0  # since the last message from the leader

        self.pending = Ready()

    @property
    def hard_state(self) -> HardState:
        """Returns the term and the vote, as they must be persisted."""
        return HardState(self.current_term, self.voted_for)

    @property
    def is_voter(self) -> bool:
        """Returns whether this member is a voter in its latest membership."""
        return self.name in self.membership.voters

    @property
    def has_live_leader(self) -> bool:
        """Returns whether this member is the leader, or heard from it within the minimum election timeout."""
        if self.role is Role.LEADER:
            return True
        return self.leader_id is not None and self.ticks_since_leader < self.election_timeout

    def set_hard_state(self, term: int, voted_for: str | None) -> None:
        """Sets the term and the vote, which must be persisted if they differ from before."""
        if (term, voted_for) != (self.current_term, self.voted_for):
            self.current_term = term
            self.voted_for = voted_for
            self.pending.hard_state = self.hard_state

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Becomes a follower in the current or a newer term. A leader must use `Leader.step_down` instead."""
        if term > self.current_term:
            self.set_hard_state(term, None)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a new randomized timeout."""
        self.ticks_elapsed = 0
        self.randomized_timeout = self._draw_timeout()

    def refresh_membership(self) -> None:
        """Adopts the latest membership in the log; a membership is effective as soon as it is appended."""
        newest = self.log.newest_membership()
        self.membership = newest.membership
        self.membership_index = newest.index

    def send(self, message: Message) -> None:
        """Queues a message that does not depend on unpersisted state."""
        self.pending.messages.append(message)

    def send_after_persist(self, message: Message) -> None:
        """Queues a message that may be sent only after all pending state is on disk."""
        self.pending.messages_after_persist.append(message)

    def take_ready(self) -> Ready:
        """Returns the work that has become due since the last call."""
        if self.commit_index > self.delivered_index:
            self.pending.committed_entries += self.log.slice(self.delivered_index + 1, self.commit_index)
            self.delivered_index = self.commit_index
        ready = self.pending
        self.pending = Ready()
        return ready

    def _draw_timeout(self) -> int:
        return self.rng.randint(self.election_timeout, 2 * self.election_timeout - 1)
