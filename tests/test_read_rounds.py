"""Read index in rounds: one round serves all reads that came before it began, and none that came later."""

from __future__ import annotations

import random

import pytest
from raft_cluster import FIVE, World, elect
from raft_scripts import draw_script, play_script

from pebblehinge.raft import HardState, Raft, Role, initial_snapshot
from pebblehinge.raft.messages import AppendEntries, AppendEntriesResponse
from pebblehinge.raft.read_index import MAX_PENDING_READS
from pebblehinge.raft.ready import ReadState


class JoinsTheRound(Raft):
    """SafetyViolationError on purpose: a read that comes while a round is out is served by it."""

    def read_index(self, context: int) -> bool:
        if self.role is Role.LEADER and self.leader.reads.round_contexts:
            self.leader.reads.round_contexts.append(context)
            return True
        return super().read_index(context)


def leading(kind: type[Raft] = Raft) -> Raft:
    """A leader of five whose term has committed its first entry; nothing is left to be done."""
    raft = kind("a", initial_snapshot(FIVE), [], HardState(), random.Random(1))
    elect(raft)
    raft.mark_persisted(raft.log.last_index)
    for name in "bc":
        answer(raft, name, 0)
    assert raft.commit_index == raft.term_start_index
    raft.ready()
    return raft


def answer(raft: Raft, name: str, round_: int) -> None:
    response = AppendEntriesResponse(
        name, "a", raft.current_term, success=True, index=raft.log.last_index, read_round=round_
    )
    raft.step(response)


def served(raft: Raft) -> list[int]:
    return [read.context for read in raft.ready().read_states if read.index is not None]


def served_late(kind: type[Raft]) -> list[int]:
    """c has answered round 1, then voted for another leader that committed something with d and e; its answer is
    still on its way. Read 2 comes now. What is served once c's answer has come."""
    raft = leading(kind)
    assert raft.read_index(1)
    answer(raft, "b", raft.state.read_round)
    assert served(raft) == []
    assert raft.read_index(2)
    answer(raft, "c", 1)
    return served(raft)


def test_a_read_is_served_only_by_a_round_that_began_after_it_came() -> None:
    assert served_late(Raft) == [1]
    assert served_late(JoinsTheRound) == [1, 2]  # what must not be: read 2 misses what the other leader committed


def test_a_thousand_reads_take_two_rounds() -> None:
    """Each had a round of its own before, with a heartbeat to every instance: 4,000 messages."""
    raft = leading()
    for context in range(1000):
        assert raft.read_index(context)
    first = raft.ready().messages
    assert len(first) == 4 and {m.read_round for m in first} == {raft.state.read_round}
    for name in "bc":
        answer(raft, name, raft.state.read_round)
    ready = raft.ready()
    assert [read.context for read in ready.read_states] == [0] and len(ready.messages) == 4
    for name in "de":
        answer(raft, name, raft.state.read_round)
    ready = raft.ready()
    assert [read.context for read in ready.read_states] == list(range(1, 1000)) and ready.messages == []


def test_answers_to_older_rounds_and_of_learners_count_for_nothing() -> None:
    raft = leading()
    raft.read_index(1)
    old = raft.state.read_round
    for name in "bc":
        answer(raft, name, old)
    assert served(raft) == [1]
    raft.read_index(2)
    for name in "bcde":
        answer(raft, name, old)
    answer(raft, "x", raft.state.read_round)
    assert served(raft) == []
    answer(raft, "b", raft.state.read_round)
    answer(raft, "b", raft.state.read_round)  # the same voter twice
    assert served(raft) == []
    answer(raft, "e", raft.state.read_round)
    assert served(raft) == [2]


def test_a_round_whose_messages_are_lost_is_asked_again_with_the_next_heartbeat() -> None:
    raft = leading()
    raft.read_index(1)
    raft.ready()  # lost
    for _ in range(raft.state.heartbeat_interval):
        raft.tick()
    again = [m for m in raft.ready().messages if isinstance(m, AppendEntries)]
    assert {m.read_round for m in again} == {raft.state.read_round} and len(again) == 4


def test_reads_wait_for_the_terms_first_commit_and_are_lost_with_the_lead() -> None:
    raft = Raft("a", initial_snapshot(FIVE), [], HardState(), random.Random(1))
    elect(raft)
    raft.ready()
    assert raft.read_index(1) and raft.read_index(2)
    assert raft.ready().messages == []
    raft.mark_persisted(raft.log.last_index)
    for name in "bc":
        answer(raft, name, 0)
    assert raft.leader.reads.round_contexts == [1, 2]
    raft.read_index(3)
    raft.step(AppendEntries("b", "a", raft.current_term + 1, raft.log.last_index, raft.log.last_term))
    lost = sorted(raft.ready().read_states, key=lambda read: read.context)
    assert lost == [ReadState(1, None), ReadState(2, None), ReadState(3, None)]
    assert not raft.read_index(4)


def test_what_waits_is_bounded() -> None:
    raft = leading()
    assert sum(raft.read_index(context) for context in range(MAX_PENDING_READS + 10)) == MAX_PENDING_READS


# ---- drawn runs, with a read at every tick


def dense(seed: int) -> list[str]:
    """The troubles of `draw`, with all clients reading or setting all the time."""
    rng, script = random.Random(f"{seed}/dense"), []
    for line in draw_script(seed):
        verb, *words = line.split()
        if verb != "run":
            script.append(line)
            continue
        for _ in range(int(words[0])):
            script += [f"{rng.choice(['read', 'read', 'read', 'set'])} {rng.randrange(4)} {rng.choice(FIVE)}", "run 1"]
    return script


@pytest.mark.parametrize("block", range(4))
def test_dense_reads_have_an_order_under_loss_partitions_and_crashes(block: int) -> None:
    for seed in range(10 * block, 10 * block + 10):
        play_script(dense(seed), seed)


def test_runs_notice_a_read_that_joins_the_round_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("raft_member.Raft", JoinsTheRound)
    with pytest.raises(AssertionError, match="what had reached"):
        for seed in range(10):
            play_script(dense(seed), seed)


def test_one_leader_serves_reads_of_every_client_in_few_rounds() -> None:
    world = World(FIVE, 5)
    leader = world.until(world.leader)
    world.until(world.settled)
    before = leader.raft.state.read_round
    for context in range(200):
        assert leader.raft.read_index(context)
    leader.process_ready()
    world.until(lambda: len(leader.reads) == 200)
    assert leader.raft.state.read_round - before == 2 and all(read.index is not None for read in leader.reads)
