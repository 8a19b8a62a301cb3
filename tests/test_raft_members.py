"""Tests of the Raft core's membership changes and leadership transfer."""

from __future__ import annotations

import random
import re

import pytest
from raft_cluster import MEMBER_NAMES, Cluster, elect, try_change_membership, with_learner, with_voter
from raft_scripts import generate_script, run_script

from pebblehinge.raft import Entry, HardState, Membership, Raft, initial_snapshot
from pebblehinge.raft.errors import LeadershipTransferError, MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import AppendEntriesResponse


def assert_change_rejected(raft: Raft, membership: Membership, reason: str) -> None:
    """Proposes a membership, which must be rejected for this reason."""
    with pytest.raises(MembershipChangeError, match=f"^{re.escape(reason)}$"):
        raft.change_membership(membership)


def test_membership_changes_by_one_voter_which_is_a_learner_first() -> None:
    cluster = Cluster(["a", "b", "c"], 7)
    leader = cluster.run_until(cluster.leader)
    cluster.run_until(lambda: leader.raft.commit_index >= leader.raft.term_start_index)
    cluster.add_member("d", ["a", "b", "c"])
    membership = leader.raft.membership
    assert_change_rejected(leader.raft, with_voter(membership, "d"), "d must be a learner first")
    assert_change_rejected(leader.raft, Membership(("a", "b", "c", "d", "e")), "more than one voter would change")
    leader.raft.change_membership(with_learner(membership, "d"))
    assert_change_rejected(leader.raft, with_learner(membership, "x"), "another membership change is in progress")
    leader.process_ready()
    cluster.run_until(lambda: cluster.members["d"].raft.membership.learners == ("d",))
    cluster.run_until(lambda: try_change_membership(leader.raft, with_voter(leader.raft.membership, "d")))
    leader.process_ready()
    cluster.run_until(
        lambda: cluster.has_converged() and cluster.members["d"].raft.membership.voters == ("a", "b", "c", "d")
    )
    for name in [n for n in ("a", "b", "c") if n != leader.name][:1]:
        cluster.members[name].crash()
    assert cluster.propose("with three of four") is not None
    cluster.run_until(lambda: cluster.members["d"].applied_texts[-1:] == ["with three of four"])
    other_voters = tuple(n for n in leader.raft.membership.voters if n != leader.name)
    cluster.run_until(lambda: try_change_membership(leader.raft, Membership(other_voters)))  # the leader removes itself
    leader.process_ready()
    cluster.run_until(lambda: cluster.leader() not in (None, leader), 2000)
    assert cluster.leader().raft.membership.voters == other_voters


def test_leadership_transfer_takes_less_than_an_election_timeout() -> None:
    cluster = Cluster(MEMBER_NAMES, 8)
    leader = cluster.run_until(cluster.leader)
    cluster.run_until(cluster.has_converged)
    transferee = next(n for n in MEMBER_NAMES if n != leader.name)
    with pytest.raises(LeadershipTransferError, match="^z is no other voter$"):
        leader.raft.transfer_leadership("z")
    leader.raft.transfer_leadership(transferee)
    assert leader.raft.propose(b"meanwhile") is None
    leader.process_ready()
    start_tick = cluster.now
    cluster.run_until(lambda: cluster.leader() is cluster.members[transferee])
    assert cluster.now - start_tick < 15  # less than an election timeout


def test_randomized_runs_include_membership_changes_and_client_results() -> None:
    """Guards against scripts that pass only because they change no membership or return no results to clients."""
    clusters = [run_script(generate_script(seed), seed) for seed in range(40)]
    changes = sum(entry.kind == 2 for c in clusters for entry in c.committed_entries.values())
    results = sum(op.result is not None for c in clusters for client in c.clients for op in client.history)
    removals = sum(len(c.removed_members) for c in clusters)
    assert changes > 20 and removals > 10 and results > 250, (changes, removals, results)


def test_new_leader_rejects_membership_changes_before_its_term_has_committed() -> None:
    """Guards against the published flaw of single-server changes: two leaders with majorities that do not overlap."""
    raft = Raft("a", initial_snapshot(["a", "b", "c", "d"]), [Entry(1, 1, 1)], HardState(1, "a"), random.Random(1))
    elect(raft)
    assert_change_rejected(raft, Membership(("a", "b", "c")), "the leader has not committed an entry of its term yet")
    raft.mark_persisted(2)
    for name in "bc":
        raft.step(AppendEntriesResponse(name, "a", raft.current_term, success=True, index=2))
    raft.change_membership(Membership(("a", "b", "c")))


def test_follower_rejects_membership_changes_and_leadership_transfer() -> None:
    raft = Raft("b", initial_snapshot(["a", "b", "c"]), [], HardState(), random.Random(1))
    with pytest.raises(NotLeaderError, match="^not the leader$"):
        raft.change_membership(Membership(("a", "b")))
    with pytest.raises(NotLeaderError, match="^not the leader$"):
        raft.transfer_leadership("c")
    assert not raft.ready()
