"""What a scheduler has learned, packed for a later incarnation. Times are ages, since no clock needs to last.

The keys of the packed form are those of the stored file and of the wire; the names here are others.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from pebblehinge.scheduler_state.node_table import NodeTable
from pebblehinge.scheduler_state.token_buckets import TokenBuckets


class NodeSnapshot(NamedTuple):
    """What an earlier incarnation knew of a node; times in ms on the present clock."""

    random_latency_ms: float
    sequential_latency_ms: float
    mean_latency_ms: float
    mean_updated_ms: float
    unrounded_limit: float
    slow_start_since_ms: float | None  # since when
    process: tuple[int, float] | None  # its process's slot and start, where that was packed
    freshness: float  # how much of it still counts, 0 to 1

    @classmethod
    def unpack(cls, row: list[float], life: tuple[int, float] | None, then: float, left: float) -> NodeSnapshot:
        """Unpacks a node's row.

        Args:
            row: the node's figures as `pack` wrote them; ages are before `then`, under 0 is none.
            life: slot of its process and age of its start; None in snapshots of older versions.
            then: when it was packed, ms on the present clock.
            left: how much of it still counts, 0 to 1.
        """
        random_ms, sequential_ms, mean_ms, mean_age_ms, unrounded_limit, slow_start_age_ms = row
        if life is not None:
            slot, start_age_ms = life
            life = None if slot < 0 else (slot, then - start_age_ms if start_age_ms >= 0 else 0.0)
        slow_start_ms = then - slow_start_age_ms if slow_start_age_ms >= 0 else None
        return cls(random_ms, sequential_ms, mean_ms, then - mean_age_ms, unrounded_limit, slow_start_ms, life, left)


class FleetStatistics(NamedTuple):
    """What a scheduler knows of all nodes and requests together."""

    mean_ms: float
    mean_updated_ms: float
    low_quartile_ms: float
    mean_value_per_unit: float


def _age_or_none(now: float, since: float | None) -> float:
    return -1.0 if since is None else now - since


def pack_snapshot(
    now: float,
    nodes: NodeTable[Any],
    fleet: FleetStatistics,
    think_times: dict[str, dict[int, float]],
    limits: dict[str, TokenBuckets],
    retries: deque[float],
) -> dict[str, Any]:
    """Packs what is to be known to a later incarnation, as plain values.

    Args:
        now: clock, ms.
        nodes: the node table.
        fleet: figures over all nodes.
        think_times: by extent, the counts by bucket.
        limits: token buckets by volume.
        retries: when the retries that the retry budget still counts were sent, ms.

    Returns:
        The stored form: nodes' figures and processes, the fleet's, think times, limits and retries.
    """
    known = {
        name: [
            nodes.random_latency_ms[index],
            nodes.sequential_latency_ms[index],
            nodes.mean_latency_ms[index],
            now - nodes.mean_updated_ms[index],
            nodes.unrounded_limit[index],
            _age_or_none(now, nodes.slow_start_since_ms[index]),
        ]
        for index, name in enumerate(nodes.names)
        if nodes.mean_latency_ms[index] or nodes.slow_start_since_ms[index] is not None
    }
    processes = {
        name: [nodes.slots[index], now - nodes.started_ms[index] if nodes.started_ms[index] else -1.0]
        for name, index in nodes.index.items()
        if name in known
    }
    return {
        "shelfs": known,
        "lives": processes,
        "every": [fleet.mean_ms, now - fleet.mean_updated_ms, fleet.low_quartile_ms, fleet.mean_value_per_unit],
        "thinks": think_times,
        "limits": {volume: [buckets.limit_tokens, now - buckets.filled_until_ms] for volume, buckets in limits.items()},
        "further": [now - sent_ms for sent_ms in retries],
    }
