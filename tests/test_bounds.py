"""What grows and what it costs: places, wakes, stores, calls that give up many."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from helpers import FLEET, Rig, run_with_rig
from random_runs import CONFIG
from scheduler_helpers import SAFE, listed, served, take, went
from test_core_properties import Origin, RecordingEffects
from test_scenarios import QUOTA_PLANS

from pebblehinge.console.view import GatewayView
from pebblehinge.decide import MAX_CACHE_ENTRIES, MAX_CONCURRENCY, Request, Scheduler
from pebblehinge.gateway import GatewayCore
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome


def sizes(head: Scheduler) -> dict[str, int]:
    dispatcher = head.dispatcher
    parts = (
        head,
        head.settings,
        head.change_set,
        head.nodes,
        dispatcher,
        dispatcher.valuation,
        dispatcher.limits,
        dispatcher.limits.extent_queues,
        dispatcher.load_shedder,
        dispatcher.anticipation,
        dispatcher.retries,
    )
    return {
        f"{type(part).__name__}.{name}": len(value)
        for part in parts
        for name, value in vars(part).items()
        if hasattr(value, "__len__")
    }


def test_shelfs_that_never_come_back_leave_nothing() -> None:
    """Seen: a column's place for each name ever listed, for as long as the head ran."""
    head, now = Scheduler(SAFE, 1, 0.0), 0.0
    head.restore(
        0.0,
        {
            "shelfs": {f"old{i}": [1.0, 1.0, 1.0, 1.0, 4.0, -1.0] for i in range(50)},
            "thinks": {},
            "every": [1.0, 1.0, 1.0, 1.0],
            "limits": {},
            "further": [],
        },
        0.0,
        False,
    )
    for n in range(400):
        now += 1000.0
        listed(head, now, *((f"s{n + i}", i, 0.0) for i in range(8)), kind=ListKind.WHOLE)
        for slot in range(8):
            served(head, now, slot, 5.0)
    head.on_wake_up(now + 10_000.0)
    found = sizes(head)
    bounded_otherwise = ("Limits.takes", "SettingsView.request_classes", "SettingsView.quota_plans")
    assert len(found) > 30 and max(n for name, n in found.items() if name not in bounded_otherwise) <= 20, found
    served(head, now, 3, 5.0)


