"""Each of the seven rules, and that no request goes to a shelf without its data, as a property over runs of events from
fixed seeds, on the module's real `Head`.

A run is a list of plain events (drawn.py), so a failing one can be cut down by leaving events out. `World` plays it on
several heads of one fleet: clients come and leave, shelfs restart, drain, move and lie, lists come late, stale or not
at all, wakes come early or late, heads are killed and start empty or from memory. The oracles are those of
`lab/check.py`; they see what went out and what came in, and nothing of a head's own figures.
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


class Forgets(Scheduler):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        give_up = self.dispatcher.load_shedder.give_up

        def forgets(a: Request, why: str) -> None:
            give_up(a, why)
            if why == "its time is up":
                a.answer = None

        self.dispatcher.load_shedder.give_up = forgets  # type: ignore[method-assign]


class Repeats(Scheduler):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.dispatcher.limits.may_retry = lambda *_: True  # type: ignore[method-assign]


class Drains(Scheduler):
    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        return super().apply_endpoint_list(now, kind, [replace(e, state=EndpointState.READY) for e in entries])


class Hot(Scheduler):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.nodes.begin_slow_start = lambda *_: None  # type: ignore[method-assign]


class Rich(Scheduler):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        store = self.dispatcher.valuation.refill

        def rich(a: Request, now: float) -> Any:
            st = store(a, now)
            st.limit_tokens = max(st.limit_tokens, a.units)
            return st

        self.dispatcher.valuation.refill = rich  # type: ignore[method-assign]


class Mixes(Scheduler):
    def __init__(self, settings: Any, seed: int, now: float) -> None:
        profiles = tuple(replace(p, in_order=False) for p in settings.request_classes)
        super().__init__(replace(settings, request_classes=profiles), seed, now)


class Spends(Scheduler):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.dispatcher.limits.remaining_retries = lambda now: 99.0  # type: ignore[method-assign]


class Strays(Scheduler):
    """Takes a shelf for what its name was first listed as."""

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        index, slots = self.nodes.index, self.nodes.slots
        known = {e.node_name: slots[index[e.node_name]] for e in entries if e.node_name in index}
        return super().apply_endpoint_list(
            now, kind, [replace(e, slot=known.get(e.node_name, e.slot)) for e in entries]
        )


BROKEN = {
    "final_answer": Forgets,
    "no_double_effect": Repeats,
    "drains": Drains,
    "cold": Hot,
    "limits": Rich,
    "order": Mixes,
    "budget": Spends,
    "data": Strays,
}
# What a rule speaks of must have happened in its runs, at least so often together.
MET = {
    "final_answer": {"nearly over": 500, "left": 300, "killed": 300, "deaf": 300, "told twice": 500, "terminated": 500},
    "no_double_effect": {"broken": 500, "recalled": 5, "moved": 50, "pushed back": 500, "full": 500, "terminated": 500},
    "drains": {"drain": 100, "gone": 100, "list cached": 100, "list stale": 100, "list failed": 100, "moved": 50},
    "cold": {"restart": 200, "to a cold shelf": 2000, "killed": 300},
    "limits": {"killed": 300, "adopted": 100, "honoured": 2000},
    "order": {"overdue": 300, "broken": 300, "honoured": 2000},
    "budget": {"further": 500, "killed": 200},
    "data": {"moved": 100, "further": 500, "list stale": 100},
}


def offence(
    rule: str, seed: int, kind: type[Scheduler], events: list[tuple[Any, ...]]
) -> tuple[str, SimulatedRun, int]:
    world = SimulatedRun(SLOW_START_CONFIG if rule == "cold" else CONFIG, seed, rule, kind)
    day = world.play(events)
    if rule == "data":
        return "; ".join(world.astray[:1]), world, sum(len(attempts) for attempts in day.attempts.values())
    verdict = getattr(day, rule)()
    return verdict.offence, world, verdict.cases


def cut_down(rule: str, seed: int, kind: type[Scheduler], events: list[tuple[Any, ...]]) -> list[tuple[Any, ...]]:
    """The same offence's run with as many events left out as can be in a few hundred tries."""
    size, tries = len(events) // 2, 300
    while size and tries:
        at = 0
        while at < len(events) and tries:
            tries -= 1
            fewer = events[:at] + events[at + size :]
            if offence(rule, seed, kind, fewer)[0]:
                events = fewer
            else:
                at += size
        size //= 2
    return events


def broken_run(rule: str, kind: type[Scheduler], runs: int) -> tuple[str, Counter[str], int]:
    """The first run that breaks the rule, cut down and told; else what was met in all of them."""
    met: Counter[str] = Counter()
    cases = 0
    for seed in range(runs):
        events = random_events(seed, rule)
        said, world, looked = offence(rule, seed, kind, events)
        if said:
            fewer = cut_down(rule, seed, kind, events)
            lines = "\n".join(repr(e) for e in fewer)
            return f"{rule}, seed {seed}: {offence(rule, seed, kind, fewer)[0]}\n{lines}", met, cases
        met += world.seen
        cases += looked
    return "", met, cases


@pytest.mark.parametrize("rule", MET)
def test_a_rule_holds_over_runs_of_events(rule: str) -> None:
    said, met, cases = broken_run(rule, Scheduler, RUNS_PER_RULE)
    assert not said, said
    assert set(MET) == {*RULES, "data"}
    assert cases > RUNS_PER_RULE, cases
    assert all(met[what] >= least for what, least in MET[rule].items()), met


@pytest.mark.parametrize("rule", BROKEN)
def test_a_head_that_breaks_the_rule_is_caught_by_its_property(rule: str) -> None:
    said, _, _ = broken_run(rule, BROKEN[rule], RUNS_PER_RULE)
    assert said.startswith(f"{rule}, seed ") and 2 < len(said.splitlines()) < 60, said
