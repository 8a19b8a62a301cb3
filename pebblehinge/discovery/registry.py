"""Registry of the storage nodes' endpoints, which publishes each change after a delay. No I/O and no clock."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, replace
from enum import StrEnum

from pebblehinge.settings.schema import ListingBlock

UNKNOWN_START_MS = -1.0
"""Value of `Endpoint.started_ms` for a process that started long ago."""


class EndpointState(StrEnum):
    """State of an endpoint; the values are the words on the wire and in event logs."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Entry of the endpoint list, which describes one storage node.

    Attributes:
        node: The storage node's name.
        address: Address that it listens on, as `host:port`.
        state: Whether it accepts requests.
        slot: Its placement slot.
        started_ms: When its process started, by the registry's clock in milliseconds; negative if that was long ago.
    """

    node: str
    address: str
    state: EndpointState
    slot: int
    started_ms: float


class EndpointRegistry:
    """Registry that accepts changes immediately and publishes them later, those of one storage node in their order.

    Args:
        block: The ranges of the delays, in milliseconds.
        rng: Source of the delays.

    Attributes:
        published_endpoints: The published endpoints, also those that are gone, by the storage node's name.
        extra_delay_ms: Delay that is added to all others while a fault makes the list stale.
    """

    def __init__(self, block: ListingBlock, rng: random.Random) -> None:
        self.block = block
        self.rng = rng
        self.extra_delay_ms = 0.0
        self.published_endpoints: dict[str, Endpoint] = {}
        self._pending_changes: list[tuple[float, int, Endpoint]] = []  # heap of (due time, change number, change)
        self._change_count = 0
        self._last_due_ms: dict[str, float] = {}

    def register(
        self, now_ms: float, node: str, address: str, slot: int, started_ms: float, is_immediate: bool
    ) -> None:
        """Registers a running process.

        Args:
            now_ms: The current time, by the registry's clock.
            node: The storage node's name.
            address: Address that it listens on, as `host:port`.
            slot: Its placement slot.
            started_ms: When it started; negative if that was long ago.
            is_immediate: Whether it is published without a delay, as at the start of the whole fleet.
        """
        delay_ms = 0.0 if is_immediate else self.rng.uniform(*self.block.add)
        self._schedule(now_ms, delay_ms, Endpoint(node, address, EndpointState.READY, slot, started_ms))

    def set_state(self, now_ms: float, node: str, state: EndpointState) -> None:
        """Sets the state that a storage node reports of itself; an unknown node is ignored."""
        endpoint = self._latest(node)
        if endpoint is not None:
            delay_ms = self.rng.uniform(*self.block.drain)
            self._schedule(now_ms, delay_ms, replace(endpoint, state=state))

    def remove(self, now_ms: float, node: str) -> None:
        """Marks a storage node as gone, as its process has ended; an unknown node is ignored."""
        endpoint = self._latest(node)
        if endpoint is not None:
            delay_ms = self.rng.uniform(*self.block.notice)
            self._schedule(now_ms, delay_ms, replace(endpoint, state=EndpointState.GONE))

    def override_state(self, now_ms: float, node: str, state: EndpointState) -> None:
        """Publishes a state without a delay, even if it is wrong, to simulate a faulty list."""
        endpoint = self._latest(node)
        if endpoint is not None:
            self._schedule(now_ms, 0.0, replace(endpoint, state=state))

    def publish_due(self, now_ms: float) -> list[Endpoint]:
        """Publishes the changes that are due, and returns those that differ from the published endpoint."""
        changed_endpoints = []
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            endpoint = heapq.heappop(self._pending_changes)[2]
            if self.published_endpoints.get(endpoint.node) != endpoint:
                self.published_endpoints[endpoint.node] = endpoint
                changed_endpoints.append(endpoint)
        return changed_endpoints

    def next_due_ms(self) -> float | None:
        """Returns when the next change is due, in milliseconds, or None if there is none."""
        return self._pending_changes[0][0] if self._pending_changes else None

    def snapshot(self) -> list[Endpoint]:
        """Returns all published endpoints that are not gone, sorted by name."""
        return [
            endpoint
            for _, endpoint in sorted(self.published_endpoints.items())
            if endpoint.state is not EndpointState.GONE
        ]

    def _latest(self, node: str) -> Endpoint | None:
        """Returns the latest endpoint of a storage node, published or not."""
        pending = [
            (due_ms, number, endpoint) for due_ms, number, endpoint in self._pending_changes if endpoint.node == node
        ]
        return max(pending, key=lambda change: change[:2])[2] if pending else self.published_endpoints.get(node)

    def _schedule(self, now_ms: float, delay_ms: float, endpoint: Endpoint) -> None:
        earliest_ms = self._last_due_ms.get(endpoint.node, 0.0)
        due_ms = max(now_ms + delay_ms + self.extra_delay_ms, earliest_ms)
        self._last_due_ms[endpoint.node] = due_ms
        self._change_count += 1
        heapq.heappush(self._pending_changes, (due_ms, self._change_count, endpoint))
