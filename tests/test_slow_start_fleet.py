"""Tests that many gateways together do not overload a node in a slow start."""

from __future__ import annotations

import random

import pytest
from slow_start_fleet import SCENES, START_MS, SlowStartFleet, random_settings

from pebblehinge.decide import Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind

# As a share of the node's capacity after the slow start. Above twice that capacity the bound does not hold (see
# docs/standing-test.md).
MAX_LOAD = 1.2
FLEETS = [(gateway_count, scene) for gateway_count in (3, 30, 230) for scene in SCENES]


@pytest.mark.parametrize(("gateway_count", "scene"), FLEETS)
def test_fleet_keeps_the_load_of_a_node_in_a_slow_start_within_the_bound(gateway_count: int, scene: str) -> None:
    for seed in range(8):
        load = random.Random(seed).uniform(0.4, MAX_LOAD)
        worst, served_share = SlowStartFleet(seed, gateway_count, load, scene).play()
        assert worst <= 1.0, (seed, load, worst)
        assert served_share > 0.2, (seed, load, served_share)


def test_bound_is_exceeded_at_four_times_the_capacity() -> None:
    assert max(SlowStartFleet(seed, 30, 4.0, "even").play()[0] for seed in range(3)) > 1.0


def count_sendable(is_retry: bool) -> int:
    """Returns how many of 200 requests for one extent may be sent now, by their turns, to a node that just started."""
    settings = random_settings(random.Random(3))
    scheduler = Scheduler(settings, 5, START_MS)
    scheduler.apply_endpoint_list(START_MS, ListKind.WHOLE, [EndpointEntry("new", EndpointState.READY, 0, START_MS)])
    count = 0
    for n in range(200):
        request, _ = scheduler.submit(
            START_MS + 1.0, n + 1, "e7", "look", "gold", "v1", 3, 0, 2.0, START_MS + 3000.0, is_retry
        )
        scheduler.dispatcher.valuation.mean_value_per_unit = request.value_per_unit
        count += scheduler.dispatcher.limits.earliest_send_ms(request, START_MS + 1.0) <= START_MS + 1.0
    return count


def test_new_requests_for_an_extent_draw_separate_turns_and_retries_keep_one() -> None:
    """An extent had one turn as long as it was remembered, so all requests for a hot extent were sent, or none."""
    assert 20 < count_sendable(False) < 120
    assert count_sendable(True) in (0, 200)
