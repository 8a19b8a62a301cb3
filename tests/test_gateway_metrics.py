"""Metrics of a running gateway, as a collector scrapes them."""

from __future__ import annotations

from helpers import Rig, run_with_rig, until
from prometheus_client import CollectorRegistry
from raw_frames import LOOK_OPTIONS, NO_ANSWER

from pebblehinge.gateway.metrics import GatewayMetrics

METRIC_NAMES = [
    "pebblehinge_accesses",
    "pebblehinge_not_honoured",
    "pebblehinge_trips",
    "pebblehinge_further_trips",
    "pebblehinge_wakes",
    "pebblehinge_client_faults",
    "pebblehinge_open",
    "pebblehinge_held_bytes",
    "pebblehinge_connections",
    "pebblehinge_shelf_held",
    "pebblehinge_shelf_away",
    "pebblehinge_latency_seconds",
    "pebblehinge_latency_quantile_seconds",
]


def test_metrics_have_their_names_and_count_requests_and_nodes() -> None:
    """Every scrape fails if the collector reads an attribute that the node table does not have."""

    async def script(rig: Rig) -> None:
        client = await rig.client()
        assert (await client.read("v", "x", 1, **LOOK_OPTIONS)).succeeded
        rig.nodes[0].on_attempt = NO_ANSWER
        client.read("v", "y", 1, **LOOK_OPTIONS)
        await until(lambda: len(rig.nodes[0].attempts) == 2)
        registry = CollectorRegistry()
        registry.register(GatewayMetrics(rig.gateway))
        assert [metric.name for metric in registry.collect()] == METRIC_NAMES
        sample = registry.get_sample_value
        assert sample("pebblehinge_accesses_total", {"end": "taken"}) == 2.0
        assert sample("pebblehinge_accesses_total", {"end": "honoured"}) == 1.0
        assert sample("pebblehinge_accesses_total", {"end": "pushed_back"}) == 0.0
        assert sample("pebblehinge_trips_total", {"outcome": "honoured"}) == 1.0
        assert sample("pebblehinge_open") == 1.0 and sample("pebblehinge_connections") == 1.0
        assert sample("pebblehinge_shelf_held", {"shelf": "s1"}) == 0.0
        assert sample("pebblehinge_shelf_away", {"shelf": "s1"}) == 1.0
        assert sample("pebblehinge_latency_seconds_count") == 1.0
        assert (sample("pebblehinge_latency_quantile_seconds", {"quantile": "0.5"}) or 0.0) > 0.0

    run_with_rig(script)
