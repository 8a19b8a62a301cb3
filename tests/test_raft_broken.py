"""Tests that the model checker, randomized runs and script shrinking detect deliberately broken Raft members."""

from __future__ import annotations

import random

import pytest
from raft_cluster import elect
from raft_member import Member
from raft_scripts import generate_script, run_script, run_seed, shrink_script

from pebblehinge.raft import Entry, HardState, Membership, Raft, Role, initial_snapshot
from pebblehinge.raft.election import Election
from pebblehinge.raft.errors import LogError, SafetyViolationError
from pebblehinge.raft.leader import Leader
from pebblehinge.raft.messages import AppendEntriesResponse, RequestVote
from pebblehinge.raft.model import Bounds, explore
from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.storage import Storage
from pebblehinge.store.errors import StorageError


def test_exploration_of_a_small_group_finds_no_violation() -> None:
    bounds = Bounds(terms=1, proposals=1, crashes=1, heartbeats=0, max_in_transit=4, max_states=6000)
    result = explore(bounds)
    assert result.states > 1000 and result.transitions > result.states and (result.complete or result.states == 6000)


@pytest.mark.parametrize("defect", ["two votes", "quorum of one"])
def test_exploration_detects_a_broken_core(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    on_request_vote = Election.on_request_vote

    def vote_repeatedly(self: Election, request: RequestVote) -> None:
        self.state.voted_for = None
        on_request_vote(self, request)

    if defect == "two votes":
        monkeypatch.setattr(Election, "on_request_vote", vote_repeatedly)
    else:
        monkeypatch.setattr(Membership, "quorum", lambda self: 1)
    with pytest.raises(SafetyViolationError, match="two leaders in term 1"):
        explore(Bounds(terms=1, proposals=0, crashes=0, heartbeats=0, max_in_transit=5, max_states=30_000))


class StorageWithoutHardState(Storage):
    """Does not store the term and the vote."""

    def store(self, hard_state, truncate_from, entries, snapshot) -> None:
        super().store(None, truncate_from, entries, snapshot)


class LeaderCommittingOldTerms(Leader):
    """Commits entries that a majority holds, also those of earlier terms."""

    def _advance_commit_index(self) -> None:
        state = self.state
        original_term_at = state.log.term_at
        state.log.term_at = lambda index: state.current_term if index > state.commit_index else original_term_at(index)
        try:
            super()._advance_commit_index()
        finally:
            del state.log.term_at


class RaftWithLocalReads(Raft):
    """Serves reads at its own commit index, without a round that confirms its leadership."""

    def read_index(self, context: int) -> bool:
        if self.role is Role.LEADER:
            self.state.pending.read_states.append(ReadState(context, self.commit_index))
        return self.role is Role.LEADER


@pytest.mark.parametrize("defect", ["vote not stored", "local reads"])
def test_randomized_runs_detect_a_broken_member(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if defect == "vote not stored":
        monkeypatch.setattr("raft_member.Storage", StorageWithoutHardState)
    else:
        monkeypatch.setattr("raft_member.Raft", RaftWithLocalReads)
    with pytest.raises((AssertionError, LogError, StorageError)):
        for seed in range(480, 880):
            run_seed(seed)


def test_leader_that_counts_replicas_of_old_terms_commits_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pebblehinge.raft.core.Leader", LeaderCommittingOldTerms)
    snapshot = initial_snapshot(["a", "b", "c"])
    raft = Raft("a", snapshot, [Entry(1, 1, 1, b"old")], HardState(1, "a"), random.Random(1))
    elect(raft)
    raft.mark_persisted(1)
    raft.step(AppendEntriesResponse("b", "a", raft.current_term, success=True, index=1))
    # A correct leader commits nothing here: test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas.
    assert raft.commit_index == 1


class MemberWithoutDeduplication(Member):
    """Forgets the outcomes of sessions, so that it executes a retried proposal again."""

    def apply_data(self, entry: Entry) -> None:
        self.sessions.pop(entry.session, None)
        super().apply_data(entry)


def test_failing_script_shrinks_to_a_short_one_that_reproduces_the_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without deduplication, a retried `set` that was already applied is refused, which no linearization explains."""
    seed = 43
    script = generate_script(seed)
    run_script(script, seed)  # passes with a correct member
    monkeypatch.setattr("raft_cluster.Member", MemberWithoutDeduplication)

    def fails(candidate: list[str]) -> bool:
        try:
            run_script(candidate, seed)
        except AssertionError as error:
            return "not linearizable" in str(error)
        return False

    assert fails(script)
    shrunk_script = shrink_script(script, fails)
    assert fails(shrunk_script) and len(shrunk_script) < len(script) / 3
    monkeypatch.undo()
    run_script(shrunk_script, seed)
