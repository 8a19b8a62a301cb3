"""What hurt a head once: odd first answers, shelfs replaced under their names, many heads at once."""

from __future__ import annotations

from dataclasses import replace

import pytest
from scheduler_helpers import SAFE, listed, served, take, went
from test_rule_violations import BASE_CONFIG

from pebblehinge.decide import MAX_CONCURRENCY, Scheduler
from pebblehinge.interface import ListKind, Outcome
from pebblehinge.lab.village import play
from pebblehinge.settings.load import loads
from pebblehinge.store import memory


def test_a_first_answer_of_five_seconds_does_not_make_a_head_refuse_all_shelfs() -> None:
    """Seen: one slow first answer was the mean of all shelfs for 25 s, and with nothing sent nothing corrected it."""
    head = Scheduler(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0), ("B", 1, 0.0))
    first = take(head, 0.0, 0, left=6000.0)
    first.on_attempt_end(5000.0, 0, Outcome.SUCCEEDED, True, 5000.0)
    assert went(take(head, 7000.0, 1))


def test_a_first_answer_among_many_weighs_no_more_than_the_others() -> None:
    head = Scheduler(SAFE, 1, 0.0)
    listed(head, 0.0, *((f"s{i}", i, 0.0) for i in range(20)))
    served(head, 0.0, 0, 5000.0)
    for i in range(1, 20):
        head.nodes.record_latency(i, 5000.0, 50.0)
    assert head.nodes.fleet_mean_latency(5000.0) == pytest.approx((5000.0 / 0.75 + 19 * 50.0) / 20, rel=0.4)


def slow(head: Scheduler, now: float) -> None:
    """B is quick for a while, A took two seconds and lost three attempts."""
    for n in range(40):
        served(head, now + n, 1, 20.0)
    for a in [take(head, now + 50, 0, left=2500.0) for _ in range(3)]:
        assert went(a)
        a.on_attempt_end(now + 2050, 0, Outcome.SUCCEEDED, True, 2000.0)
    head.nodes.consecutive_losses[head.nodes.index["A"]] = 3


