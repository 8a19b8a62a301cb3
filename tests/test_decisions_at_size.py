"""Tests of the simulation of benchmarks/decisions_at_size.py: its figures show the decision module, not the harness."""

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
from decisions_learning import LearningScene  # noqa: E402
from decisions_limits import BURST_S, SHAPES, LimitsScene, slack_units  # noqa: E402

LIMIT = 500.0


@pytest.fixture(autouse=True)
def shorten_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decisions_limits, "RUN_LIMIT_UNITS", 1_500.0)


def run_limits(
    gateway_count: int, demand: float, shape: str, slack: str = "1 a head", **options: int
) -> dict[str, float]:
    return LimitsScene(
        gateway_count, 1, LIMIT, demand, shape, slack_units(slack, BURST_S * LIMIT, gateway_count), **options
    ).run()


def test_one_gateway_uses_the_whole_limit_and_loses_nothing_below_it() -> None:
    overload, underload = run_limits(1, 1.5, "even"), run_limits(1, 0.9, "even")
    assert 0.97 <= overload["used_of_limit"] <= 1.03
    assert underload["lost_by_split"] == 0.0 and underload["pushed_back"] == 0.0
    assert underload["used_of_limit"] == underload["keeper_of_limit"] > 0.8


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("gateway_count", [12, 60])
def test_all_gateways_together_never_exceed_limit_burst_and_slack(gateway_count: int, shape: str) -> None:
    # The demand is enough to use all of burst and slack.
    overload_use = run_limits(gateway_count, 4.0, shape, "0.1 of burst", starts_full=True)["store_used"]
    assert 0.0 < overload_use <= 1.0 and 0.0 < run_limits(gateway_count, 0.9, shape, "4 a head")["store_used"] <= 1.0
    assert overload_use > 0.9 or shape != "even"


def test_exceeding_the_limit_is_detected_when_gateways_assume_too_small_a_set() -> None:
    assert run_limits(40, 3.0, "even", set_size=1)["store_used"] > 1.0
    assert (
        run_limits(40, 3.0, "even", set_size=36)["store_used"]
        <= 1.0
        < run_limits(40, 6.0, "even", set_size=36, starts_full=True)["store_used"]
    )


def test_a_limit_below_one_request_per_gateway_admits_nothing() -> None:
    assert run_limits(900, 0.5, "even", "0.1 of burst")["used_of_limit"] == 0.0  # 825 units of burst and slack
    assert run_limits(800, 0.5, "even", "0.1 of burst")["used_of_limit"] > 0.1


def test_figures_are_the_same_for_equal_seeds_and_differ_for_others() -> None:
    runs = [LimitsScene(12, seed, LIMIT, 0.9, "zipf", 12.0).run() for seed in (1, 1, 2)]
    assert runs[0] == runs[1] != runs[2]


def test_the_page_has_exactly_the_tables_of_its_data() -> None:
    page, data = decisions_page.PAGE.read_text(), json.loads(decisions_page.DATA.read_text())
    tables = decisions_page.TABLE_PATTERN.findall(page)
    assert sorted(name for name, _ in tables) == sorted(data)
    assert decisions_page.render_page(page, data) == page
    changed_data = copy.deepcopy(data)
    changed_data["pools"]["points"][0]["y"]["head_connections"] += 1
    assert decisions_page.render_page(page, changed_data) != page


def test_pool_model_matches_a_calculation_by_hand() -> None:
    """Attempts of no duration need one connection: it is open if one came within the idle timeout, else dialled."""
    connections, dials_per_s = decisions_pools.pair_connections(2.0, 0.5, 0.0)
    assert math.isclose(connections, 1 - math.exp(-1.0)) and math.isclose(dials_per_s, 2.0 * math.exp(-1.0))
    assert decisions_pools.pair_connections(2.0, 0.5, 0.1)[0] > connections
    capped = decisions_pools.service_figures(910, "even", 30.0, 1_024)
    assert capped["head_connections"] == 384 and capped["head_dials_s"] > 600.0


def test_a_gateway_with_frequent_requests_detects_a_hung_node_and_uses_it_again() -> None:
    figures = LearningScene(6, 1, "hang", 10.0, "even").run()
    assert figures["learned"] == figures["again"] == 1.0 and figures["learned_p99_ms"] < 2_000
    assert 0 < figures["lost_before"] < figures["asked"]
    assert LearningScene(6, 1, "hang", 10.0, "even").run() == figures
