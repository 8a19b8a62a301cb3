"""The capacity planner: what it reads, its formulas, its reasoning against made-up trials."""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np
import pytest
from captured_rows import CONFIG, captured_request, captured_requests

from pebblehinge.capacity_planner import CapturedLoadError, ObjectiveError, Planner, Trial, TrialResult
from pebblehinge.capacity_planner.bottleneck import name_bottleneck
from pebblehinge.capacity_planner.demand import build_demand, describe_window
from pebblehinge.capacity_planner.evidence import Evidence
from pebblehinge.capacity_planner.fleet import node_capacities
from pebblehinge.capacity_planner.formulas import erlang_c, estimate_service
from pebblehinge.capacity_planner.limits import other_limits
from pebblehinge.capacity_planner.quota import admitted_fractions
from pebblehinge.capacity_planner.speeds import fit_speeds


def test_what_does_not_fit_the_fleet_is_refused_in_one_line() -> None:
    with pytest.raises(CapturedLoadError, match="40 accesses are captured"):
        build_demand(captured_requests(40), CONFIG)
    with pytest.raises(CapturedLoadError, match="slot 99"):
        build_demand([*captured_requests(100), (9e9, "h1", captured_request(1.0, slot=99))], CONFIG)
    with pytest.raises(CapturedLoadError, match="volume 'nobody', which"):
        build_demand([*captured_requests(100), (9e9, "h1", captured_request(1.0, volume="nobody"))], CONFIG)
    demand = build_demand(captured_requests(100), CONFIG)
    assert any("are few" in note for note in describe_window(demand, 0.0, 10_000.0))
    for goal in (0.0, 1.0, 7.0):
        with pytest.raises(ObjectiveError, match="expected a service between 0 and 1"):
            Planner(Evidence(demand, CONFIG, goal))


def test_refused_load_counts_and_the_busiest_window_is_the_case() -> None:
    rows = captured_requests(500, 60.0, outcome=1, attempts=0, last_attempt_ms=0.0)
    rows += [
        (30_000.0 + i, "h1", captured_request(0.0, outcome=1, attempts=0, last_attempt_ms=0.0)) for i in range(900)
    ]
    rows.sort(key=lambda r: r[0])
    demand = build_demand(rows, CONFIG)
    begin, end = demand.busiest_window(10)
    assert begin <= 30_000.0 < end and len(demand.arrival_ms) == 1400
    notes = describe_window(demand, begin, end)
    assert "the mean" in notes[0] and any("spike" in n or "few" in n for n in notes)


def test_speeds_come_from_quick_attempts_and_lean_on_the_kind_where_they_are_few() -> None:
    rng = np.random.default_rng(3)
    kind = CONFIG.kind["fast"]
    rows = captured_requests(2000)
    made = []
    for at, head, r in rows:
        work = r.units * kind.unit_work * rng.uniform(0.8, 1.2)
        waits = rng.exponential(20.0) if rng.random() < 0.5 else 0.0
        made.append((at, head, msgspec.structs.replace(r, last_attempt_ms=work / 1.5 + waits + 0.3)))
    speed, doubt = fit_speeds(build_demand(made, CONFIG), CONFIG)[0]
    assert speed == pytest.approx(1.5, rel=0.04) and doubt < 0.05
    few, wide = fit_speeds(build_demand(captured_requests(62, outcome=1), CONFIG), CONFIG)[0]
    assert few == pytest.approx(sum(kind.speed) / 2) and wide >= 0.05


def test_formulas_hold_where_they_are_known() -> None:
    assert erlang_c(1, 0.5) == pytest.approx(0.5) and erlang_c(2, 1.0) == pytest.approx(1 / 3)
    demand = build_demand(captured_requests(4000), CONFIG)
    slots = node_capacities(CONFIG, fit_speeds(demand, CONFIG))
    services = [estimate_service(demand, CONFIG, slots, m).service for m in (0.3, 1.0, 3.0, 9.0)]
    assert services == sorted(services, reverse=True) and services[0] > 0.98 and services[-1] < 0.6
    gone = estimate_service(demand, CONFIG, slots, 0.3, frozenset({0, 1}))
    assert gone.service == pytest.approx(services[0] * 6 / 8, abs=0.03)
    names = [x.name for x in other_limits(demand, CONFIG, slots, 5.0)]
    assert names[0] == "head CPU" and {"reserves", "streams", "queue", "slot bound", "accesses"} <= set(names)


