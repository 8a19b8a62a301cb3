"""Elections: votes, and pre-votes, so that a member that was cut off unseats no leader (paper, 5.2; thesis, 9.6)."""

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
    """Owns the votes of a campaign; hands over to `Leader` when it is won."""

    def __init__(self, state: ServerState, leader: Leader) -> None:
        """No campaign is under way."""
        self.state = state
        self.leader = leader
        self.votes: dict[str, bool] = {}  # voter -> whether it granted its vote or pre-vote

    def start_pre_vote(self) -> None:
        """The election timeout has passed: asks whether an election could be won, in a term that nobody enters yet."""
        state = self.state
        self._become(Role.PRE_CANDIDATE)
        self._vote_for_itself()
        if self._is_won():
            self.start_election()
            return
        for name in self._other_voters():
            state.send(PreVote(state.name, name, state.current_term + 1, state.log.last_index, state.log.last_term))

    def start_election(self, leadership_transfer: bool = False) -> None:
        """Enters a new term as a candidate; `leadership_transfer` if the leader asked for it."""
        state = self.state
        self._become(Role.CANDIDATE)
        state.set_hard_state(state.current_term + 1, state.name)
        self._vote_for_itself()
        if self._is_won():
            self.leader.assume_leadership()
            return
        for name in self._other_voters():
            request = RequestVote(
                state.name, name, state.current_term, state.log.last_index, state.log.last_term, leadership_transfer
            )
            # A vote for itself is a promise too: it must be on disk before it is counted anywhere.
            state.send_after_persist(request)

    # ---- messages

    def on_pre_vote(self, request: PreVote) -> None:
        """Answers whether a vote would be granted: not while a leader is heard, unless that leader asked for it."""
        state = self.state
        undisturbed = state.has_live_leader and not request.leadership_transfer
        granted = self._is_up_to_date(request) and request.term > state.current_term and not undisturbed
        term = request.term if granted else state.current_term
        state.send(PreVoteResponse(state.name, request.source, term, granted))

    def on_request_vote(self, request: RequestVote) -> None:
        """Grants one vote a term, to a log that is no older than its own (paper, 5.4.1)."""
        state = self.state
        unbound = state.voted_for in (None, request.source) and state.role is not Role.LEADER
        granted = self._is_up_to_date(request) and unbound
        if granted:
            state.set_hard_state(state.current_term, request.source)
            state.ticks_elapsed = 0
        state.send_after_persist(RequestVoteResponse(state.name, request.source, state.current_term, granted))

    def on_pre_vote_response(self, response: PreVoteResponse) -> None:
        """Counts a pre-vote; a majority of them begins the election."""
        if self.state.role is not Role.PRE_CANDIDATE:
            return
        self.votes[response.source] = response.granted
        if self._is_won():
            self.start_election()
        elif self._is_lost():
            self.state.role = Role.FOLLOWER

    def on_request_vote_response(self, response: RequestVoteResponse) -> None:
        """Counts a vote; a majority of them makes the leader."""
        if self.state.role is not Role.CANDIDATE:
            return
        self.votes[response.source] = response.granted
        if self._is_won():
            self.leader.assume_leadership()
        elif self._is_lost():
            self.state.role = Role.FOLLOWER

    def on_timeout_now(self, _request: TimeoutNow) -> None:
        """The leader hands over: no pre-vote, and no wait."""
        if self.state.is_voter:
            self.start_election(leadership_transfer=True)

    # ---- helpers

    def _become(self, role: Role) -> None:
        self.state.role = role
        self.state.leader_id = None
        self.state.reset_election_timer()

    def _vote_for_itself(self) -> None:
        self.votes = {self.state.name: True}

    def _other_voters(self) -> list[str]:
        return [name for name in self.state.membership.voters if name != self.state.name]

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self.state.log
        return (request.last_log_term, request.last_log_index) >= (log.last_term, log.last_index)

    def _is_won(self) -> bool:
        return self._count(granted=True) >= self.state.membership.quorum()

    def _is_lost(self) -> bool:
        return self._count(granted=False) >= self.state.membership.quorum()

    def _count(self, granted: bool) -> int:
        """Votes of current voters, for or against."""
        voters = self.state.membership.voters
        return sum(name in voters and vote is granted for name, vote in self.votes.items())
