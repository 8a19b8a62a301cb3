"""A storage node's health as the gateway's scheduler sees it."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from pebblehinge.decide import MAX_CONCURRENCY


class NodeHealth(StrEnum):
    """A storage node's health; the values are the words of the console."""

    AWAY = "away"
    DOWN = "down"
    WARMING_UP = "cold"
    SLOW = "slow"
    HEALTHY = "well"


class HealthReport(NamedTuple):
    """A health and the reason for it, empty if it is healthy."""

    health: NodeHealth
    reason: str


def node_health(nodes: Any, node: int, now_ms: float) -> HealthReport:
    """The health of one storage node.

    Args:
        nodes: The scheduler's node table.
        node: The storage node's index in it.
        now_ms: The present, by the scheduler's clock.
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
