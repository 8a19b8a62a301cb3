"""Tests of a scheduler's robustness.

They cover unusual first answers, nodes that are replaced under their names, snapshots that do not fit, and many
gateways at once.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from scheduler_helpers import SHORT_SLOW_START_SETTINGS, apply_list, serve_request, submit, was_sent
from test_rule_violations import BASE_CONFIG

from pebblehinge.decide import MAX_CONCURRENCY, Scheduler
from pebblehinge.interface import ListKind, Outcome
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.settings.load import loads
from pebblehinge.store import memory


def test_slow_first_answer_does_not_stop_requests_to_all_nodes() -> None:
    """One slow first answer was the mean latency of all nodes for 25 s; nothing was sent that could correct it."""
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 0.0)
    apply_list(scheduler, 0.0, ("A", 0, 0.0), ("B", 1, 0.0))
    first = submit(scheduler, 0.0, 0, remaining_ms=6000.0)
    first.on_attempt_end(5000.0, 0, Outcome.SUCCEEDED, True, 5000.0)
    assert was_sent(submit(scheduler, 7000.0, 1))


def test_first_answer_has_no_more_weight_than_later_ones() -> None:
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 0.0)
    apply_list(scheduler, 0.0, *((f"s{i}", i, 0.0) for i in range(20)))
    serve_request(scheduler, 0.0, 0, 5000.0)
    for i in range(1, 20):
        scheduler.nodes.record_latency(i, 5000.0, 50.0)
    assert scheduler.nodes.fleet_mean_latency(5000.0) == pytest.approx((5000.0 / 0.75 + 19 * 50.0) / 20, rel=0.4)


def teach_slow_node(scheduler: Scheduler, now: float) -> None:
    """Serves requests quickly at node B, and at node A three that take two seconds each, with three losses recorded."""
    for n in range(40):
        serve_request(scheduler, now + n, 1, 20.0)
    for request in [submit(scheduler, now + 50, 0, remaining_ms=2500.0) for _ in range(3)]:
        assert was_sent(request)
        request.on_attempt_end(now + 2050, 0, Outcome.SUCCEEDED, True, 2000.0)
    scheduler.nodes.consecutive_losses[scheduler.nodes.index["A"]] = 3


@pytest.mark.parametrize("row", [("A", 0, 13_000.0), ("A", 0, 4_000.0), ("A", 0, 0.0), ("A", 7, 8_000.0)])
def test_new_process_under_a_nodes_name_starts_without_the_old_ones_health(row: tuple[str, int, float]) -> None:
    """A new process shows as a later start, an earlier one, one that is no longer stated, or another slot."""
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 10_000.0)
    apply_list(scheduler, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    teach_slow_node(scheduler, 10_000.0)
    assert scheduler.nodes.mean_latency_ms[0] > 800.0
    apply_list(scheduler, 13_100.0, row)
    node = scheduler.nodes.index["A"]
    assert (
        scheduler.nodes.mean_latency_ms[node],
        scheduler.nodes.consecutive_losses[node],
        scheduler.nodes.unreachable[node],
    ) == (
        0.0,
        0,
        False,
    )
    assert was_sent(submit(scheduler, 13_200.0, row[1], volume="x"))


def test_delayed_list_does_not_look_like_a_new_process() -> None:
    """Lists tell ages, so the start of a process shifts by the list's delay; nothing learned may be lost by that."""
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 10_000.0)
    apply_list(scheduler, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    teach_slow_node(scheduler, 10_000.0)
    latency_before_ms = scheduler.nodes.mean_latency_ms[scheduler.nodes.index["A"]]
    apply_list(scheduler, 13_100.0, ("A", 0, 8_003.5), ("B", 1, 0.0), kind=ListKind.WHOLE)
    assert scheduler.nodes.mean_latency_ms[scheduler.nodes.index["A"]] == latency_before_ms > 0


def test_attempts_sent_to_an_old_process_do_not_count_for_the_new_one() -> None:
    scheduler = Scheduler(replace(SHORT_SLOW_START_SETTINGS, slow_start_duration_ms=10_000.0), 1, 10_000.0)
    apply_list(scheduler, 10_000.0, ("A", 0, 0.0))
    attempts = [submit(scheduler, 10_000.0, profile="save") for _ in range(MAX_CONCURRENCY)]
    apply_list(scheduler, 10_500.0, ("A", 0, 10_400.0))
    for request in attempts:
        request.on_attempt_end(10_600.0, 0, Outcome.CONNECTION_LOST, False, 600.0)
    node = scheduler.nodes.index["A"]
    assert (
        scheduler.nodes.consecutive_losses[node],
        scheduler.nodes.unreachable[node],
        scheduler.nodes.slow_start_since_ms[node],
    ) == (
        0,
        False,
        10_400.0,
    )


def test_start_time_that_is_no_longer_stated_begins_a_slow_start() -> None:
    scheduler = Scheduler(replace(SHORT_SLOW_START_SETTINGS, slow_start_duration_ms=10_000.0), 1, 50_000.0)
    apply_list(scheduler, 50_000.0, ("A", 0, 20_000.0))
    assert scheduler.nodes.slow_start_since_ms[0] is None
    apply_list(scheduler, 60_000.0, ("A", 0, 0.0))
    assert scheduler.nodes.slow_start_since_ms[0] == 60_000.0


def test_slow_start_of_a_node_that_was_down_begins_with_the_attempt_that_succeeds() -> None:
    """The slow start was counted from the last failed connection, so it was nearly over at a node just started."""
    scheduler = Scheduler(
        replace(SHORT_SLOW_START_SETTINGS, slow_start_duration_ms=10_000.0, slow_start_initial_share=1.0), 1, 0.0
    )
    apply_list(scheduler, 0.0, ("A", 0, 0.0))
    submit(scheduler, 0.0).on_attempt_end(1.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
    request = submit(scheduler, 9_000.0)
    assert was_sent(request)
    request.on_attempt_end(9_010.0, 0, Outcome.SUCCEEDED, True, 10.0)
    assert scheduler.nodes.slow_start_since_ms[0] == 9_000.0 and not scheduler.nodes.unreachable[0]


def test_few_of_many_gateways_probe_an_unreachable_node_at_once() -> None:
    """Each sends one attempt at a time to a node that is down; a hundred would still overload one just started."""
    probe_count = 0
    for seed in range(100):
        scheduler = Scheduler(
            replace(
                SHORT_SLOW_START_SETTINGS,
                slow_start_duration_ms=10_000.0,
                slow_start_initial_share=0.02,
                slow_start_failure_multiple=1.0,
            ),
            seed,
            0.0,
        )
        apply_list(scheduler, 0.0, ("A", 0, 0.0))
        submit(scheduler, 0.0).on_attempt_end(1.0, 0, Outcome.CONNECT_FAILED, False, 1.0)
        probe_count += was_sent(submit(scheduler, 300.0))
    assert 0 < probe_count < 30


def test_snapshot_of_an_old_process_or_slot_is_ignored() -> None:
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 10_000.0)
    apply_list(scheduler, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0), ("C", 2, 0.0))
    serve_request(scheduler, 10_000.0, 2, 30.0)
    teach_slow_node(scheduler, 10_000.0)
    state = scheduler.snapshot(13_100.0)
    restarted = Scheduler(SHORT_SLOW_START_SETTINGS, 2, 500.0)
    restarted.restore(500.0, state, 1_000.0, True)
    # A has restarted since, B has another slot, C is unchanged.
    apply_list(restarted, 600.0, ("A", 0, 550.0), ("B", 5, 0.0), ("C", 2, 0.0))
    means = {name: restarted.nodes.mean_latency_ms[restarted.nodes.index[name]] for name in "ABC"}
    assert means["A"] == means["B"] == 0.0 < means["C"]


