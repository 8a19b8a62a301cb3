"""State of a gateway that the console shows, as plain values. No I/O: all viewers share a snapshot."""

from __future__ import annotations

from itertools import islice
from typing import Any

from pebblehinge import __version__
from pebblehinge.console.event_history import EventHistory
from pebblehinge.console.node_health import NodeHealth, node_health
from pebblehinge.console.rows import NodeRow, Snapshot, VolumeRow

MAX_VOLUMES = 50
"""Volumes in a snapshot: those that were used most recently."""

PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}
MIN_RATE_INTERVAL_S = 1e-3
"""Shortest time over which rates are computed."""


class GatewayView:
    """Source of snapshots of one gateway, whose rates refer to the time since the previous snapshot.

    Args:
        gateway: The server of the gateway, which is only read.

    Attributes:
        event_history: The changes of health that snapshots have found.
        health_by_node: Health of each storage node in the last snapshot, by the node's name.
    """

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway
        self.event_history = EventHistory()
        self.health_by_node: dict[str, str] = {}
        self._last_counts: dict[str, int] = {}
        self._last_snapshot_ms = 0.0

    def node_rows(self, now_ms: float) -> list[NodeRow]:
        """Returns all storage nodes as this gateway sees them, in the order of their slots."""
        nodes = self.gateway.core.scheduler.nodes
        rows = []
        for node, name in enumerate(nodes.names):
            report = node_health(nodes, node, now_ms)
            rows.append(
                NodeRow(
                    name=name,
                    slot=nodes.slots[node],
                    health=report.health.value,
                    why=report.reason,
                    held=len(nodes.queues[node]),
                    out=len(nodes.in_flight[node]),
                    mean_ms=round(nodes.mean_latency(node, now_ms), 1),
                )
            )
        return sorted(rows, key=lambda row: row["slot"])

    def volume_rows(self) -> list[VolumeRow]:
        """Returns the most recently used volumes, the latest first, with this gateway's part of their quotas."""
        buckets = self.gateway.core.scheduler.dispatcher.valuation.buckets
        return [self._volume_row(name, buckets[name]) for name in islice(reversed(list(buckets)), MAX_VOLUMES)]

    def snapshot(self) -> Snapshot:
        """Returns a snapshot of the gateway; cheap enough to be taken twice a second."""
        gateway = self.gateway
        core = gateway.core
        now_ms = gateway.clock()
        counts = core.counts.by_label()
        rates = self._rates(counts, now_ms)
        nodes = self.node_rows(now_ms)
        self._record_health_changes(nodes, now_ms)
        snapshot = Snapshot(
            head=gateway.name,
            version=__version__,
            now_ms=round(now_ms, 1),
            stopping=core.stopping,
            open=core.open_count,
            held_bytes=core.payload_bytes,
            connections=len(gateway.client_connections),
            counts=counts,
            a_second=rates,
            further_trips=core.retry_count,
            outcomes={outcome.value: count for outcome, count in core.outcome_counts.items()},
            refused_because=dict(core.reason_counts),
            latency_ms=self._latencies(),
            waits=sum(len(reserved) for reserved in core.scheduler.nodes.reservations),
            shelfs=nodes,
            volumes=self.volume_rows(),
            events=self.event_history.latest(),
        )
        if gateway.rsync_listener is not None:
            snapshot["transfers"] = _transfer_values(gateway.rsync_listener)
        if gateway.write_back is not None:
            snapshot["journal"] = _journal_values(gateway.write_back)
        if gateway.config_status:
            snapshot["configuration"] = gateway.config_status
        return snapshot

    def _volume_row(self, name: str, buckets: Any) -> VolumeRow:
        config = self.gateway.config
        volume = config.volume.get(name)
        plan = config.plan.get(volume.plan) if volume is not None else None
        return VolumeRow(
            name=name,
            plan=volume.plan if volume is not None else "",
            limit=plan.limit if plan else 0.0,
            units=round(buckets.limit_tokens, 1) if plan and plan.limit else None,
            reserve=round(buckets.reserve_tokens, 1),
            share=round(buckets.share_tokens, 1),
        )

    def _rates(self, counts: dict[str, int], now_ms: float) -> dict[str, float]:
        """Returns the rate per second of each count since the last snapshot; 0 in the first snapshot."""
        if self._last_snapshot_ms:
            seconds = max(MIN_RATE_INTERVAL_S, (now_ms - self._last_snapshot_ms) / 1000.0)
            rates = {
                name: round((count - self._last_counts.get(name, 0)) / seconds, 1) for name, count in counts.items()
            }
        else:
            rates = dict.fromkeys(counts, 0.0)
        self._last_counts = counts
        self._last_snapshot_ms = now_ms
        return rates

    def _record_health_changes(self, nodes: list[NodeRow], now_ms: float) -> None:
        """Adds an event for each storage node whose health has changed, and for each new one that is not healthy."""
        for row in nodes:
            previous_health = self.health_by_node.get(row["name"], NodeHealth.HEALTHY.value)
            if previous_health != row["health"]:
                previous_label = self.health_by_node.get(row["name"], "new")
                self.event_history.add(
                    now_ms, f"{row['name']}: {previous_label} to {row['health']} {row['why']}".strip()
                )
        self.health_by_node = {row["name"]: row["health"] for row in nodes}

    def _latencies(self) -> dict[str, float]:
        """Returns percentiles of the latency of successful requests, in milliseconds."""
        histogram = self.gateway.latency_histogram  # in microseconds
        return {
            name: round(histogram.get_value_at_percentile(percentile) / 1000.0, 1)
            for name, percentile in PERCENTILES.items()
        }


def _transfer_values(rsync: Any) -> dict[str, Any]:
    """Returns the state of the rsync listener's transfers."""
    return {
        "open": rsync.transfer_count,
        **rsync.counts,
        "window": round(rsync.request_scheduler.window, 1),
        "late_ms": round(rsync.loop_lag_ms, 1),
    }


def _journal_values(write_back: Any) -> dict[str, Any]:
    """Returns the state of the write-back journal."""
    return {
        "dirty": len(write_back.dirty),
        "dirty_bytes": write_back.dirty.bytes,
        **write_back.counts,
        "bytes": write_back.journal.size(),
        "failed": str(write_back.committer.failure or ""),
    }
