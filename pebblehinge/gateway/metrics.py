"""The Prometheus metrics of a gateway, which are read from its state at each scrape, at no cost to a request."""

from __future__ import annotations

from collections.abc import Iterator
from wsgiref.simple_server import WSGIServer

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

from pebblehinge.gateway.rsync_listener import RsyncListener
from pebblehinge.gateway.server import GatewayServer
from pebblehinge.net import parse_address

QUANTILES = (50.0, 99.0, 99.9)
"""The quantiles of the latency that are exported, in per cent."""


class GatewayMetrics(Collector):
    """The collector of one gateway's metrics."""

    def __init__(self, gateway: GatewayServer) -> None:
        self.gateway = gateway

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics with their present values."""
        yield from self._requests()
        if self.gateway.rsync_listener is not None:
            yield from _transfers(self.gateway.rsync_listener)
        yield from self._storage_nodes()
        yield from self._latency()

    def _requests(self) -> Iterator[Metric]:
        core, gateway = self.gateway.core, self.gateway
        answers = CounterMetricFamily("pebblehinge_accesses", "Accesses by how they ended", labels=["end"])
        for end, count in core.counts.by_label().items():
            answers.add_metric([end.replace(" ", "_")], count)
        yield answers
        reasons = CounterMetricFamily("pebblehinge_not_honoured", "By the module's reason", labels=["why"])
        for reason, count in list(core.reason_counts.items()):
            reasons.add_metric([reason], count)
        yield reasons
        attempts = CounterMetricFamily("pebblehinge_trips", "Trips by outcome", labels=["outcome"])
        for outcome, count in core.outcome_counts.items():
            attempts.add_metric([outcome.value], count)
        yield attempts
        yield CounterMetricFamily("pebblehinge_further_trips", "Trips beyond an access's first", value=core.retry_count)
        yield CounterMetricFamily("pebblehinge_wakes", "Wakes of the module", value=core.wake_up_count)
        yield CounterMetricFamily(
            "pebblehinge_client_faults", "Clients cut for what they sent", value=gateway.failed_connection_count
        )
        yield GaugeMetricFamily("pebblehinge_open", "Accesses taken and not answered", value=core.open_count)
        yield GaugeMetricFamily("pebblehinge_held_bytes", "Payload held for open accesses", value=core.payload_bytes)
        yield GaugeMetricFamily(
            "pebblehinge_connections", "Connections of clients", value=len(gateway.client_connections)
        )

    def _storage_nodes(self) -> Iterator[Metric]:
        nodes = self.gateway.core.scheduler.nodes
        queued = GaugeMetricFamily("pebblehinge_shelf_held", "Accesses held, by shelf", labels=["shelf"])
        in_flight = GaugeMetricFamily("pebblehinge_shelf_away", "Trips out, by shelf", labels=["shelf"])
        for index, name in enumerate(list(nodes.names)):
            queued.add_metric([name], len(nodes.queues[index]))
            in_flight.add_metric([name], len(nodes.in_flight[index]))
        yield queued
        yield in_flight

    def _latency(self) -> Iterator[Metric]:
        latency_histogram = self.gateway.latency_histogram
        summary = SummaryMetricFamily("pebblehinge_latency_seconds", "From taking to the honoured answer")
        count = latency_histogram.get_total_count()
        summary.add_metric([], count, latency_histogram.get_mean_value() * count / 1e6 if count else 0.0)
        yield summary
        quantiles = GaugeMetricFamily("pebblehinge_latency_quantile_seconds", "The same", labels=["quantile"])
        for percent in QUANTILES:
            value = latency_histogram.get_value_at_percentile(percent) / 1e6 if count else 0.0
            quantiles.add_metric([f"{percent / 100:g}"], value)
        yield quantiles


def _transfers(listener: RsyncListener) -> Iterator[Metric]:
    transfers = CounterMetricFamily("pebblehinge_transfers", "Rsync transfers by their end", labels=["end"])
    for end in ("completed", "failed", "refused"):
        transfers.add_metric([end], listener.counts[end])
    yield transfers
    yield CounterMetricFamily("pebblehinge_saves", "Files saved", value=listener.counts["saves"])
    yield GaugeMetricFamily("pebblehinge_transfers_open", "Transfers under way", value=listener.transfer_count)
    window = listener.request_scheduler.window
    yield GaugeMetricFamily("pebblehinge_transfer_window", "Accesses that transfers may have out", value=window)


def serve_metrics(gateway: GatewayServer, address: str) -> WSGIServer:
    """Serves the metrics by HTTP at `address`, in a thread of its own; raises OSError if the address is in use."""
    registry = CollectorRegistry()
    registry.register(GatewayMetrics(gateway))
    host, port = parse_address(address)
    server, _ = start_http_server(port, host, registry)
    return server
