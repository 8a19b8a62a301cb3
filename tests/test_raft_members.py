"""Membership changes and leadership transfer of the Raft core."""

from __future__ import annotations

import random
import re

import pytest
from raft_cluster import FIVE, World, accepted, elect, with_learner, with_voter
from raft_scripts import draw_script, play_script

from pebblehinge.raft import Entry, HardState, Membership, Raft, initial_snapshot
from pebblehinge.raft.errors import LeadershipTransferError, MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import AppendEntriesResponse


def rejected(raft: Raft, membership: Membership, reason: str) -> None:
    """Proposes a membership that must be rejected for this reason."""
    with pytest.raises(MembershipChangeError, match=f"^{re.escape(reason)}$"):
        raft.change_membership(membership)


def test_members_change_one_at_a_time_and_learn_first() -> None:
    world = World(["a", "b", "c"], 7)
    leader = world.until(world.leader)
    world.until(lambda: leader.raft.commit_index >= leader.raft.term_start_index)
    world.add("d", ["a", "b", "c"])
    now = leader.raft.membership
    rejected(leader.raft, with_voter(now, "d"), "d must be a learner first")
    rejected(leader.raft, Membership(("a", "b", "c", "d", "e")), "more than one voter would change")
    leader.raft.change_membership(with_learner(now, "d"))
    rejected(leader.raft, with_learner(now, "x"), "another membership change is in progress")
    leader.process_ready()
    world.until(lambda: world.instances["d"].raft.membership.learners == ("d",))
    world.until(lambda: accepted(leader.raft, with_voter(leader.raft.membership, "d")))
    leader.process_ready()
    world.until(lambda: world.settled() and world.instances["d"].raft.membership.voters == ("a", "b", "c", "d"))
    for name in [n for n in ("a", "b", "c") if n != leader.name][:1]:
        world.instances[name].crash()
    assert world.propose("with three of four") is not None
    world.until(lambda: world.instances["d"].applied[-1:] == ["with three of four"])
    rest = tuple(n for n in leader.raft.membership.voters if n != leader.name)
    world.until(lambda: accepted(leader.raft, Membership(rest)))  # the leader removes itself
    leader.process_ready()
    world.until(lambda: world.leader() not in (None, leader), 2000)
    assert world.leader().raft.membership.voters == rest


def test_leadership_is_handed_over_at_once() -> None:
    world = World(FIVE, 8)
    leader = world.until(world.leader)
    world.until(world.settled)
    to = next(n for n in FIVE if n != leader.name)
    with pytest.raises(LeadershipTransferError, match="^z is no other voter$"):
        leader.raft.transfer_leadership("z")
    leader.raft.transfer_leadership(to)
    assert leader.raft.propose(b"meanwhile") is None
    leader.process_ready()
    began = world.now
    world.until(lambda: world.leader() is world.instances[to])
    assert world.now - began < 15  # less than an election time-out


def test_members_change_in_the_runs_and_clients_hear() -> None:
    """The runs would prove little of changes if none happened in them."""
    worlds = [play_script(draw_script(seed), seed) for seed in range(40)]
    changes = sum(entry.kind == 2 for w in worlds for entry in w.committed.values())
    heard = sum(op.result is not None for w in worlds for c in w.clients for op in c.history)
    dropped = sum(len(w.removed) for w in worlds)
    assert changes > 20 and dropped > 10 and heard > 250, (changes, dropped, heard)


def test_a_new_leader_changes_no_members_before_its_term_has_committed() -> None:
    """The published flaw of one-at-a-time changes: two leaders that change by one each need not meet."""
    raft = Raft("a", initial_snapshot(["a", "b", "c", "d"]), [Entry(1, 1, 1)], HardState(1, "a"), random.Random(1))
    elect(raft)
    rejected(raft, Membership(("a", "b", "c")), "the leader has not committed an entry of its term yet")
    raft.mark_persisted(2)
    for name in "bc":
        raft.step(AppendEntriesResponse(name, "a", raft.current_term, success=True, index=2))
    raft.change_membership(Membership(("a", "b", "c")))


def test_only_a_leader_changes_members_or_hands_over() -> None:
    raft = Raft("b", initial_snapshot(["a", "b", "c"]), [], HardState(), random.Random(1))
    with pytest.raises(NotLeaderError, match="^not the leader$"):
        raft.change_membership(Membership(("a", "b")))
    with pytest.raises(NotLeaderError, match="^not the leader$"):
        raft.transfer_leadership("c")
    assert not raft.ready()