def test_a_limit_lets_its_rate_and_burst_through() -> None:
    rows = [
        (i * 10.0, "h1", captured_request(i * 10.0, volume="basico-1", quota_plan="basico", slot=i % 8))
        for i in range(1000)
    ]
    let = admitted_fractions(build_demand(rows, CONFIG), CONFIG, 1.0)  # 200 units a second; 50 allowed, 75 at once
    assert let[5] == pytest.approx(0.39, abs=0.06) and let[-1] == pytest.approx(0.25, abs=0.02)


def imagine(planner: Planner, serve: Any, most: int = 10_000) -> dict[str, Any]:
    """Answers the planner's trials from a made-up world."""
    played = 0
    while (batch := planner.next_batch()) and played < most:
        planner.add_results([serve(t) for t in batch])
        played += len(batch)
    return planner.answer()


def result(trial: Trial, service: float, shelf: dict | None = None, limit: dict | None = None) -> TrialResult:
    return TrialResult(trial, service, {"premium": service}, shelf or {}, limit or {}, service / 2, service * 0.9)


def test_the_crossing_and_the_shelfs_needed_are_found_wherever_they_lie() -> None:
    demand = build_demand(captured_requests(3000), CONFIG)
    for real in (0.4, 1.0, 2.2, 6.0):

        def serve(t: Trial, real: float = real) -> TrialResult:
            power = real * (t.node_count or 8) / 8
            chance = (t.seed % 3 - 1) * 0.002
            over = max(0.0, t.multiple / power - 1.0)
            return result(t, min(1.0, 0.95 - 0.4 * over + chance + (0.04 if over == 0 else 0)), {"s1": over / 8})

        told = imagine(Planner(Evidence(demand, CONFIG, 0.95, growth=1.5)), serve)
        assert told["first_limit"]["at_multiple"] == pytest.approx(real, rel=0.06), real
        assert told["first_limit"]["low"] <= real * 1.02 and told["first_limit"]["high"] >= real * 0.98
        assert told["needed"]["shelfs"] == pytest.approx(8 * 1.5 / real, rel=0.1, abs=1.0)
        assert {x["what"] for x in told["losses"]} == {"rack a", "rack b", "s1", "h1"}


def test_the_limit_is_named_by_where_it_takes_from() -> None:
    even = {f"s{i}": 0.01 for i in range(8)}
    assert name_bottleneck(even, {}, 8, 1.0)[0] == "shelf time"
    assert name_bottleneck({**even, "s3": 0.2}, {}, 8, 1.0)[:2] == ("hot shelf", "s3")
    one_volume_on_two = {**even, "s3": 0.09, "s4": 0.1}
    assert name_bottleneck(one_volume_on_two, {}, 8, 1.0)[0] == "hot shelf"
    assert name_bottleneck(even, {"basico-1": 0.3}, 8, 1.0)[:2] == ("plan limit", "basico-1")


def test_a_goal_that_no_shelfs_meet_is_said_with_its_reason() -> None:
    demand = build_demand(captured_requests(3000), CONFIG)
    told = imagine(Planner(Evidence(demand, CONFIG, 0.99)), lambda t: result(t, 0.9, {}, {"basico-1": 0.1}))
    assert told["needed"]["shelfs"] is None and "plans' limits alone" in told["needed"]["reason"]
    assert any("no number of shelfs" in note for note in told["notes"])
    assert told["first_limit"]["name"] == "plan limit" and "more shelfs change nothing" in told["next_step"]


def test_an_interrupted_plan_answers_with_what_is_known() -> None:
    demand = build_demand(captured_requests(3000), CONFIG)
    none = Planner(Evidence(demand, CONFIG)).answer()
    assert any("formulas' alone" in n for n in none["notes"]) and none["needed"]["shelfs"] >= 1
    some = imagine(
        Planner(Evidence(demand, CONFIG)), lambda t: result(t, 0.97 if t.multiple < 1 else 0.5, {"s1": 0.1}), 3
    )
    assert some["trials"] >= 3 and some["first_limit"]["low"] < some["first_limit"]["high"]


def test_reserves_promised_over_what_is_there_are_told() -> None:
    config = msgspec.structs.replace(
        CONFIG, plan={k: msgspec.structs.replace(p, reserve=p.reserve * 20) for k, p in CONFIG.plan.items()}
    )
    demand = build_demand(captured_requests(3000), config)
    limits = other_limits(demand, config, node_capacities(config, fit_speeds(demand, config)), 0.1)
    assert next(x for x in limits if x.name == "reserves").at_multiple < 1.0
