"""Accounting of waiting time: charges each millisecond that a request is queued or in flight to one cause.

While attempts of this gateway are in flight at the node of a queued request, the request waits for these attempts in
equal shares. While no attempt is in flight there, it waits for the gateway itself (the limit of its quota plan, the
slow start of the node, or a reserved slot). Attempts of the gateway that are in flight at the same node divide the time
there equally. Of the time that an attempt takes beyond the typical duration, the shares of the other attempts count as
waiting for those. The rest of the excess is charged to the node, and so is that fraction of the delay that the
attempt caused for queued requests; both are charged when the attempt ends. Retries are a cause of their own.

Memory is bounded: the accounting stores about `max_pairs` pairs of volume and cause, and merges the smallest ones.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from pebblehinge.wait_accounting.causes import GATEWAY, OTHERS, OWN_WORK, RETRIES, CauseKind, WaitCause

MAX_PAIRS = 12_288  # slightly more than 5 causes of 2,000 volumes; takes 1.5 MB
MERGE_DIVISOR = 4  # one in this many pairs is merged when the limit is reached
TYPICAL_TIME_STEP = 0.02  # one attempt changes the typical duration by half of this fraction
MAX_REPORTED_CAUSES = 8
MERGED_VOLUME = "others"  # the volume name of waiting time that was merged over several volumes


@dataclass(slots=True)
class TrackedAttempt:
    """One attempt in flight.

    Attributes:
        volume: Name of the volume of its request.
        units: Cost of its request in units.
        sent_ms: Clock time at which the attempt was sent.
        is_first: Whether it is the first attempt of its request.
        caused_delay_ms: Milliseconds for which the attempt delayed queued requests, by their volume.
        shared_ms: Milliseconds of its own time that are the shares of other attempts, by their volume.
    """

    volume: str
    units: float
    sent_ms: float
    is_first: bool
    caused_delay_ms: dict[str, float] = field(default_factory=dict)
    shared_ms: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class NodeState:
    """The state of one storage node at a clock time.

    Attributes:
        queued_by_volume: Number of requests queued for the node, by volume.
        in_flight: Attempts in flight at the node, by the key of their request.
        as_of_ms: Clock time up to which the time at the node is charged.
    """

    queued_by_volume: dict[str, int] = field(default_factory=dict)
    in_flight: dict[int, TrackedAttempt] = field(default_factory=dict)
    as_of_ms: float = 0.0


class TrackedRequest(NamedTuple):
    """A request that is queued or in flight: its node, its volume and its cost in units."""

    node: str
    volume: str
    units: float


@dataclass(slots=True, frozen=True)
class WaitShare:
    """The time of a volume that is charged to a cause, in milliseconds and as a fraction of its total time (0 to 1)."""

    cause: WaitCause
    duration_ms: float
    fraction: float


class WaitAccounting:
    """Follows requests by their keys, and charges the time of each volume's requests to causes.

    Attributes:
        max_pairs: Number of pairs of volume and cause at which the smallest ones are merged.
        nodes: The state of the storage nodes in use, by name.
        tracked_requests: The requests that are queued or in flight, by key.
        typical_ms: Typical duration of an attempt of one unit over all nodes; 0 before the first attempt ends.
        waits: Milliseconds by volume and cause.
        request_counts: Number of requests by volume.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.nodes: dict[str, NodeState] = {}
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.typical_ms = 0.0
        self.waits: dict[tuple[str, WaitCause], float] = {}
        self.request_counts: dict[str, int] = {}

    # ---- events of requests

    def enqueue(self, now: float, key: int, volume: str, node: str, units: float) -> None:
        """Records that a request is queued for a node from now on."""
        state = self._advance(now, node)
        state.queued_by_volume[volume] = state.queued_by_volume.get(volume, 0) + 1
        if key not in self.tracked_requests:
            self.request_counts[volume] = self.request_counts.get(volume, 0) + 1
        self.tracked_requests[key] = TrackedRequest(node, volume, units)

    def start_attempt(self, now: float, key: int, is_first: bool) -> None:
        """Records that an attempt of a queued request is sent to its node."""
        node, volume, units = self.tracked_requests[key]
        state = self._advance(now, node)
        _dequeue(state, volume)
        state.in_flight[key] = TrackedAttempt(volume, units, now, is_first)

    def end_attempt(self, now: float, key: int) -> None:
        """Records that the attempt in flight has ended, and charges its time."""
        node, volume, _ = self.tracked_requests[key]
        attempt = self._advance(now, node).in_flight.pop(key)
        duration_ms = now - attempt.sent_ms
        size_factor = (1.0 + attempt.units) / 2.0
        others_ms = sum(attempt.shared_ms.values())
        own_share_ms = duration_ms - others_ms
        expected_ms = self.typical_ms * size_factor if self.typical_ms else own_share_ms
        # Up to the typical duration, serving several attempts at once delays none of them: that time is own work.
        charged_ms = max(own_share_ms, min(duration_ms, expected_ms))
        for name, ms in attempt.shared_ms.items():
            self._add(volume, WaitCause.volume(name), ms * (duration_ms - charged_ms) / others_ms if others_ms else 0.0)
        excess_ms = max(0.0, charged_ms - expected_ms)
        excess_fraction = excess_ms / duration_ms if duration_ms > 0 else 0.0
        for waiter, ms in attempt.caused_delay_ms.items():
            self._add(waiter, WaitCause.volume(volume), ms * (1.0 - excess_fraction))
            self._add(waiter, WaitCause.node(node), ms * excess_fraction)
        self._add(volume, OWN_WORK if attempt.is_first else RETRIES, charged_ms - excess_ms)
        self._add(volume, WaitCause.node(node), excess_ms)
        self._update_typical_time(own_share_ms / size_factor)

    def end_request(self, now: float, key: int) -> None:
        """Records the end of a request that is queued or in flight; ignores a request that isn't tracked."""
        request = self.tracked_requests.get(key)
        if request is None:
            return
        state = self._advance(now, request.node)
        if key in state.in_flight:
            self.end_attempt(now, key)
        else:
            _dequeue(state, request.volume)
        del self.tracked_requests[key]

    def forget(self, key: int) -> None:
        """Stops tracking a request whose attempt has ended."""
        self.tracked_requests.pop(key, None)

    def retain_nodes(self, nodes: Container[str]) -> None:
        """Removes the nodes that aren't among `nodes` and have no request queued or in flight."""
        for name in [n for n, w in self.nodes.items() if n not in nodes and not w.queued_by_volume and not w.in_flight]:
            del self.nodes[name]

    # ---- charging time to causes

    def _update_typical_time(self, unit_ms: float) -> None:
        """Moves the typical duration towards the median of all attempts, so that one slow node can't set it."""
        if not self.typical_ms:
            self.typical_ms = unit_ms
            return
        self.typical_ms += TYPICAL_TIME_STEP * self.typical_ms * (0.5 if unit_ms > self.typical_ms else -0.5)

    def _advance(self, now: float, node: str) -> NodeState:
        """Charges the time since the last call at a node, and returns the state of the node."""
        state = self.nodes.setdefault(node, NodeState(as_of_ms=now))
        elapsed_ms = now - state.as_of_ms
        state.as_of_ms = now
        if elapsed_ms > 0:
            self._charge_in_flight(state, elapsed_ms)
            self._charge_queued(state, elapsed_ms)
        return state

    def _charge_in_flight(self, state: NodeState, elapsed_ms: float) -> None:
        """Divides the elapsed time equally among the attempts in flight."""
        count = len(state.in_flight)
        for attempt in state.in_flight.values() if count > 1 else ():
            for other in state.in_flight.values():
                if other is not attempt:
                    attempt.shared_ms[other.volume] = attempt.shared_ms.get(other.volume, 0.0) + elapsed_ms / count

    def _charge_queued(self, state: NodeState, elapsed_ms: float) -> None:
        """Charges the elapsed time of each queued request to the attempts in flight equally, or to the gateway."""
        for volume, count in state.queued_by_volume.items():
            ms = elapsed_ms * count
            if not state.in_flight:
                self._add(volume, GATEWAY, ms)
                continue
            for attempt in state.in_flight.values():
                attempt.caused_delay_ms[volume] = attempt.caused_delay_ms.get(volume, 0.0) + ms / len(state.in_flight)

    def _add(self, volume: str, cause: WaitCause, ms: float) -> None:
        if ms <= 0:
            return
        pair = (volume, cause)
        if pair not in self.waits and len(self.waits) >= self.max_pairs:
            self._merge_smallest_pairs()
        self.waits[pair] = self.waits.get(pair, 0.0) + ms

    def _merge_smallest_pairs(self) -> None:
        """Merges each of the smallest pairs into OTHERS of its volume, and a pair of OTHERS into MERGED_VOLUME."""
        by_size = sorted(self.waits, key=lambda pair: (self.waits[pair], pair[0], pair[1].label))
        for volume, cause in by_size[: max(1, self.max_pairs // MERGE_DIVISOR)]:
            ms = self.waits.pop((volume, cause))
            target = (MERGED_VOLUME if cause.kind is CauseKind.OTHERS else volume, OTHERS)
            self.waits[target] = self.waits.get(target, 0.0) + ms

    # ---- reports

    def shares(self, volume: str) -> list[WaitShare]:
        """Returns the causes of a volume's time, the largest first; attempts still in flight are not included."""
        rows = [(cause, ms) for (waiter, cause), ms in self.waits.items() if waiter == volume]
        total = sum(ms for _, ms in rows) or 1.0
        return [WaitShare(cause, ms, ms / total) for cause, ms in sorted(rows, key=lambda r: (-r[1], r[0].label))]

    def report(self, volume: str) -> list[str]:
        """Returns the largest shares of a volume's time as text: a summary, then one line for each share."""
        count = self.request_counts.get(volume, 0)
        shares = self.shares(volume)
        if not shares:
            return [f"volume {volume}: nothing of it has ended here yet"]
        divisor = max(1, count)
        lines = [f"volume {volume}: {count} accesses, {sum(s.duration_ms for s in shares) / divisor:.0f} ms each"]
        for share in shares[:MAX_REPORTED_CAUSES]:
            lines.append(
                f"  {share.fraction:4.0%}  {share.duration_ms / divisor:8.1f} ms each  {share.cause.describe(volume)}"
            )
        return lines


def _dequeue(state: NodeState, volume: str) -> None:
    """Removes one request of a volume from the queue of a node."""
    state.queued_by_volume[volume] -= 1
    if not state.queued_by_volume[volume]:
        del state.queued_by_volume[volume]
