"""Property tests of the scheduler: it keeps each of the seven rules over random runs of events from fixed seeds.

An eighth property, `data`, is that no request goes to a storage node without its data.

A run is a list of plain events (random_runs.py), so a failing one can be reduced by leaving events out. `SimulatedRun`
plays it on several gateways of one fleet: clients send requests and disconnect; nodes restart, drain, move to other
slots and state wrong start times; endpoint lists are late, stale or missing; wake-ups come early or late; gateways are
killed and start with or without a snapshot. The verdicts are those of `lab/check.py`, which reads only what was sent
and received, and no figures of the scheduler itself.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from random_runs import CONFIG, RUNS_PER_RULE, SLOW_START_CONFIG, random_events
from simulated_run import SimulatedRun

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, ListKind
from pebblehinge.lab.check import RULES


class SchedulerOmittingTimeouts(Scheduler):
    """Does not answer requests whose time is up."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        give_up = self.dispatcher.load_shedder.give_up

        def give_up_without_answer(request: Request, reason: str) -> None:
            give_up(request, reason)
            if reason == "its time is up":
                request.answer = None

        self.dispatcher.load_shedder.give_up = give_up_without_answer  # type: ignore[method-assign]


class SchedulerIgnoringIdempotency(Scheduler):
    """Retries requests that must not run twice."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.dispatcher.limits.may_retry = lambda *_: True  # type: ignore[method-assign]


class SchedulerIgnoringDrains(Scheduler):
    """Takes every listed node for ready."""

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        return super().apply_endpoint_list(now, kind, [replace(entry, state=EndpointState.READY) for entry in entries])


class SchedulerIgnoringSlowStart(Scheduler):
    """Puts no node into a slow start."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.nodes.begin_slow_start = lambda *_: None  # type: ignore[method-assign]


class SchedulerIgnoringRateLimits(Scheduler):
    """Always has tokens left for a request."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        refill = self.dispatcher.valuation.refill

        def refill_limit(request: Request, now: float) -> Any:
            buckets = refill(request, now)
            buckets.limit_tokens = max(buckets.limit_tokens, request.units)
            return buckets

        self.dispatcher.valuation.refill = refill_limit  # type: ignore[method-assign]


class SchedulerIgnoringOrder(Scheduler):
    """Has no ordered request class."""

    def __init__(self, settings: Any, seed: int, now: float) -> None:
        request_classes = tuple(replace(request_class, in_order=False) for request_class in settings.request_classes)
        super().__init__(replace(settings, request_classes=request_classes), seed, now)


class SchedulerIgnoringRetryBudget(Scheduler):
    """Always has retries left."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.dispatcher.limits.remaining_retries = lambda now: 99.0  # type: ignore[method-assign]


class SchedulerIgnoringSlotChanges(Scheduler):
    """Takes a node to hold the data of the slot under which its name was first listed."""

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        index, slots = self.nodes.index, self.nodes.slots
        first_slots = {entry.node_name: slots[index[entry.node_name]] for entry in entries if entry.node_name in index}
        return super().apply_endpoint_list(
            now, kind, [replace(entry, slot=first_slots.get(entry.node_name, entry.slot)) for entry in entries]
        )


BROKEN_SCHEDULERS = {
    "final_answer": SchedulerOmittingTimeouts,
    "no_double_effect": SchedulerIgnoringIdempotency,
    "drains": SchedulerIgnoringDrains,
    "cold": SchedulerIgnoringSlowStart,
    "limits": SchedulerIgnoringRateLimits,
    "order": SchedulerIgnoringOrder,
    "budget": SchedulerIgnoringRetryBudget,
    "data": SchedulerIgnoringSlotChanges,
}
# How often, at least, events that put a rule to the test must have happened in all its runs together.
MIN_EVENT_COUNTS = {
    "final_answer": {
        "nearly out of time": 500,
        "left": 300,
        "killed": 300,
        "delayed wake-ups": 300,
        "repeated end": 500,
        "terminated": 500,
    },
    "no_double_effect": {"broken": 500, "recalled": 5, "moved": 50, "pushed back": 500, "full": 500, "terminated": 500},
    "drains": {"drain": 100, "gone": 100, "list cached": 100, "list stale": 100, "list failed": 100, "moved": 50},
    "cold": {"restart": 200, "to a node in a slow start": 2000, "killed": 300},
    "limits": {"killed": 300, "adopted": 100, "honoured": 2000},
    "order": {"overdue": 300, "broken": 300, "honoured": 2000},
    "budget": {"further": 500, "killed": 200},
    "data": {"moved": 100, "further": 500, "list stale": 100},
}


def check_run(
    rule: str, seed: int, scheduler_type: type[Scheduler], events: list[tuple[Any, ...]]
) -> tuple[str, SimulatedRun, int]:
    """Plays a run; returns the first violation of a rule or "", the run, and the number of cases."""
    run = SimulatedRun(SLOW_START_CONFIG if rule == "cold" else CONFIG, seed, rule, scheduler_type)
    day = run.play(events)
    if rule == "data":
        return "; ".join(run.misrouted_attempts[:1]), run, sum(len(attempts) for attempts in day.attempts.values())
    verdict = getattr(day, rule)()
    return verdict.offence, run, verdict.cases


def shrink(
    rule: str, seed: int, scheduler_type: type[Scheduler], events: list[tuple[Any, ...]]
) -> list[tuple[Any, ...]]:
    """Returns the events of a failing run that still fails with as many left out as 300 trials find."""
    size, remaining_trials = len(events) // 2, 300
    while size and remaining_trials:
        position = 0
        while position < len(events) and remaining_trials:
            remaining_trials -= 1
            fewer_events = events[:position] + events[position + size :]
            if check_run(rule, seed, scheduler_type, fewer_events)[0]:
                events = fewer_events
            else:
                position += size
        size //= 2
    return events


def find_violation(rule: str, scheduler_type: type[Scheduler], run_count: int) -> tuple[str, Counter[str], int]:
    """Plays runs until one violates a rule.

    Returns:
        The violation with the events of its shrunk run, or ""; and of the runs before it, the counts of events and
        the number of cases.
    """
    event_counts: Counter[str] = Counter()
    case_count = 0
    for seed in range(run_count):
        events = random_events(seed, rule)
        violation, run, cases = check_run(rule, seed, scheduler_type, events)
        if violation:
            fewer_events = shrink(rule, seed, scheduler_type, events)
            lines = "\n".join(repr(event) for event in fewer_events)
            return (
                f"{rule}, seed {seed}: {check_run(rule, seed, scheduler_type, fewer_events)[0]}\n{lines}",
                event_counts,
                case_count,
            )
        event_counts += run.counts
        case_count += cases
    return "", event_counts, case_count


@pytest.mark.parametrize("rule", MIN_EVENT_COUNTS)
def test_rule_holds_over_random_runs(rule: str) -> None:
    violation, event_counts, case_count = find_violation(rule, Scheduler, RUNS_PER_RULE)
    assert not violation, violation
    assert set(MIN_EVENT_COUNTS) == {*RULES, "data"}
    assert case_count > RUNS_PER_RULE, case_count
    assert all(event_counts[event] >= minimum for event, minimum in MIN_EVENT_COUNTS[rule].items()), event_counts


@pytest.mark.parametrize("rule", BROKEN_SCHEDULERS)
def test_property_detects_a_scheduler_that_breaks_the_rule(rule: str) -> None:
    violation, _, _ = find_violation(rule, BROKEN_SCHEDULERS[rule], RUNS_PER_RULE)
    assert violation.startswith(f"{rule}, seed ") and 2 < len(violation.splitlines()) < 60, violation
