"""The harness of benchmarks/decisions_at_size.py: what it measures is the module's doing and not its own."""

from __future__ import annotations

import copy
import json
import math
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "benchmarks"))

import decisions_limits  # noqa: E402
import decisions_page  # noqa: E402
import decisions_pools  # noqa: E402
from decisions_learning import Learning  # noqa: E402
from decisions_limits import BURST_S, SHAPES, Limits, slack_of  # noqa: E402

LIMIT = 500.0


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decisions_limits, "SPAN", 1_500.0)


def limits(heads: int, demand: float, shape: str, slack: str = "1 a head", **figures: int) -> dict[str, float]:
    return Limits(heads, 1, LIMIT, demand, shape, slack_of(slack, BURST_S * LIMIT, heads), **figures).figures()


def test_through_one_head_the_whole_limit_is_used_and_nothing_is_lost_under_it() -> None:
    over, under = limits(1, 1.5, "even"), limits(1, 0.9, "even")
    assert 0.97 <= over["used_of_limit"] <= 1.03
    assert under["lost_by_split"] == 0.0 and under["pushed_back"] == 0.0
    assert under["used_of_limit"] == under["keeper_of_limit"] > 0.8


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("heads", [12, 60])
def test_over_all_heads_the_limit_with_its_slack_is_never_passed(heads: int, shape: str) -> None:
    full = limits(heads, 4.0, shape, "0.1 of burst", full=True)["store_used"]  # all of the store is asked for
    assert 0.0 < full <= 1.0 and 0.0 < limits(heads, 0.9, shape, "4 a head")["store_used"] <= 1.0
    assert full > 0.9 or shape != "even"


def test_heads_that_are_given_the_whole_limit_each_are_seen_to_pass_it() -> None:
    assert limits(40, 3.0, "even", set_size=1)["store_used"] > 1.0
    assert (
        limits(40, 3.0, "even", set_size=36)["store_used"]
        <= 1.0
        < limits(40, 6.0, "even", set_size=36, full=True)["store_used"]
    )


def test_a_limit_that_leaves_a_head_less_than_one_access_lets_nothing_through() -> None:
    assert limits(900, 0.5, "even", "0.1 of burst")["used_of_limit"] == 0.0  # 825 units of burst and slack
    assert limits(800, 0.5, "even", "0.1 of burst")["used_of_limit"] > 0.1


def test_the_same_seed_gives_the_same_figures_and_another_seed_others() -> None:
    runs = [Limits(12, seed, LIMIT, 0.9, "zipf", 12.0).figures() for seed in (1, 1, 2)]
    assert runs[0] == runs[1] != runs[2]


def test_the_page_has_the_tables_of_its_data_and_no_other() -> None:
    page, data = decisions_page.PAGE.read_text(), json.loads(decisions_page.DATA.read_text())
    marked = decisions_page.TABLE.findall(page)
    assert sorted(name for name, _ in marked) == sorted(data)
    assert decisions_page.filled(page, data) == page
    other = copy.deepcopy(data)
    other["pools"]["points"][0]["y"]["head_connections"] += 1
    assert decisions_page.filled(page, other) != page


def test_pools_by_hand() -> None:
    """Of attempts that take no time one connection does: held unless none came within what is kept, then dialled."""
    held, dials = decisions_pools.pair(2.0, 0.5, 0.0)
    assert math.isclose(held, 1 - math.exp(-1.0)) and math.isclose(dials, 2.0 * math.exp(-1.0))
    assert decisions_pools.pair(2.0, 0.5, 0.1)[0] > held
    capped = decisions_pools.in_service(910, "even", 30.0, 1_024)
    assert capped["head_connections"] == 384 and capped["head_dials_s"] > 600.0


def test_a_head_that_asks_often_learns_of_a_shelf_that_hangs_and_uses_it_again() -> None:
    found = Learning(6, 1, "hang", 10.0, "even").figures()
    assert found["learned"] == found["again"] == 1.0 and found["learned_p99_ms"] < 2_000
    assert 0 < found["lost_before"] < found["asked"]
    assert Learning(6, 1, "hang", 10.0, "even").figures() == found
