"""Periodic summary of what has happened, as fields of a log line."""

from __future__ import annotations

from pebblehinge.core import RequestTable
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.connection_registry import ConnectionRegistry


class Summary:
    """Counters of one gateway, and what they were at the last line."""

    __slots__ = ("core", "registry", "pools", "last_counts")

    def __init__(self, core: RequestTable, registry: ConnectionRegistry, pools: ConnectionPools) -> None:
        self.core = core
        self.registry = registry
        self.pools = pools
        self.last_counts: dict[str, int] = {}

    def increments(self) -> dict[str, int]:
        """Return by how much each counter has grown since the last call, but for those that have not."""
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
        """Return the present state; `lateness_ms` is the loop's lateness."""
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
