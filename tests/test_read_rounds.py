"""Tests of read index rounds: a round serves all reads that arrived before it began, and none that arrived later."""

from __future__ import annotations

import random

import pytest
from raft_cluster import MEMBER_NAMES, Cluster, elect
from raft_scripts import generate_script, run_script

from pebblehinge.raft import HardState, Raft, Role, initial_snapshot
from pebblehinge.raft.messages import AppendEntries, AppendEntriesResponse
from pebblehinge.raft.read_index import MAX_PENDING_READS
from pebblehinge.raft.ready import ReadState


class RaftWithSharedRounds(Raft):
    """Deliberately unsafe: serves a read that arrives during a round by that round."""

    def read_index(self, context: int) -> bool:
        if self.role is Role.LEADER and self.leader.reads.round_contexts:
            self.leader.reads.round_contexts.append(context)
            return True
        return super().read_index(context)


def make_leader(raft_class: type[Raft] = Raft) -> Raft:
    """Returns a leader of five members whose term has committed its no-op, and that has no pending work."""
    raft = raft_class("a", initial_snapshot(MEMBER_NAMES), [], HardState(), random.Random(1))
    elect(raft)
    raft.mark_persisted(raft.log.last_index)
    for name in "bc":
        respond(raft, name, 0)
    assert raft.commit_index == raft.term_start_index
    raft.ready()
    return raft


def respond(raft: Raft, name: str, read_round: int) -> None:
    """Delivers a successful response of a member to an append of a round."""
    response = AppendEntriesResponse(
        name, "a", raft.current_term, success=True, index=raft.log.last_index, read_round=read_round
    )
    raft.step(response)


def served_contexts(raft: Raft) -> list[int]:
    """Returns the contexts of the reads that may be served now."""
    return [read.context for read in raft.ready().read_states if read.index is not None]


def reads_served_by_delayed_response(raft_class: type[Raft]) -> list[int]:
    """Returns the contexts of the reads that a response to round 1 completes if it arrives after read 2.

    After member c sent the response, it voted for another leader, which may have committed an entry with d and e.
    """
    raft = make_leader(raft_class)
    assert raft.read_index(1)
    respond(raft, "b", raft.state.read_round)
    assert served_contexts(raft) == []
    assert raft.read_index(2)
    respond(raft, "c", 1)
    return served_contexts(raft)


def test_read_is_served_only_by_a_round_that_began_after_it_arrived() -> None:
    assert reads_served_by_delayed_response(Raft) == [1]
    # Unsafe: read 2 may miss a commit of the other leader.
    assert reads_served_by_delayed_response(RaftWithSharedRounds) == [1, 2]


def test_a_thousand_reads_take_two_rounds() -> None:
    """Guards against one round per read, which takes 4,000 messages: a heartbeat to each other member per read."""
    raft = make_leader()
    for context in range(1000):
        assert raft.read_index(context)
    heartbeats = raft.ready().messages
    assert len(heartbeats) == 4 and {m.read_round for m in heartbeats} == {raft.state.read_round}
    for name in "bc":
        respond(raft, name, raft.state.read_round)
    ready = raft.ready()
    assert [read.context for read in ready.read_states] == [0] and len(ready.messages) == 4
    for name in "de":
        respond(raft, name, raft.state.read_round)
    ready = raft.ready()
    assert [read.context for read in ready.read_states] == list(range(1, 1000)) and ready.messages == []


def test_responses_to_earlier_rounds_or_from_non_voters_do_not_count() -> None:
    raft = make_leader()
    raft.read_index(1)
    earlier_round = raft.state.read_round
    for name in "bc":
        respond(raft, name, earlier_round)
    assert served_contexts(raft) == [1]
    raft.read_index(2)
    for name in "bcde":
        respond(raft, name, earlier_round)
    respond(raft, "x", raft.state.read_round)
    assert served_contexts(raft) == []
    respond(raft, "b", raft.state.read_round)
    respond(raft, "b", raft.state.read_round)  # the same voter twice
    assert served_contexts(raft) == []
    respond(raft, "e", raft.state.read_round)
    assert served_contexts(raft) == [2]


def test_round_is_repeated_by_the_next_heartbeat_if_its_messages_are_lost() -> None:
    raft = make_leader()
    raft.read_index(1)
    raft.ready()  # these messages are lost
    for _ in range(raft.state.heartbeat_interval):
        raft.tick()
    heartbeats = [m for m in raft.ready().messages if isinstance(m, AppendEntries)]
    assert {m.read_round for m in heartbeats} == {raft.state.read_round} and len(heartbeats) == 4


def test_reads_wait_for_the_first_commit_of_the_term_and_fail_with_the_loss_of_leadership() -> None:
    raft = Raft("a", initial_snapshot(MEMBER_NAMES), [], HardState(), random.Random(1))
    elect(raft)
    raft.ready()
    assert raft.read_index(1) and raft.read_index(2)
    assert raft.ready().messages == []
    raft.mark_persisted(raft.log.last_index)
    for name in "bc":
        respond(raft, name, 0)
    assert raft.leader.reads.round_contexts == [1, 2]
    raft.read_index(3)
    raft.step(AppendEntries("b", "a", raft.current_term + 1, raft.log.last_index, raft.log.last_term))
    failed_reads = sorted(raft.ready().read_states, key=lambda read: read.context)
    assert failed_reads == [ReadState(1, None), ReadState(2, None), ReadState(3, None)]
    assert not raft.read_index(4)


def test_pending_reads_are_bounded() -> None:
    raft = make_leader()
    assert sum(raft.read_index(context) for context in range(MAX_PENDING_READS + 10)) == MAX_PENDING_READS


# ---- randomized runs, with an operation at every tick


def generate_dense_script(seed: int) -> list[str]:
    """Returns the script of a seed with a read or a set by a random client before every tick."""
    rng, script = random.Random(f"{seed}/dense"), []
    for line in generate_script(seed):
        verb, *words = line.split()
        if verb != "run":
            script.append(line)
            continue
        for _ in range(int(words[0])):
            script += [
                f"{rng.choice(['read', 'read', 'read', 'set'])} {rng.randrange(4)} {rng.choice(MEMBER_NAMES)}",
                "run 1",
            ]
    return script


@pytest.mark.parametrize("block", range(4))
def test_dense_reads_are_linearizable_under_loss_partitions_and_crashes(block: int) -> None:
    for seed in range(10 * block, 10 * block + 10):
        run_script(generate_dense_script(seed), seed)


def test_randomized_runs_detect_a_read_served_by_a_round_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("raft_member.Raft", RaftWithSharedRounds)
    with pytest.raises(AssertionError, match="below the required index"):
        for seed in range(10):
            run_script(generate_dense_script(seed), seed)


def test_leader_serves_200_reads_in_two_rounds() -> None:
    cluster = Cluster(MEMBER_NAMES, 5)
    leader = cluster.run_until(cluster.leader)
    cluster.run_until(cluster.has_converged)
    previous_round = leader.raft.state.read_round
    for context in range(200):
        assert leader.raft.read_index(context)
    leader.process_ready()
    cluster.run_until(lambda: len(leader.read_states) == 200)
    assert leader.raft.state.read_round - previous_round == 2 and all(
        read.index is not None for read in leader.read_states
    )
