"""Raft cores broken on purpose: exploration, the drawn runs and the shrinking of scripts must find each."""

from __future__ import annotations

import random

import pytest
from raft_instance import Instance
from raft_scripts import draw, play, rough, shrink
from raft_world import elect

from pebblehinge.raft import Entry, Membership, Message, Raft, Role
from pebblehinge.raft.log import LogError
from pebblehinge.raft.model import Bounds, Broken, explore
from pebblehinge.raft.storage import Storage, StorageError, first_members


def test_every_order_of_events_of_a_small_group_is_sound() -> None:
    states, tried, whole = explore(Bounds(terms=1, proposals=1, crashes=1, beats=0, way=4, states=6000))
    assert states > 1000 and tried > states and (whole or states == 6000)


@pytest.mark.parametrize("how", ["two votes", "a quorum of one"])
def test_exploration_finds_a_core_that_is_broken_on_purpose(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real_vote = Raft._on_vote

    def two_votes(self: Raft, m: Message) -> None:
        self.vote = None
        real_vote(self, m)

    if how == "two votes":
        monkeypatch.setattr(Raft, "_on_vote", two_votes)
    else:
        monkeypatch.setattr(Membership, "quorum", lambda self: 1)
    with pytest.raises(Broken, match="two leaders in term 1"):
        explore(Bounds(terms=1, proposals=0, crashes=0, beats=0, way=5, states=30_000))


class Forgets(Storage):
    """A vote that is given and not stored."""

    def store(self, hard_state, cut, entries, snapshot) -> None:
        super().store(None, cut, entries, snapshot)


class OldTerms(Raft):
    """Commits by counting whatever the term."""

    def _advance(self) -> None:
        real, self.log.term = self.log.term, lambda index: self.term if index > self.commit else real(index)
        try:
            super()._advance()
        finally:
            del self.log.term


class OwnReads(Raft):
    """Answers a read with what it believes, without a round of the majority."""

    def read(self, context: int) -> bool:
        if self.role is Role.LEADER:
            self.out.reads.append((context, self.commit))
        return self.role is Role.LEADER


@pytest.mark.parametrize("how", ["vote not stored", "own reads"])
def test_a_broken_instance_is_caught_by_the_runs(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "vote not stored":
        monkeypatch.setattr("raft_instance.Storage", Forgets)
    else:
        monkeypatch.setattr("raft_instance.Raft", OwnReads)
    with pytest.raises((AssertionError, LogError, StorageError)):
        for seed in range(480, 880):
            rough(seed)


def test_a_commit_by_an_old_term_is_caught() -> None:
    raft = OldTerms("a", first_members(["a", "b", "c"]), [Entry(1, 1, 1, b"old")], 1, "a", random.Random(1))
    elect(raft)
    raft.stored(1)
    raft.step(Message("append-answer", "b", "a", raft.term, 1, ok=True))
    assert raft.commit == 1  # what test_an_entry_of_an_old_term_is_not_committed_by_counting forbids


class TwiceApplied(Instance):
    """Keeps nothing of what a session was told: one that asks again is taken for a new one."""

    def take(self, entry: Entry) -> None:
        self.sessions.pop(entry.session, None)
        super().take(entry)


def test_a_find_shrinks_to_a_short_script_that_replays_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proposal that was asked for twice is applied once, or clients see it refused after it landed."""
    seed = 43
    whole = draw(seed)
    play(whole, seed)  # sound as it is
    monkeypatch.setattr("raft_world.Instance", TwiceApplied)

    def fails(script: list[str]) -> bool:
        try:
            play(script, seed)
        except AssertionError as error:
            return "no order" in str(error)
        return False

    assert fails(whole)
    short = shrink(whole, fails)
    assert fails(short) and len(short) < len(whole) / 3
    monkeypatch.undo()
    play(short, seed)
