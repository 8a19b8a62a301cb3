"""Periodic summary of the gateway's counters and gauges, as fields of a log line."""

from __future__ import annotations

from pebblehinge.core import RequestTable
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.lateness import Lateness
from pebblehinge.service.memory_budget import MIB


class Summary:
    """Reads the counters and gauges of one gateway; remembers the counters for the next summary."""

    __slots__ = ("core", "registry", "pools", "lateness", "last_counts")

    def __init__(
        self, core: RequestTable, registry: ConnectionRegistry, pools: ConnectionPools, lateness: Lateness
    ) -> None:
        self.core = core
        self.registry = registry
        self.pools = pools
        self.lateness = lateness
        self.last_counts: dict[str, int] = {}

    def increments(self) -> dict[str, int]:
        """Returns the increase of each counter since the last call, without the counters that have not changed."""
        core, registry, pools = self.core, self.registry, self.pools
        counts: dict[str, int] = {
            **core.counts.by_label(),
            **{outcome.value: count for outcome, count in core.outcome_counts.items()},
            **core.reason_counts,
            "errors": registry.protocol_error_count,
            **{f"error-{status}": count for status, count in registry.error_counts.items()},
            **registry.admission.refusals.by_label(),
            **registry.client_closes.by_label(),
            **pools.closes.by_label(),
            **pools.response_counts,
            "shelf-reads-paused": pools.response_flow.pause_count,
        }
        last_counts = self.last_counts
        self.last_counts = counts
        return {
            key: count - last_counts.get(key, 0) for key, count in counts.items() if count != last_counts.get(key, 0)
        }

    def gauges(self) -> dict[str, object]:
        """Returns the current values of the gauges; memory is in MiB, `ids` are those that are remembered."""
        core, registry, pools = self.core, self.registry, self.pools
        budget, request_ids = registry.memory_budget, registry.admission.request_ids
        return {
            "open": core.open_count,
            "in_flight": pools.attempt_count,
            "clients": registry.connection_count,
            "incomplete": len(registry.incomplete_group),
            "idle": len(registry.idle_group),
            "reclaimed": registry.reclaimed_count,
            "unserved": registry.unserved_count,
            "abandoned": registry.skipped_attempt_count,
            "shelf_connections": pools.connection_count,
            "late_ms": round(self.lateness.current_ms),
            "longest_turn_ms": round(self.lateness.take_longest_turn_ms()),
            "memory_mb": round(budget.resident_bytes / MIB, 1),
            "memory_limit_mb": budget.process_limit_bytes // MIB,
            "held_mb": round(budget.held_bytes / MIB, 2),
            "held_limit_mb": round(budget.budget_bytes / MIB, 2),
            "ids": request_ids.remembered_count,
            "ids_limit": request_ids.max_remembered,
        }
