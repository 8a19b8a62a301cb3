"""Health of a storage node as the gateway's scheduler sees it."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from pebblehinge.decide import MAX_CONCURRENCY


class NodeHealth(StrEnum):
    """Health of a storage node; the values are the words in the console's JSON."""

    AWAY = "away"
    DOWN = "down"
    WARMING_UP = "cold"
    SLOW = "slow"
    HEALTHY = "well"


class HealthReport(NamedTuple):
    """Health of a storage node, and the reason for it, which is empty for a healthy node."""

    health: NodeHealth
    reason: str


def node_health(nodes: Any, node: int, now_ms: float) -> HealthReport:
    """Returns the health of one storage node.

    Args:
        nodes: The scheduler's node table.
        node: Index of the storage node in this table.
        now_ms: Current time by the scheduler's clock, in milliseconds.
    """
    if not nodes.ready[node]:
        return HealthReport(NodeHealth.AWAY, "not ready in the list")
    if nodes.unreachable[node]:
        return HealthReport(NodeHealth.DOWN, "connections fail; one careful trip at a time")
    if nodes.is_down(node, now_ms):
        losses = nodes.consecutive_losses[node]
        return HealthReport(NodeHealth.DOWN, f"{losses} trips lost in a row, or silent with trips out")
    slow_start_ms = nodes.slow_start_since_ms[node]
    if slow_start_ms is not None and now_ms - slow_start_ms < nodes.settings.current.slow_start_duration_ms:
        return HealthReport(NodeHealth.WARMING_UP, f"{(now_ms - slow_start_ms) / 1000:.1f} s since its start")
    limit = nodes.concurrency_limit[node]
    if limit < MAX_CONCURRENCY:
        return HealthReport(NodeHealth.SLOW, f"trips take long: {limit} at a time")
    return HealthReport(NodeHealth.HEALTHY, "")
