"""Periodic summary of what has happened, as fields of a log line."""

from __future__ import annotations

from pebblehinge.core import RequestTable
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.connection_registry import ConnectionRegistry


class Summary:
    """Counters of one gateway, and what they were at the last line."""

    __slots__ = ("core", "registry", "pools", "last")

    def __init__(self, core: RequestTable, registry: ConnectionRegistry, pools: ConnectionPools) -> None:
        self.core = core
        self.registry = registry
        self.pools = pools
        self.last: dict[str, int] = {}

    def increments(self) -> dict[str, int]:
        """Return by how much each counter has grown since the last call, but for those that have not."""
        sums: dict[str, int] = {
            **self.core.counts.by_label(),
            **{outcome.value: count for outcome, count in self.core.outcome_counts.items()},
            **self.core.reason_counts,
            "errors": self.registry.protocol_errors,
            **self.pools.responses,
        }
        last = self.last
        self.last = sums
        return {key: count - last.get(key, 0) for key, count in sums.items() if count != last.get(key, 0)}

    def gauges(self, late_ms: float) -> dict[str, object]:
        """Return the present state; `late_ms` is the loop's lateness."""
        return {
            "open": self.core.open_count,
            "in_flight": self.pools.attempts,
            "clients": self.registry.count,
            "incomplete": len(self.registry.incomplete),
            "idle": len(self.registry.idle),
            "reclaimed": self.registry.reclaimed,
            "unserved": self.registry.unserved,
            "abandoned": self.registry.abandoned,
            "shelf_connections": self.pools.connections,
            "late_ms": round(late_ms),
        }
