"""Forty heads and five instances struck by chance while versions follow each other: no sum of parts over a limit, all
come to rest, the group keeps its word. `benchmarks/wide_group.py` plays the same with 200 heads and many seeds."""

from __future__ import annotations

import pytest
from wide_faults import play
from wide_world import OverLimit

from pebblehinge.agreed.leases import Leases
from pebblehinge.agreed.taking import Taking


@pytest.mark.parametrize("seed", [1, 2])
def test_no_sum_of_parts_passes_a_limit_whatever_befalls_heads_and_leaders(seed: int) -> None:
    group = play(seed, 40, 8.0)
    assert group.most > 0.99  # the limits were really used
    assert group.active() >= 4 and group.counts["cut off"] > 40
    assert group.counts["heads killed"] and group.counts["heads frozen"] + group.counts["heads cut"]


def test_heads_that_keep_their_lease_for_ever_are_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the lease's end a head that is cut off goes on in full behind the back of a newer version."""
    whole = Taking.config
    monkeypatch.setattr(Taking, "config", lambda self, now: whole(self, min(now, self.lease_until - 1.0)))
    with pytest.raises(OverLimit):
        play(2, 40, 8.0)


def test_a_leader_that_waits_for_no_lease_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Leases, "runs_until", lambda self, head: 0.0)
    with pytest.raises(OverLimit):
        play(2, 40, 8.0)
