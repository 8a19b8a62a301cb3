"""Raft cores broken on purpose: exploration, the drawn runs and the shrinking of scripts must find each."""

from __future__ import annotations

import random

import pytest
from raft_cluster import elect
from raft_member import Instance
from raft_scripts import draw_script, play_script, play_seed, shrink_script

from pebblehinge.raft import Entry, HardState, Membership, Raft, Role, initial_snapshot
from pebblehinge.raft.election import Election
from pebblehinge.raft.errors import LogError, SafetyViolationError
from pebblehinge.raft.leader import Leader
from pebblehinge.raft.messages import AppendEntriesResponse, RequestVote
from pebblehinge.raft.model import Bounds, explore
from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.storage import Storage
from pebblehinge.store.errors import StorageError


def test_every_order_of_events_of_a_small_group_is_sound() -> None:
    bounds = Bounds(terms=1, proposals=1, crashes=1, heartbeats=0, max_in_transit=4, max_states=6000)
    found = explore(bounds)
    assert found.states > 1000 and found.transitions > found.states and (found.complete or found.states == 6000)


@pytest.mark.parametrize("how", ["two votes", "a quorum of one"])
def test_exploration_finds_a_core_that_is_broken_on_purpose(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real_vote = Election.on_request_vote

    def two_votes(self: Election, request: RequestVote) -> None:
        self.state.voted_for = None
        real_vote(self, request)

    if how == "two votes":
        monkeypatch.setattr(Election, "on_request_vote", two_votes)
    else:
        monkeypatch.setattr(Membership, "quorum", lambda self: 1)
    with pytest.raises(SafetyViolationError, match="two leaders in term 1"):
        explore(Bounds(terms=1, proposals=0, crashes=0, heartbeats=0, max_in_transit=5, max_states=30_000))


class Forgets(Storage):
    """A vote that is given and not stored."""

    def store(self, hard_state, truncate_from, entries, snapshot) -> None:
        super().store(None, truncate_from, entries, snapshot)


class OldTerms(Leader):
    """Commits by counting whatever the term."""

    def _advance_commit_index(self) -> None:
        state = self.state
        real = state.log.term_at
        state.log.term_at = lambda index: state.current_term if index > state.commit_index else real(index)
        try:
            super()._advance_commit_index()
        finally:
            del state.log.term_at


class OwnReads(Raft):
    """Answers a read with what it believes, without a round of the majority."""

    def read_index(self, context: int) -> bool:
        if self.role is Role.LEADER:
            self.state.pending.read_states.append(ReadState(context, self.commit_index))
        return self.role is Role.LEADER


@pytest.mark.parametrize("how", ["vote not stored", "own reads"])
def test_a_broken_instance_is_caught_by_the_runs(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "vote not stored":
        monkeypatch.setattr("raft_member.Storage", Forgets)
    else:
        monkeypatch.setattr("raft_member.Raft", OwnReads)
    with pytest.raises((AssertionError, LogError, StorageError)):
        for seed in range(480, 880):
            play_seed(seed)


def test_a_commit_by_an_old_term_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pebblehinge.raft.core.Leader", OldTerms)
    start = initial_snapshot(["a", "b", "c"])
    raft = Raft("a", start, [Entry(1, 1, 1, b"old")], HardState(1, "a"), random.Random(1))
    elect(raft)
    raft.mark_persisted(1)
    raft.step(AppendEntriesResponse("b", "a", raft.current_term, success=True, index=1))
    assert raft.commit_index == 1  # what test_an_entry_of_an_old_term_is_not_committed_by_counting forbids


class TwiceApplied(Instance):
    """Keeps nothing of what a session was told: one that asks again is taken for a new one."""

    def apply_data(self, entry: Entry) -> None:
        self.sessions.pop(entry.session, None)
        super().apply_data(entry)


def test_a_find_shrinks_to_a_short_script_that_replays_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proposal that was asked for twice is applied once, or clients see it refused after it landed."""
    seed = 43
    whole = draw_script(seed)
    play_script(whole, seed)  # sound as it is
    monkeypatch.setattr("raft_cluster.Instance", TwiceApplied)

    def fails(script: list[str]) -> bool:
        try:
            play_script(script, seed)
        except AssertionError as error:
            return "no order" in str(error)
        return False

    assert fails(whole)
    short = shrink_script(whole, fails)
    assert fails(short) and len(short) < len(whole) / 3
    monkeypatch.undo()
    play_script(short, seed)
