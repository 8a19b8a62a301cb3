"""Elections (paper, 5.2), with pre-votes so that a partitioned member does not disrupt the leader (thesis, 9.6)."""

from __future__ import annotations

from pebblehinge.raft.leader import Leader
from pebblehinge.raft.messages import (
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    VoteRequest,
)
from pebblehinge.raft.state import Role, ServerState


class Election:
    """Holds the votes of the current election, and makes this member the leader when it wins."""

    def __init__(self, state: ServerState, leader: Leader) -> None:
        self.state = state
        self.leader = leader
        self.votes: dict[str, bool] = {}  # whether the vote or pre-vote is granted, by voter

    def start_pre_vote(self) -> None:
        """Requests pre-votes for the next term, after an election timeout and without entering that term."""
        state = self.state
        self._become(Role.PRE_CANDIDATE)
        self._vote_for_self()
        if self._is_won():
            self.start_election()
            return
        for name in self._other_voters():
            state.send(PreVote(state.name, name, state.current_term + 1, state.log.last_index, state.log.last_term))

    def start_election(self, leadership_transfer: bool = False) -> None:
        """Enters a new term as a candidate; `leadership_transfer` if the leader requested the election."""
        state = self.state
        self._become(Role.CANDIDATE)
        state.set_hard_state(state.current_term + 1, state.name)
        self._vote_for_self()
        if self._is_won():
            self.leader.become_leader()
            return
        for name in self._other_voters():
            request = RequestVote(
                state.name, name, state.current_term, state.log.last_index, state.log.last_term, leadership_transfer
            )
            # The candidate's vote for itself must be on disk before other members can vote for it.
            state.send_after_persist(request)

    # ---- messages

    def on_pre_vote(self, request: PreVote) -> None:
        """Responds whether a vote would be granted: not while the leader is live, unless the leader requested it."""
        state = self.state
        protects_leader = state.has_live_leader and not request.leadership_transfer
        granted = self._is_up_to_date(request) and request.term > state.current_term and not protects_leader
        term = request.term if granted else state.current_term
        state.send(PreVoteResponse(state.name, request.source, term, granted))

    def on_request_vote(self, request: RequestVote) -> None:
        """Grants at most one vote per term, and only if the candidate's log is up to date (paper, 5.4.1)."""
        state = self.state
        can_vote = state.voted_for in (None, request.source) and state.role is not Role.LEADER
        granted = self._is_up_to_date(request) and can_vote
        if granted:
            state.set_hard_state(state.current_term, request.source)
            state.ticks_elapsed = 0
        state.send_after_persist(RequestVoteResponse(state.name, request.source, state.current_term, granted))

    def on_pre_vote_response(self, response: PreVoteResponse) -> None:
        """Counts a pre-vote, and starts the election once a majority has granted it."""
        if self.state.role is not Role.PRE_CANDIDATE:
            return
        self.votes[response.source] = response.granted
        if self._is_won():
            self.start_election()
        elif self._is_lost():
            self.state.role = Role.FOLLOWER

    def on_request_vote_response(self, response: RequestVoteResponse) -> None:
        """Counts a vote, and becomes leader once a majority has granted it."""
        if self.state.role is not Role.CANDIDATE:
            return
        self.votes[response.source] = response.granted
        if self._is_won():
            self.leader.become_leader()
        elif self._is_lost():
            self.state.role = Role.FOLLOWER

    def on_timeout_now(self, _request: TimeoutNow) -> None:
        """Starts the election that the leader requested, immediately and without a pre-vote."""
        if self.state.is_voter:
            self.start_election(leadership_transfer=True)

    # ---- helpers

    def _become(self, role: Role) -> None:
        self.state.role = role
        self.state.leader_id = None
        self.state.reset_election_timer()

    def _vote_for_self(self) -> None:
        self.votes = {self.state.name: True}

    def _other_voters(self) -> list[str]:
        return [name for name in self.state.membership.voters if name != self.state.name]

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self.state.log
        return (request.last_log_term, request.last_log_index) >= (log.last_term, log.last_index)

    def _is_won(self) -> bool:
        return self._count_votes(granted=True) >= self.state.membership.quorum()

    def _is_lost(self) -> bool:
        return self._count_votes(granted=False) >= self.state.membership.quorum()

    def _count_votes(self, granted: bool) -> int:
        """Returns how many current voters granted their vote, or how many refused it."""
        voters = self.state.membership.voters
        return sum(name in voters and vote is granted for name, vote in self.votes.items())
