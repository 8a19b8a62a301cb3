"""What a scheduler has learned, packed for a later incarnation.

Times are packed as ages, since the two incarnations need not share a clock. The keys of the packed form are those of
the stored file and of the wire, and differ from the names here.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from pebblehinge.scheduler_state.node_table import NodeTable
from pebblehinge.scheduler_state.token_buckets import TokenBuckets


class NodeSnapshot(NamedTuple):
    """What an earlier incarnation knew of a node.

    Attributes:
        random_latency_ms: Moving average over random accesses, 0 if unknown.
        sequential_latency_ms: The same over sequential accesses.
        mean_latency_ms: Moving average per request of mean size.
        mean_updated_ms: When that average was last updated, on the present clock.
        unrounded_limit: The concurrency limit before rounding.
        slow_start_since_ms: Start of the slow start on the present clock, None outside one.
        process: Slot and start of the node's process, None if they were not packed.
        freshness: How much of it still counts, 0 to 1.
    """

    random_latency_ms: float
    sequential_latency_ms: float
    mean_latency_ms: float
    mean_updated_ms: float
    unrounded_limit: float
    slow_start_since_ms: float | None
    process: tuple[int, float] | None
    freshness: float

    @classmethod
    def unpack(
        cls, row: list[float], process: tuple[int, float] | None, packed_ms: float, freshness: float
    ) -> NodeSnapshot:
        """Returns what a node's row tells.

        Args:
            row: The node's figures as `pack_snapshot` wrote them; ages are before `packed_ms`, negative for none.
            process: Slot of its process and age of its start; None in snapshots of older versions.
            packed_ms: When it was packed, in milliseconds on the present clock.
            freshness: How much of it still counts, 0 to 1.
        """
        random_ms, sequential_ms, mean_ms, mean_age_ms, unrounded_limit, slow_start_age_ms = row
        if process is not None:
            slot, start_age_ms = process
            process = None if slot < 0 else (slot, packed_ms - start_age_ms if start_age_ms >= 0 else 0.0)
        since_ms = packed_ms - slow_start_age_ms if slow_start_age_ms >= 0 else None
        return cls(
            random_ms,
            sequential_ms,
            mean_ms,
            packed_ms - mean_age_ms,
            unrounded_limit,
            since_ms,
            process,
            freshness,
        )


class FleetStatistics(NamedTuple):
    """What a scheduler knows of all nodes and requests together.

    Attributes:
        mean_ms: Mean latency over all nodes.
        mean_updated_ms: When that mean was last updated.
        low_quartile_ms: Lower quartile of the latencies of all nodes.
        mean_value_per_unit: Moving average over requests.
    """

    mean_ms: float
    mean_updated_ms: float
    low_quartile_ms: float
    mean_value_per_unit: float


def _age_or_minus_1(now: float, since_ms: float | None) -> float:
    return -1.0 if since_ms is None else now - since_ms


def pack_snapshot(
    now: float,
    nodes: NodeTable[Any],
    fleet: FleetStatistics,
    think_times: dict[str, dict[int, float]],
    volume_buckets: dict[str, TokenBuckets],
    retry_times_ms: deque[float],
) -> dict[str, Any]:
    """Packs what a later incarnation needs to know, as plain values.

    Args:
        now: Current time in milliseconds.
        nodes: The node table.
        fleet: Statistics over all nodes.
        think_times: Counts of think times by bucket, for each extent.
        volume_buckets: Token buckets by volume.
        retry_times_ms: When the retries that the retry budget still counts were sent.

    Returns:
        The stored form: figures and processes of nodes, statistics of the fleet, think times, limits and retries.
    """
    node_figures = {
        name: [
            nodes.random_latency_ms[index],
            nodes.sequential_latency_ms[index],
            nodes.mean_latency_ms[index],
            now - nodes.mean_updated_ms[index],
            nodes.unrounded_limit[index],
            _age_or_minus_1(now, nodes.slow_start_since_ms[index]),
        ]
        for index, name in enumerate(nodes.names)
        if nodes.mean_latency_ms[index] or nodes.slow_start_since_ms[index] is not None
    }
    processes = {
        name: [nodes.slots[index], now - nodes.started_ms[index] if nodes.started_ms[index] else -1.0]
        for name, index in nodes.index.items()
        if name in node_figures
    }
    return {
        "shelfs": node_figures,
        "lives": processes,
        "every": [fleet.mean_ms, now - fleet.mean_updated_ms, fleet.low_quartile_ms, fleet.mean_value_per_unit],
        "thinks": think_times,
        "limits": {
            volume: [buckets.limit_tokens, now - buckets.filled_until_ms] for volume, buckets in volume_buckets.items()
        },
        "further": [now - sent_ms for sent_ms in retry_times_ms],
    }
