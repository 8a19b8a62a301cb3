"""Decides whether a freed place at a node is kept for the next request of the extent that freed it.

This is anticipatory scheduling after Iyer and Druschel's paper, section 3.3; see docs/design.md.
"""

from __future__ import annotations

from pebblehinge.decide.node_health import NodeHealth
from pebblehinge.decide.request import ExtentState, Request
from pebblehinge.scheduler_state import ChangeSet


class Anticipation:
    """Keeps places under the concurrency limit free for sequential requests, which a node serves faster.

    Args:
        nodes: The nodes and their health.
        extents: What is known of extents.
        change_set: Receives requests for wake-ups.
    """

    def __init__(self, nodes: NodeHealth, extents: dict[str, ExtentState], change_set: ChangeSet) -> None:
        self.nodes = nodes
        self.extents = extents
        self.change_set = change_set

    def try_reserve(self, node: int, candidate: Request, finished_extent: str, now: float) -> bool:
        """Reserves the freed place for the extent's next request if the benefit exceeds the cost (paper, 3.3).

        The benefit is the time that the node saves on a sequential request compared with the candidate; the cost is the
        median time until the extent's next request.

        Args:
            node: Index of the node.
            candidate: The request that would be sent otherwise.
            finished_extent: The extent whose request has just been answered.
            now: Current time in milliseconds.

        Returns:
            Whether the place was reserved.
        """
        state = self.extents.get(finished_extent)
        sequential_ms = self.nodes.sequential_latency_ms[node]
        if (
            state is None
            or state.open_requests
            or state.idle_since_ms is None
            or not state.think_time_counts
            or not sequential_ms
        ):
            return False  # without an average latency the benefit counts as 0
        is_sequential = candidate.extent == self.nodes.last_extent[node]
        expected_ms = sequential_ms if is_sequential else self.nodes.random_latency_ms[node]
        elapsed_ms = now - state.idle_since_ms
        until_ms = state.idle_since_ms + state.think_time_quantile(0.95)
        if expected_ms - sequential_ms <= max(0.0, state.think_time_quantile(0.5) - elapsed_ms) or until_ms <= now:
            return False
        self.nodes.reservations[node].append((finished_extent, until_ms))
        self.change_set.request_wake_up(until_ms, node)
        return True
