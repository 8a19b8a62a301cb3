"""Whether a freed slot waits for the next request of the extent that freed it (paper 3.3)."""

from __future__ import annotations

from pebblehinge.decide.node_health import NodeHealth
from pebblehinge.decide.request import ExtentState, Request
from pebblehinge.scheduler_state import ChangeSet


class Anticipation:
    """Keeps slots free for sequential requests, which a node serves faster.

    Args:
        shelfs: the nodes and their health.
        extents: what is known of extents.
        notes: gets the wake-ups.
    """

    def __init__(self, shelfs: NodeHealth, extents: dict[str, ExtentState], notes: ChangeSet) -> None:
        self.nodes = shelfs
        self.extents = extents
        self.change_set = notes

    def try_reserve(self, node: int, candidate: Request, done: str, now: float) -> bool:
        """Weighs benefit against cost (paper 3.3) of keeping the freed slot for the extent's next request.

        Returns:
            Whether the wait pays; the slot is then reserved.
        """
        state = self.extents.get(done)
        sequential_ms = self.nodes.sequential_latency_ms[node]
        if (
            state is None
            or state.open_requests
            or state.idle_since_ms is None
            or not state.think_time_counts
            or not sequential_ms
        ):
            return False  # without an average the benefit is 0 (design)
        is_sequential = candidate.extent == self.nodes.last_extent[node]
        expected_ms = sequential_ms if is_sequential else self.nodes.random_latency_ms[node]
        elapsed_ms = now - state.idle_since_ms
        until_ms = state.idle_since_ms + state.think_time_quantile(0.95)
        if expected_ms - sequential_ms <= max(0.0, state.think_time_quantile(0.5) - elapsed_ms) or until_ms <= now:
            return False
        self.nodes.reservations[node].append((done, until_ms))
        self.change_set.request_wake_up(until_ms, node)
        return True
