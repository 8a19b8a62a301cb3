"""One member of a Raft group, as a deterministic state machine without I/O, clock or randomness of its own.

`tick`, `step`, the requests (`propose`, `change_membership`, `transfer_leadership`, `read_index`) and the driver's
reports (`mark_persisted`, `mark_applied`, `compact`) change the state; after each of them, `ready` returns what to
persist, send and apply. The driver must write and fsync the data before it calls `mark_persisted` and before it sends
`messages_after_persist`, which depend on that data. It may send the other messages immediately.
"""

from __future__ import annotations

import random

from pebblehinge.raft.election import Election
from pebblehinge.raft.entries import Entry, HardState, Membership, Snapshot
from pebblehinge.raft.follower import Follower
from pebblehinge.raft.leader import Leader
from pebblehinge.raft.log import Log
from pebblehinge.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    VoteRequest,
)
from pebblehinge.raft.ready import Ready
from pebblehinge.raft.state import Role, ServerState

DEFAULT_ELECTION_TIMEOUT_TICKS = 10
DEFAULT_HEARTBEAT_INTERVAL_TICKS = 2


class Raft:
    """One member: its state, and the components that act on it by role."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        entries: list[Entry],
        hard_state: HardState,
        rng: random.Random,
        election_timeout: int = DEFAULT_ELECTION_TIMEOUT_TICKS,
        heartbeat_interval: int = DEFAULT_HEARTBEAT_INTERVAL_TICKS,
    ) -> None:
        """Starts the member as a follower, from its persisted state.

        Args:
            name: The member's name, as in the membership.
            snapshot: The latest persisted snapshot, or `initial_snapshot` of the group.
            entries: The persisted entries after the snapshot; a gap raises LogError.
            hard_state: The persisted term and vote.
            rng: The source of the randomized election timeouts.
            election_timeout: The minimum election timeout in ticks; each timeout is less than twice this.
            heartbeat_interval: The ticks between a leader's heartbeats.
        """
        self.state = ServerState(name, snapshot, entries, hard_state, rng, election_timeout, heartbeat_interval)
        self.leader = Leader(self.state)
        self.election = Election(self.state, self.leader)
        self.follower = Follower(self.state, self.leader)

    # ---- time and messages

    def tick(self) -> None:
        """Advances the member's time by one tick."""
        state = self.state
        state.ticks_elapsed += 1
        state.ticks_since_leader += 1
        if state.role is Role.LEADER:
            self.leader.tick()
        elif state.ticks_elapsed >= state.randomized_timeout and state.is_voter:
            self.election.start_pre_vote()

    def step(self, message: Message) -> None:
        """Handles a message; ignores one that is obsolete or addressed to another member."""
        if message.to != self.state.name:
            return
        if message.term < self.state.current_term:
            self._reject_stale_term(message)
            return
        if message.term > self.state.current_term:
            if self._would_disrupt_leader(message):
                return
            if self._must_adopt_term(message):
                from_leader = isinstance(message, AppendEntries | InstallSnapshot)
                self.leader.step_down(message.term, message.source if from_leader else None)
        self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        match message:
            case AppendEntries():
                self.follower.on_append_entries(message)
            case AppendEntriesResponse():
                self.leader.on_append_entries_response(message)
            case InstallSnapshot():
                self.follower.on_install_snapshot(message)
            case InstallSnapshotResponse():
                self.leader.on_install_snapshot_response(message)
            case PreVote():
                self.election.on_pre_vote(message)
            case PreVoteResponse():
                self.election.on_pre_vote_response(message)
            case RequestVote():
                self.election.on_request_vote(message)
            case RequestVoteResponse():
                self.election.on_request_vote_response(message)
            case TimeoutNow():
                self.election.on_timeout_now(message)

    def _would_disrupt_leader(self, message: Message) -> bool:
        """Returns whether a vote request, e.g. of a partitioned member, would unseat a live leader (thesis, 4.2.3)."""
        return isinstance(message, VoteRequest) and not message.leadership_transfer and self.state.has_live_leader

    @staticmethod
    def _must_adopt_term(message: Message) -> bool:
        """Returns whether the sender is in the message's newer term; a pre-vote only proposes its term."""
        if isinstance(message, PreVoteResponse):
            return not message.granted
        return not isinstance(message, PreVote)

    def _reject_stale_term(self, message: Message) -> None:
        """Sends the current term to an outdated leader or pre-candidate, even a removed one, so that it adopts it."""
        state = self.state
        if isinstance(message, AppendEntries | InstallSnapshot):
            state.send(
                AppendEntriesResponse(state.name, message.source, state.current_term, index=state.log.last_index)
            )
        elif isinstance(message, PreVote):
            state.send(PreVoteResponse(state.name, message.source, state.current_term))

    # ---- requests

    def propose(self, data: bytes, session: str = "", serial: int = 0) -> int | None:
        """Appends a command to the log.

        Returns:
            The entry's index, or None if this member is not the leader, is transferring leadership, or has too many
            uncommitted entries. The command is committed only if an entry with this index *and this term* is applied.
        """
        return self.leader.propose(data, session, serial)

    def change_membership(self, membership: Membership) -> None:
        """Proposes a membership that adds or removes at most one voter; a new voter must be a learner first.

        The current term must have committed an entry: otherwise two leaders could each change one voter and use
        majorities that do not overlap (the published correction to single-server changes).

        Raises:
            NotLeaderError: This member is not the leader.
            MembershipChangeError: The leader rejects the change.
        """
        self.leader.change_membership(membership)

    def transfer_leadership(self, transferee: str) -> None:
        """Starts a leadership transfer, which may fail; proposals are rejected meanwhile, for one election timeout.

        Raises:
            NotLeaderError: This member is not the leader.
            LeadershipTransferError: The transferee is not another voter.
        """
        self.leader.transfer_leadership(transferee)

    def read_index(self, context: int) -> bool:
        """Requests a read index, which is returned in `Ready.read_states` with this context.

        Returns whether it was accepted: this member is the leader, and not too many reads are pending.
        """
        return self.leader.read_index(context)

    # ---- the driver's reports

    def ready(self) -> Ready:
        """Returns the work that has become due since the last call."""
        return self.state.take_ready()

    def mark_persisted(self, index: int) -> None:
        """Records that the entries up to an index are on disk."""
        state = self.state
        state.persisted_index = max(state.persisted_index, min(index, state.log.last_index))
        self.leader.on_persisted()

    def mark_applied(self, index: int) -> None:
        """Records that the entries up to an index are applied to the state machine."""
        self.state.last_applied = max(self.state.last_applied, index)

    def compact(self, data: bytes, index: int) -> Snapshot | None:
        """Replaces the log up to an applied index by a snapshot with the state machine's state at that index.

        Returns the snapshot, which the caller must persist, or None if the index is not applied or already compacted.
        """
        log = self.state.log
        term = log.term_at(index)
        if index <= log.snapshot_index or index > self.state.last_applied or term is None:
            return None
        snapshot = Snapshot(term, index, log.newest_membership(up_to=index).membership, data)
        log.compact(snapshot)
        return snapshot

    # ---- accessors

    @property
    def name(self) -> str:
        """Returns this member's name."""
        return self.state.name

    @property
    def role(self) -> Role:
        """Returns the current role."""
        return self.state.role

    @property
    def current_term(self) -> int:
        """Returns the latest term that this member has seen."""
        return self.state.current_term

    @property
    def leader_id(self) -> str | None:
        """Returns the name of the current term's leader, None if unknown."""
        return self.state.leader_id

    @property
    def membership(self) -> Membership:
        """Returns the latest membership in the log, committed or not."""
        return self.state.membership

    @property
    def log(self) -> Log:
        """Returns the log."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """Returns the highest index that is known to be committed."""
        return self.state.commit_index

    @property
    def last_applied(self) -> int:
        """Returns the highest index that is applied to the state machine."""
        return self.state.last_applied

    @property
    def term_start_index(self) -> int:
        """Returns the index of the no-op of its latest term as leader; every earlier commit has a lower index."""
        return self.state.term_start_index