@pytest.mark.parametrize("row", [("A", 0, 13_000.0), ("A", 0, 4_000.0), ("A", 0, 0.0), ("A", 7, 8_000.0)])
def test_what_a_former_process_taught_does_not_judge_the_one_that_has_its_name(row: tuple[str, int, float]) -> None:
    """A later start, an earlier one, one that is not stated any more, another slot."""
    head = Scheduler(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    slow(head, 10_000.0)
    assert head.nodes.mean_latency_ms[0] > 800.0
    listed(head, 13_100.0, row)
    s = head.nodes.index["A"]
    assert (head.nodes.mean_latency_ms[s], head.nodes.consecutive_losses[s], head.nodes.unreachable[s]) == (
        0.0,
        0,
        False,
    )
    assert went(take(head, 13_200.0, row[1], volume="x"))


def test_a_list_that_lay_on_its_way_is_no_new_process() -> None:
    """Ages are told, so the start of one process moves by what a list takes: nothing learned may be lost by it."""
    head = Scheduler(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    slow(head, 10_000.0)
    before = head.nodes.mean_latency_ms[head.nodes.index["A"]]
    listed(head, 13_100.0, ("A", 0, 8_003.5), ("B", 1, 0.0), kind=ListKind.WHOLE)
    assert head.nodes.mean_latency_ms[head.nodes.index["A"]] == before > 0


def test_attempts_of_a_former_process_say_nothing_of_the_new_one() -> None:
    head = Scheduler(replace(SAFE, slow_start_duration_ms=10_000.0), 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 0.0))
    attempts = [take(head, 10_000.0, profile="save") for _ in range(MAX_CONCURRENCY)]
    listed(head, 10_500.0, ("A", 0, 10_400.0))
    for a in attempts:
        a.on_attempt_end(10_600.0, 0, Outcome.CONNECTION_LOST, False, 600.0)
    s = head.nodes.index["A"]
    assert (head.nodes.consecutive_losses[s], head.nodes.unreachable[s], head.nodes.slow_start_since_ms[s]) == (
        0,
        False,
        10_400.0,
    )


def test_a_start_that_is_not_stated_any_more_counts_as_cold_from_now() -> None:
    head = Scheduler(replace(SAFE, slow_start_duration_ms=10_000.0), 1, 50_000.0)
    listed(head, 50_000.0, ("A", 0, 20_000.0))
    assert head.nodes.slow_start_since_ms[0] is None
    listed(head, 60_000.0, ("A", 0, 0.0))
    assert head.nodes.slow_start_since_ms[0] == 60_000.0


def test_a_dead_shelf_that_answers_is_cold_from_then_on_however_long_it_was_not_asked() -> None:
    """Seen: cold from the last failed connection on, and so nearly warm, though it may have started just now."""
    head = Scheduler(replace(SAFE, slow_start_duration_ms=10_000.0, slow_start_initial_share=1.0), 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    take(head, 0.0).on_attempt_end(1.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
    a = take(head, 9_000.0)
    assert went(a)
    a.on_attempt_end(9_010.0, 0, Outcome.SUCCEEDED, True, 10.0)
    assert head.nodes.slow_start_since_ms[0] == 9_000.0 and not head.nodes.unreachable[0]


def test_of_many_heads_that_could_not_reach_a_shelf_few_try_it_together() -> None:
    """Each sends one attempt at a time to a dead shelf; a hundred would still push over one just started."""
    tried = 0
    for seed in range(100):
        head = Scheduler(
            replace(
                SAFE, slow_start_duration_ms=10_000.0, slow_start_initial_share=0.02, slow_start_failure_multiple=1.0
            ),
            seed,
            0.0,
        )
        listed(head, 0.0, ("A", 0, 0.0))
        take(head, 0.0).on_attempt_end(1.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
        tried += went(take(head, 300.0))
    assert 0 < tried < 30


def test_memory_of_a_former_process_or_slot_is_not_taken_up() -> None:
    head = Scheduler(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0), ("C", 2, 0.0))
    served(head, 10_000.0, 2, 30.0)
    slow(head, 10_000.0)
    state = head.snapshot(13_100.0)
    later = Scheduler(SAFE, 2, 500.0)
    later.restore(500.0, state, 1_000.0, True)
    # A started anew since, B has another slot, C is as it was.
    listed(later, 600.0, ("A", 0, 550.0), ("B", 5, 0.0), ("C", 2, 0.0))
    means = {name: later.nodes.mean_latency_ms[later.nodes.index[name]] for name in "ABC"}
    assert means["A"] == means["B"] == 0.0 < means["C"]


def test_memory_of_before_this_was_kept_is_still_taken_up() -> None:
    head = Scheduler(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 0.0))
    served(head, 10_000.0, 0, 30.0)
    state = {k: v for k, v in head.snapshot(10_100.0).items() if k != "lives"}
    data = memory.encode(memory.Snapshot("h1", "m", 1.0, 1.0, "b", True, state))
    kept = memory.restore(data, "h1", "m", 5.0, 5.0, "b").state
    later = Scheduler(SAFE, 2, 500.0)
    later.restore(500.0, kept, 4.0, True)
    listed(later, 600.0, ("A", 0, 0.0))
    assert later.nodes.mean_latency_ms[0] > 0


def test_a_head_that_knows_nothing_sends_no_more_than_the_bound_to_each_shelf() -> None:
    head = Scheduler(SAFE, 1, 0.0)
    listed(head, 0.0, *((f"s{i}", i, 0.0) for i in range(5)))
    requests = [take(head, 0.1 * n, n % 5, left=(40.0, 399.0, 3000.0)[n % 3]) for n in range(300)]
    assert sum(a.attempt_in_flight for a in requests) <= 5 * MAX_CONCURRENCY
    head.on_wake_up(390.0)
    late = [a for a in requests if a.deadline_ms < 100.0 and not a.attempt_in_flight]
    assert late and all(a.closed for a in late), "their time is over: each has its answer"


def test_a_head_that_knows_nothing_starts_limits_empty() -> None:
    head = Scheduler(SAFE, 1, 50_000.0)
    listed(head, 50_000.0, ("A", 0, 0.0))
    assert not went(take(head, 50_000.0, plan="capped", profile="bulk"))


@pytest.mark.parametrize("memory_age_ms", [None, 0.0, 600_000.0])
def test_a_real_head_that_joins_late_keeps_the_rules(memory_age_ms: float | None) -> None:
    """Shelfs are slow and queues deep; two heads die and come back with no memory, a fresh one, a stale one."""
    at = "at 1s slow s1 s2 by 4x for 5s\nat 1s burst by 3x for 4s\nat 2s head-crash h1 h2 for 300ms\n"
    text = BASE_CONFIG.replace("extents 20", "extents 20\nimpatient 20%")
    config = loads(f"{text}\nday d {{\nlength 6s\n{at}}}\n")
    village, known = play(config, "d", 5, memory_age_ms=memory_age_ms)
    day = village.facts()
    assert not known["faults"] and len(day.tries) > 500
    assert all(v.kept for v in day.check_rules().values()), {
        r: v.offence for r, v in day.check_rules().items() if not v.kept
    }


def test_memory_of_another_fleet_changes_nothing_for_the_shelfs_that_are_here() -> None:
    other = Scheduler(SAFE, 1, 10_000.0)
    listed(other, 10_000.0, ("X", 0, 0.0), ("Y", 1, 0.0))
    served(other, 10_000.0, 0, 30.0)
    head = Scheduler(SAFE, 2, 0.0)
    head.restore(0.0, other.snapshot(10_100.0), 500.0, False)
    listed(head, 0.0, ("A", 0, 0.0))
    assert head.nodes.mean_latency_ms[0] == 0.0 and went(take(head, 1.0, 0))


def test_times_to_return_are_spread_over_heads_and_requests() -> None:
    """All heads told the same time: what 200 of them refused at once, a zone's loss for one, came back at once."""
    stays = []
    for seed in range(100):
        head = Scheduler(SAFE, seed, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(2):  # its slot is not listed
            answer = take(head, 1.0, slot=5).drain()[2]
            assert answer is not None
            stays.append(answer.retry_after_ms)
    most = SAFE.max_retry_after_ms
    assert min(stays) >= most / 2 and max(stays) <= most
    for part in range(10):  # of any tenth of that time no more than a fifth come back
        low = most * (0.5 + part / 20)
        assert sum(low <= s < low + most / 20 for s in stays) < 40