def test_snapshot_without_process_starts_is_restored() -> None:
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 10_000.0)
    apply_list(scheduler, 10_000.0, ("A", 0, 0.0))
    serve_request(scheduler, 10_000.0, 0, 30.0)
    state = {k: v for k, v in scheduler.snapshot(10_100.0).items() if k != "lives"}
    data = memory.encode(memory.Snapshot("h1", "m", 1.0, 1.0, "b", True, state))
    restored_state = memory.restore(data, "h1", "m", 5.0, 5.0, "b").state
    restarted = Scheduler(SHORT_SLOW_START_SETTINGS, 2, 500.0)
    restarted.restore(500.0, restored_state, 4.0, True)
    apply_list(restarted, 600.0, ("A", 0, 0.0))
    assert restarted.nodes.mean_latency_ms[0] > 0


def test_scheduler_without_snapshot_keeps_the_concurrency_limit_of_each_node() -> None:
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 0.0)
    apply_list(scheduler, 0.0, *((f"s{i}", i, 0.0) for i in range(5)))
    requests = [submit(scheduler, 0.1 * n, n % 5, remaining_ms=(40.0, 399.0, 3000.0)[n % 3]) for n in range(300)]
    assert sum(request.attempt_in_flight for request in requests) <= 5 * MAX_CONCURRENCY
    scheduler.on_wake_up(390.0)
    expired = [request for request in requests if request.deadline_ms < 100.0 and not request.attempt_in_flight]
    assert expired and all(request.closed for request in expired), "an expired request has no final answer"


