"""Membership changes and leadership transfer of the Raft core."""

from __future__ import annotations

import random

from raft_scripts import draw, play
from raft_world import FIVE, World, elect, with_learner, with_voter

from pebblehinge.raft import Entry, Membership, Message, Raft
from pebblehinge.raft.storage import first_members


def test_members_change_one_at_a_time_and_learn_first() -> None:
    world = World(["a", "b", "c"], 7)
    leader = world.until(world.leader)
    world.until(lambda: leader.raft.commit >= leader.raft.term_start)
    world.add("d", ["a", "b", "c"])
    now = leader.raft.members
    assert leader.raft.change(with_voter(now, "d")) == "d must learn first"
    assert leader.raft.change(Membership(("a", "b", "c", "d", "e"))) == "more than one voter would change"
    assert leader.raft.change(with_learner(now, "d")) is None
    assert leader.raft.change(with_learner(now, "x")) == "another change is under way"
    leader.work()
    world.until(lambda: world.instances["d"].raft.members.learners == ("d",))
    world.until(lambda: leader.raft.change(with_voter(leader.raft.members, "d")) is None)
    leader.work()
    world.until(lambda: world.settled() and world.instances["d"].raft.members.voters == ("a", "b", "c", "d"))
    for name in [n for n in ("a", "b", "c") if n != leader.name][:1]:
        world.instances[name].crash()
    assert world.propose("with three of four") is not None
    world.until(lambda: world.instances["d"].applied[-1:] == ["with three of four"])
    rest = tuple(n for n in leader.raft.members.voters if n != leader.name)
    world.until(lambda: leader.raft.change(Membership(rest)) is None)  # the leader removes itself
    leader.work()
    world.until(lambda: world.leader() not in (None, leader), 2000)
    assert world.leader().raft.members.voters == rest


def test_leadership_is_handed_over_at_once() -> None:
    world = World(FIVE, 8)
    leader = world.until(world.leader)
    world.until(world.settled)
    to = next(n for n in FIVE if n != leader.name)
    assert leader.raft.transfer("z") == "z is no other voter"
    assert leader.raft.transfer(to) is None
    assert leader.raft.propose(b"meanwhile") is None
    leader.work()
    began = world.now
    world.until(lambda: world.leader() is world.instances[to])
    assert world.now - began < 15  # less than an election time-out


def test_members_change_in_the_runs_and_clients_hear() -> None:
    """The runs would prove little of changes if none happened in them."""
    worlds = [play(draw(seed), seed) for seed in range(40)]
    changes = sum(entry.kind == 2 for w in worlds for entry in w.committed.values())
    heard = sum(op.result is not None for w in worlds for c in w.clients for op in c.history)
    dropped = sum(len(w.gone) for w in worlds)
    assert changes > 20 and dropped > 10 and heard > 250, (changes, dropped, heard)


def test_a_new_leader_changes_no_members_before_its_term_has_committed() -> None:
    """The published flaw of one-at-a-time changes: two leaders that change by one each need not meet."""
    raft = Raft("a", first_members(["a", "b", "c", "d"]), [Entry(1, 1, 1)], 1, "a", random.Random(1))
    elect(raft)
    assert raft.change(Membership(("a", "b", "c"))) == "this term has committed nothing yet"
    raft.stored(2)
    for name in "bc":
        raft.step(Message("append-answer", name, "a", raft.term, 2, ok=True))
    assert raft.change(Membership(("a", "b", "c"))) is None
