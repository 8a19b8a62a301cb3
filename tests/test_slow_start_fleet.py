"""Many heads before one cold shelf: what they send it together stays under the line."""

from __future__ import annotations

import random

import pytest
from slow_start_fleet import SCENES, START_MS, SlowStartFleet, settings

from pebblehinge.decide import Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind

MOST_ASKED = 1.2  # of what the warm shelf can do; past twice of it the line is not kept (docs/standing-test.md)
FLEETS = [(heads, scene) for heads in (3, 30, 230) for scene in SCENES]


@pytest.mark.parametrize(("heads", "scene"), FLEETS)
def test_no_fleet_sends_a_cold_shelf_more_than_its_budget_and_chance(heads: int, scene: str) -> None:
    for seed in range(8):
        asked = random.Random(seed).uniform(0.4, MOST_ASKED)
        worst, served = SlowStartFleet(seed, heads, asked, scene).play()
        assert worst <= 1.0, (seed, asked, worst)
        assert served > 0.2, (seed, asked, served)


def test_the_line_can_be_passed() -> None:
    assert max(SlowStartFleet(seed, 30, 4.0, "even").play()[0] for seed in range(3)) > 1.0


def let_through(again: bool) -> int:
    """Of 200 requests to one extent of a shelf that has just started, how many may go as far as their turn goes."""
    cfg = settings(random.Random(3))
    head = Scheduler(cfg, 5, START_MS)
    head.apply_endpoint_list(START_MS, ListKind.WHOLE, [EndpointEntry("new", EndpointState.READY, 0, START_MS)])
    going = 0
    for n in range(200):
        request, _ = head.submit(START_MS + 1.0, n + 1, "e7", "look", "gold", "v1", 3, 0, 2.0, START_MS + 3000.0, again)
        head.dispatcher.valuation.mean_value_per_unit = request.value_per_unit
        going += head.dispatcher.limits.earliest_send_ms(request, START_MS + 1.0) <= START_MS + 1.0
    return going


def test_of_a_hot_extent_a_part_goes_and_a_clients_next_try_has_the_turn_of_its_first() -> None:
    """One turn was drawn for an extent as long as it was remembered: of a hot one all went, or nothing."""
    assert 20 < let_through(False) < 120
    assert let_through(True) in (0, 200)
