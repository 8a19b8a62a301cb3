"""Randomized tests of a group with 40 gateways, with faults while versions are proposed.

The sum of the gateways' allowances must never exceed a limit, the group must converge, and its history must hold all
accepted proposals. `benchmarks/wide_group.py` runs the same with 200 gateways and many seeds.
"""

from __future__ import annotations

from typing import Any

import pytest
from large_group import LimitExceededError
from large_group_faults import run_simulation

from pebblehinge.replicated_config import leases, version_application
from pebblehinge.replicated_config.activation import transitional_config
from pebblehinge.replicated_config.leases import Leases


@pytest.mark.parametrize("seed", [1, 2])
def test_sum_of_allowances_never_exceeds_a_limit_with_faults_of_gateways_and_leaders(seed: int) -> None:
    group = run_simulation(seed, 40, 8.0)
    assert group.peak_utilization > 0.99  # the gateways could use nearly the whole limit
    assert group.active_version() >= 4 and group.event_counts["cut off"] > 40
    assert group.event_counts["heads killed"] and group.event_counts["heads frozen"] + group.event_counts["heads cut"]


# Each safeguard: what disables it (object, attribute, replacement), seed, number of gateways, seconds of faults.
SAFEGUARDS: dict[str, tuple[list[tuple[Any, str, Any]], int, int, float]] = {
    "the leader waits until leases expire": ([(Leases, "expires_at", lambda self, gateway: 0.0)], 2, 12, 6.0),
    "gateways are transitional before an activation": (
        [(version_application, "transitional_config", lambda old, new, gateway, floor: old)],
        2,
        12,
        6.0,
    ),
    "transitional gateways leave the floor's share to unreachable ones": (
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


@pytest.mark.parametrize("safeguard", SAFEGUARDS)
def test_a_disabled_safeguard_lets_the_sum_exceed_a_limit(safeguard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a check that finds nothing: each safeguard is shown to be necessary."""
    replacements, seed, gateway_count, fault_duration_s = SAFEGUARDS[safeguard]
    run_simulation(seed, gateway_count, fault_duration_s)
    for target, attribute, replacement in replacements:
        monkeypatch.setattr(target, attribute, replacement)
    with pytest.raises(LimitExceededError):
        run_simulation(seed, gateway_count, fault_duration_s)
