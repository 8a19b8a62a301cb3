"""Periodic summary of the gateway's counters and gauges, as fields of a log line."""

from __future__ import annotations

from pebblehinge.core import RequestTable
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.connection_registry import ConnectionRegistry


class Summary:
    """Reads the counters and gauges of one gateway; remembers the counters for the next summary."""

    __slots__ = ("core", "registry", "pools", "last_counts")

    def __init__(self, core: RequestTable, registry: ConnectionRegistry, pools: ConnectionPools) -> None:
        self.core = core
        self.registry = registry
        self.pools = pools
        self.last_counts: dict[str, int] = {}

    def increments(self) -> dict[str, int]:
        """Returns the increase of each counter since the last call, without the counters that have not changed."""
        counts: dict[str, int] = {
            **self.core.counts.by_label(),
            **{outcome.value: count for outcome, count in self.core.outcome_counts.items()},
            **self.core.reason_counts,
            "errors": self.registry.protocol_error_count,
            **self.pools.response_counts,
        }
        last_counts = self.last_counts
        self.last_counts = counts
        return {
            key: count - last_counts.get(key, 0) for key, count in counts.items() if count != last_counts.get(key, 0)
        }

    def gauges(self, lateness_ms: float) -> dict[str, object]:
        """Returns the current values of the gauges; `lateness_ms` is the lateness of the event loop."""
        return {
            "open": self.core.open_count,
            "in_flight": self.pools.attempt_count,
            "clients": self.registry.connection_count,
            "incomplete": len(self.registry.incomplete_group),
            "idle": len(self.registry.idle_group),
            "reclaimed": self.registry.reclaimed_count,
            "unserved": self.registry.unserved_count,
            "abandoned": self.registry.skipped_attempt_count,
            "shelf_connections": self.pools.connection_count,
            "late_ms": round(lateness_ms),
        }
