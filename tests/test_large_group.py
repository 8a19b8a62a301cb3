"""Forty heads and five instances struck by chance while versions follow each other: no sum of parts over a limit, all
come to rest, the group keeps its word. `benchmarks/wide_group.py` plays the same with 200 heads and many seeds."""

from __future__ import annotations

from typing import Any

import pytest
from large_group import LimitExceededError
from large_group_faults import run_simulation

from pebblehinge.replicated_config import leases, version_application
from pebblehinge.replicated_config.activation import transitional_config
from pebblehinge.replicated_config.leases import Leases


@pytest.mark.parametrize("seed", [1, 2])
def test_no_sum_of_parts_passes_a_limit_whatever_befalls_heads_and_leaders(seed: int) -> None:
    group = run_simulation(seed, 40, 8.0)
    assert group.peak_utilization > 0.99  # the limits were really used
    assert group.active_version() >= 4 and group.event_counts["cut off"] > 40
    assert group.event_counts["heads killed"] and group.event_counts["heads frozen"] + group.event_counts["heads cut"]


# What holds the sum under the limit: (part of the program, its name, what stands in its place), seed, heads, seconds.
DEFENCES: dict[str, tuple[list[tuple[Any, str, Any]], int, int, float]] = {
    "the leader waits for leases": ([(Leases, "expires_at", lambda self, head: 0.0)], 2, 12, 6.0),
    "heads are careful": (
        [(version_application, "transitional_config", lambda old, new, gateway, floor: old)],
        2,
        12,
        6.0,
    ),
    "careful heads leave room for those who are away": (
        [
            (
                version_application,
                "transitional_config",
                lambda old, new, gateway, floor: transitional_config(old, new, gateway),
            ),
            (leases, "reservations_fit", lambda *_: True),
        ],
        1,
        6,
        2.0,
    ),
}


@pytest.mark.parametrize("defence", DEFENCES)
def test_a_sum_over_a_limit_is_seen_where_a_defence_is_gone(defence: str, monkeypatch: pytest.MonkeyPatch) -> None:
    parts, seed, heads, length_s = DEFENCES[defence]
    run_simulation(seed, heads, length_s)
    for of, name, instead in parts:
        monkeypatch.setattr(of, name, instead)
    with pytest.raises(LimitExceededError):
        run_simulation(seed, heads, length_s)