def test_scheduler_without_snapshot_starts_with_empty_rate_limits() -> None:
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 50_000.0)
    apply_list(scheduler, 50_000.0, ("A", 0, 0.0))
    assert not was_sent(submit(scheduler, 50_000.0, plan="capped", profile="bulk"))


@pytest.mark.parametrize("memory_age_ms", [None, 0.0, 600_000.0])
def test_restarted_gateways_keep_the_rules_under_load(memory_age_ms: float | None) -> None:
    """Nodes are slow and queues long while two gateways restart, without a snapshot, with a recent or an old one."""
    script = "at 1s slow s1 s2 by 4x for 5s\nat 1s burst by 3x for 4s\nat 2s head-crash h1 h2 for 300ms\n"
    text = BASE_CONFIG.replace("extents 20", "extents 20\nimpatient 20%")
    config = loads(f"{text}\nday d {{\nlength 6s\n{script}}}\n")
    village, known = play(config, "d", 5, snapshot_age_ms=memory_age_ms)
    day = village.facts()
    assert not known["faults"] and len(day.tries) > 500
    assert all(verdict.kept for verdict in day.check_rules().values()), {
        rule: verdict.offence for rule, verdict in day.check_rules().items() if not verdict.kept
    }


def test_snapshot_of_another_fleet_does_not_affect_present_nodes() -> None:
    other = Scheduler(SHORT_SLOW_START_SETTINGS, 1, 10_000.0)
    apply_list(other, 10_000.0, ("X", 0, 0.0), ("Y", 1, 0.0))
    serve_request(other, 10_000.0, 0, 30.0)
    scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, 2, 0.0)
    scheduler.restore(0.0, other.snapshot(10_100.0), 500.0, False)
    apply_list(scheduler, 0.0, ("A", 0, 0.0))
    assert scheduler.nodes.mean_latency_ms[0] == 0.0 and was_sent(submit(scheduler, 1.0, 0))


def test_retry_after_times_are_spread_over_gateways_and_requests() -> None:
    """With one Retry-After for all, requests that 200 gateways reject when a zone fails are all retried together."""
    retry_after_ms = []
    for seed in range(100):
        scheduler = Scheduler(SHORT_SLOW_START_SETTINGS, seed, 0.0)
        apply_list(scheduler, 0.0, ("A", 0, 0.0))
        for _ in range(2):  # no node has the slot
            answer = submit(scheduler, 1.0, slot=5).drain()[2]
            assert answer is not None
            retry_after_ms.append(answer.retry_after_ms)
    max_ms = SHORT_SLOW_START_SETTINGS.max_retry_after_ms
    assert min(retry_after_ms) >= max_ms / 2 and max(retry_after_ms) <= max_ms
    for part in range(10):  # in no tenth of the range does more than a fifth return
        low_ms = max_ms * (0.5 + part / 20)
        assert sum(low_ms <= value < low_ms + max_ms / 20 for value in retry_after_ms) < 40
