"""One member of a Raft group as a state machine without I/O, clock or randomness of its own.

`tick` (time passes), `step` (a message has come), the requests (`propose`, `change_membership`,
`transfer_leadership`, `read_index`) and the reports of the driver (`persisted`, `applied`, `compact`) change the
state; after each, `ready` says what to store, to send and to apply. A driver keeps one order: store, fsync, then
`persisted`; `messages_after_persist` promise something and go out only when all that was to be stored is; other
messages may go at once.
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

DEFAULT_ELECTION_TIMEOUT = 10  # ticks
DEFAULT_HEARTBEAT_INTERVAL = 2  # ticks


class Raft:
    """One member: its state, and the parts that act on it by role."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        entries: list[Entry],
        hard_state: HardState,
        rng: random.Random,
        election_timeout: int = DEFAULT_ELECTION_TIMEOUT,
        heartbeat_interval: int = DEFAULT_HEARTBEAT_INTERVAL,
    ) -> None:
        """A member as it starts from what it has stored.

        Args:
            name: of the member, as the membership names it.
            snapshot: the newest that is stored, or `initial_snapshot` of the group.
            entries: those after it, without gaps; raises LogError otherwise.
            hard_state: term and vote that are stored.
            rng: draws the election timeouts.
            election_timeout: the shortest, in ticks; each is drawn from there to twice that.
            heartbeat_interval: ticks between the heartbeats of a leader.
        """
        self.state = ServerState(name, snapshot, entries, hard_state, rng, election_timeout, heartbeat_interval)
        self.leader = Leader(self.state)
        self.election = Election(self.state, self.leader)
        self.follower = Follower(self.state, self.leader)

    # ---- time and messages

    def tick(self) -> None:
        """One unit of time has passed."""
        state = self.state
        state.ticks_elapsed += 1
        state.ticks_since_leader += 1
        if state.role is Role.LEADER:
            self.leader.tick()
        elif state.ticks_elapsed >= state.randomized_timeout and state.is_voter:
            self.election.start_pre_vote()

    def step(self, message: Message) -> None:
        """A message has come. One that is of no use any more, or not for this member, changes nothing."""
        if message.to != self.state.name:
            return
        if message.term < self.state.current_term:
            self._answer_old_term(message)
            return
        if message.term > self.state.current_term:
            if self._would_disturb_leader(message):
                return
            if self._enters_term(message):
                leads = isinstance(message, AppendEntries | InstallSnapshot)
                self.leader.step_down(message.term, message.source if leads else None)
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

    def _would_disturb_leader(self, message: Message) -> bool:
        """A member that was cut off must not unseat a leader that others hear (thesis, 4.2.3)."""
        return isinstance(message, VoteRequest) and not message.leadership_transfer and self.state.has_live_leader

    @staticmethod
    def _enters_term(message: Message) -> bool:
        """Whether a message's newer term is one that its sender is in; that of a pre-vote is only asked about."""
        if isinstance(message, PreVoteResponse):
            return not message.granted
        return not isinstance(message, PreVote)

    def _answer_old_term(self, message: Message) -> None:
        """Tells a leader or pre-candidate of an old term of the new one; that also frees one that was removed."""
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

        Returns its index, or None if this member does not lead, hands over, or too many entries wait for their commit.
        It is committed only if an entry of the same index *and term* is applied.
        """
        return self.leader.propose(data, session, serial)

    def change_membership(self, membership: Membership) -> None:
        """Proposes another membership: one voter more or less at a time, a new one as a learner first.

        Only after this term has committed an entry, or two leaders could change by one each and not meet (the published
        correction to single-server changes). Raises NotLeaderError or MembershipChangeError.
        """
        self.leader.change_membership(membership)

    def transfer_leadership(self, to: str) -> None:
        """Hands leadership over to another voter, which may still fail. Raises NotLeaderError, LeadershipTransferError.

        Proposals are not taken meanwhile, for an election timeout at most.
        """
        self.leader.transfer_leadership(to)

    def read_index(self, context: int) -> bool:
        """Asks for an index at which a read is linearizable; it comes in `Ready.read_states` with this context.

        False if this member does not lead, or too many reads wait.
        """
        return self.leader.read_index(context)

    # ---- the driver's reports

    def ready(self) -> Ready:
        """What is to be done since the last call."""
        return self.state.take_ready()

    def mark_persisted(self, index: int) -> None:
        """Entries up to an index are on disk."""
        state = self.state
        state.persisted_index = max(state.persisted_index, min(index, state.log.last_index))
        self.leader.on_persisted()

    def mark_applied(self, index: int) -> None:
        """Entries up to an index are applied to the state machine."""
        self.state.last_applied = max(self.state.last_applied, index)

    def compact(self, data: bytes, index: int) -> Snapshot | None:
        """Replaces the log up to an applied index by the state machine's state there.

        Returns the snapshot, for the caller to store; None if that index is not applied, or compacted already.
        """
        log = self.state.log
        term = log.term_at(index)
        if index <= log.snapshot_index or index > self.state.last_applied or term is None:
            return None
        snapshot = Snapshot(term, index, log.newest_membership(up_to=index).membership, data)
        log.compact(snapshot)
        return snapshot

    # ---- what others may read

    @property
    def name(self) -> str:
        """This member's name."""
        return self.state.name

    @property
    def role(self) -> Role:
        """The part that it plays now."""
        return self.state.role

    @property
    def current_term(self) -> int:
        """The newest term that it has seen."""
        return self.state.current_term

    @property
    def leader_id(self) -> str | None:
        """Whom it follows, or itself; None if it knows of no leader."""
        return self.state.leader_id

    @property
    def membership(self) -> Membership:
        """The newest membership in its log, committed or not."""
        return self.state.membership

    @property
    def log(self) -> Log:
        """Its log."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The highest index that it knows to be committed."""
        return self.state.commit_index

    @property
    def last_applied(self) -> int:
        """The highest index that is applied to the state machine."""
        return self.state.last_applied

    @property
    def term_start_index(self) -> int:
        """Index of the no-op that began its newest term as a leader: all that was agreed before comes before it."""
        return self.state.term_start_index