def test_a_place_is_not_given_away_while_an_attempt_is_out_or_the_name_is_still_listed() -> None:
    head = Scheduler(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    a = take(head, 0.0, profile="save")
    head.apply_endpoint_list(1.0, ListKind.CHANGES, [EndpointEntry("A", EndpointState.GONE, 0, 0.0)])
    listed(head, 2.0, ("B", 0, 0.0))
    assert head.nodes.index["A"] != head.nodes.index["B"]
    b = take(head, 3.0)
    a.on_attempt_end(4.0, 0, Outcome.CONNECTION_LOST, False, 4.0)
    assert head.nodes.in_flight[head.nodes.index["B"]] == [b]
    head.apply_endpoint_list(5.0, ListKind.CHANGES, [EndpointEntry("B", EndpointState.DRAINING, 0, 0.0)])
    listed(head, 6.0, ("C", 0, 0.0))
    assert "B" in head.nodes.index and head.nodes.names[head.nodes.index["C"]] == "C"


def test_wakes_are_not_asked_for_by_each_request_that_is_held() -> None:
    """Seen: an entry for every held request and every new time."""
    head = Scheduler(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    for n in range(1000):
        take(head, n * 0.1, profile="bulk", left=500.0 + n * 1.4)
    assert sum(len(h) for h in head.nodes.queues) > 900
    assert len(head.change_set.wake_ups) < 50


def test_giving_up_a_hundred_held_requests_costs_in_step_with_their_number() -> None:
    """Seen: for each that was given up, all before it were looked at again."""

    class Counted(float):
        looks = 0

        def _count(self, other: float) -> None:
            Counted.looks += 1

        def __lt__(self, other: float) -> bool:
            self._count(other)
            return float.__lt__(self, other)

        def __eq__(self, other: object) -> bool:
            self._count(0.0)
            return float.__eq__(self, other)

        __hash__ = float.__hash__

    def looks(count: int) -> int:
        head = Scheduler(SAFE, 1, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(count):
            a = take(head, 0.0, profile="bulk")
            a.value_per_unit = Counted(a.value_per_unit)
        # Of a sudden half can't be in time.
        head.nodes.mean_latency_ms[0], head.nodes.mean_updated_ms[0] = 2000.0 * MAX_CONCURRENCY / (count / 2), 1.0
        Counted.looks = 0
        head.dispatcher.process_queue(0, 1.0, None)
        assert count * 0.4 < len(head.nodes.queues[0]) < count * 0.6
        return Counted.looks

    assert looks(400) < 2.6 * looks(200)


def test_a_volume_at_rest_does_not_get_back_more_of_its_limit_than_has_filled() -> None:
    """Seen: a volume forgotten after a minute began again as if it had filled since the head's start."""
    plans = (replace(QUOTA_PLANS[2], limit_rate=0.5, limit_burst=100.0, limit_slack=0.0), QUOTA_PLANS[0])
    head = Scheduler(replace(SAFE, quota_plans=plans, max_units=100.0), 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    first = take(head, 300_000.0, plan="capped", units=100.0, volume="v")
    assert went(first)
    first.on_attempt_end(300_010.0, 0, Outcome.SUCCEEDED, True, 10.0)
    for n in range(MAX_CACHE_ENTRIES + 10):
        take(head, 361_000.0 + n / 100, slot=9, volume=f"w{n}")  # refused: nobody has that slot
    assert "v" not in head.dispatcher.valuation.buckets, "it was to be forgotten"
    again = take(head, 362_000.0, plan="capped", units=60.0, volume="v", profile="bulk")
    assert not went(again), "62 s fill 31 units"


def test_a_limit_that_was_raised_in_service_fills_from_then_on() -> None:
    plans = (replace(QUOTA_PLANS[2], limit_rate=1.0, limit_burst=10.0, limit_slack=0.0), QUOTA_PLANS[0])
    settings = replace(SAFE, quota_plans=plans, max_units=100.0)
    head = Scheduler(settings, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    raised = replace(plans[0], limit_rate=50.0, limit_burst=100.0)
    head.replace_settings(100_000.0, replace(settings, quota_plans=(raised, plans[1])))
    # A volume that this head has not seen had 10 units at the most, and since then 50 a second.
    assert not went(take(head, 100_010.0, plan="capped", units=90.0, volume="new", profile="bulk"))


@pytest.mark.parametrize("left", [float("nan"), float("inf"), 1e300])
def test_a_request_with_no_sound_time_is_refused_and_hurts_no_other(left: float) -> None:
    """Seen: one request with a time that is no number made every later call for its shelf fail."""
    doing = RecordingEffects()
    core = GatewayCore(CONFIG, CONFIG.head["h1"], 1000.0, doing)
    core.apply_endpoint_list(1000.0, ListKind.WHOLE, [EndpointEntry("s0", EndpointState.READY, 0, 0.0)])

    def one(id_: int, left_ms: float) -> Any:
        return core.admit(
            1000.0, Origin(), id_, f"t{id_}", "gold-1", None, "look", "x", 0, 1.0, left_ms, None, None, 0, 0, 10, b""
        )

    assert one(1, left) is None and doing.answer_counts[1] == 1
    assert one(2, 900.0) is not None and [row[0].id for row in doing.in_flight] == [2]


def test_what_a_running_head_keeps_of_a_shelf_goes_when_its_place_does() -> None:
    """Seen: a link, a line of the console and a desk of the accounts for each name ever listed."""

    async def script(rig: Rig) -> None:
        head, view = rig.gateway, GatewayView(rig.gateway)
        for n in range(60):
            rows = [EndpointEntry(f"n{n + i}", EndpointState.READY, i, 0.0) for i in range(2)]
            head._on_list(rig.clock(), ListKind.WHOLE, rows, {e.node_name: "127.0.0.1:1" for e in rows})
            head.core.wait_accounting.enqueue(rig.clock(), n, "v", f"n{n}", 1.0)
            head.core.wait_accounting.end_request(rig.clock(), n)
            view.snapshot()
        assert max(len(head.links), len(view.health_by_node), len(head.core.wait_accounting.nodes)) < 12

    run_with_rig(script, fleet=FLEET + "head h1 {\naccounts yes\n}\n")


def test_a_call_that_gives_up_all_that_a_shelf_holds_costs_in_step_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: 10,000 held for a shelf that left the list took 9.6 s; each was looked for among all that had changed."""
    looks = 0

    def same(a: Request, b: object) -> bool:
        nonlocal looks
        looks += 1
        return a is b

    def given_up(count: int) -> int:
        nonlocal looks
        head = Scheduler(SAFE, 1, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(count):
            take(head, 0.0, profile="bulk")
        looks = 0
        changes = head.apply_endpoint_list(1.0, ListKind.CHANGES, [EndpointEntry("A", EndpointState.GONE, 0, 0.0)])
        assert len(changes.handles) == count - MAX_CONCURRENCY
        return looks

    monkeypatch.setattr(Request, "__eq__", same)
    monkeypatch.setattr(Request, "__hash__", object.__hash__, raising=False)
    assert given_up(400) < 2.6 * max(1, given_up(200)) + 400
