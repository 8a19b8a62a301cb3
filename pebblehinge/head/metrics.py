"""What a head tells prometheus: read from its books when asked, at no cost to a request."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric, SummaryMetricFamily

from pebblehinge.head.server import HeadServer
from pebblehinge.net import parse_address


class HeadMetrics:
    """A collector over one head."""

    def __init__(self, head: HeadServer) -> None:
        self.head = head

    def collect(self) -> Iterator[Metric]:
        core, head = self.head.core, self.head
        answers = CounterMetricFamily("pebblehinge_accesses", "Accesses by how they ended", labels=["end"])
        for end, count in core.counts.by_word().items():
            answers.add_metric([end.replace(" ", "_")], count)
        yield answers
        why = CounterMetricFamily("pebblehinge_not_honoured", "By the module's reason", labels=["why"])
        for reason, count in list(core.reasons.items()):
            why.add_metric([reason], count)
        yield why
        attempts = CounterMetricFamily("pebblehinge_trips", "Trips by outcome", labels=["outcome"])
        for outcome, count in core.outcomes.items():
            attempts.add_metric([outcome.value], count)
        yield attempts
        yield CounterMetricFamily("pebblehinge_further_trips", "Trips beyond an access's first", value=core.retries)
        yield CounterMetricFamily("pebblehinge_wakes", "Wakes of the module", value=core.wakes)
        yield CounterMetricFamily("pebblehinge_client_faults", "Clients cut for what they sent", value=head.faults)
        yield GaugeMetricFamily("pebblehinge_open", "Accesses taken and not answered", value=core.open)
        yield GaugeMetricFamily("pebblehinge_held_bytes", "Payload held for open accesses", value=core.bytes)
        yield GaugeMetricFamily("pebblehinge_connections", "Connections of clients", value=len(head.conns))
        if head.door is not None:
            transfers = CounterMetricFamily("pebblehinge_transfers", "Rsync transfers by their end", labels=["end"])
            for end in ("completed", "failed", "refused"):
                transfers.add_metric([end], head.door.counts[end])
            yield transfers
            yield CounterMetricFamily("pebblehinge_saves", "Files saved", value=head.door.counts["saves"])
            yield GaugeMetricFamily("pebblehinge_transfers_open", "Transfers under way", value=head.door.transfers)
            window = head.door.sharing.window
            yield GaugeMetricFamily("pebblehinge_transfer_window", "Accesses that transfers may have out", value=window)
        module = core.module.shelfs
        held = GaugeMetricFamily("pebblehinge_shelf_held", "Accesses held, by shelf", labels=["shelf"])
        away = GaugeMetricFamily("pebblehinge_shelf_away", "Trips out, by shelf", labels=["shelf"])
        for s, name in enumerate(list(module.names)):
            held.add_metric([name], len(module.queued[s]))
            away.add_metric([name], len(module.in_flight[s]))
        yield held
        yield away
        latency = head.latency
        family = SummaryMetricFamily("pebblehinge_latency_seconds", "From taking to the honoured answer")
        count = latency.get_total_count()
        family.add_metric([], count, latency.get_mean_value() * count / 1e6 if count else 0.0)
        yield family
        quantiles = GaugeMetricFamily("pebblehinge_latency_quantile_seconds", "The same", labels=["quantile"])
        for q in (50.0, 99.0, 99.9):
            quantiles.add_metric([f"{q / 100:g}"], latency.get_value_at_percentile(q) / 1e6 if count else 0.0)
        yield quantiles


def serve_metrics(head: HeadServer, address: str) -> Any:
    """Answers scrapes from a thread of its own; raises OSError where the address is taken."""
    registry = CollectorRegistry()
    registry.register(HeadMetrics(head))
    host, port = parse_address(address)
    server, _ = start_http_server(port, host, registry)
    return server
