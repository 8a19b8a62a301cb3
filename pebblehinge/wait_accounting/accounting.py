"""Accounting of waiting time. Each millisecond that a request was queued, or in flight, is charged to one cause.

While attempts of this gateway are in flight at its node, a queued request waits for those, in equal parts; while none
is, it waits for the gateway itself (the limit of its quota plan, the slow start of the node, a reserved slot). An
attempt that is in flight beside others of the gateway shares the time at the node with them: beyond what such an
attempt usually takes, the others' parts are waiting for those. What is left of its own part beyond the usual is charged
to the node, and so is that part of what it kept others waiting; this is settled when the attempt ends. Retries are a
cause of their own.

Memory is bounded: at most `max_pairs` pairs of volume and cause are kept, the smallest of which are merged.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from pebblehinge.wait_accounting.causes import GATEWAY, OTHERS, OWN_WORK, RETRIES, CauseKind, WaitCause

MAX_PAIRS = 12_288  # five causes of 2,000 volumes and some: 1.5 MB
MERGE_DIVISOR = 4  # one in so many pairs is merged when there are too many
TYPICAL_TIME_STEP = 0.02  # how far one attempt moves the usual time
MAX_REPORTED_CAUSES = 8  # lines of a report
MERGED_VOLUME = "others"  # stands for the volumes whose merged time was merged once more


@dataclass(slots=True)
class TrackedAttempt:
    """One attempt in flight.

    Attributes:
        volume: Name of the volume that it is for.
        units: Size of its request in units of work.
        since: When it was sent, in milliseconds.
        first: Whether it is the first of its request.
        delayed: Milliseconds for which it kept queued requests waiting, by their volume.
        shared: Milliseconds of its own time that are the parts of other attempts, by their volume.
    """

    volume: str
    units: float
    since: float
    first: bool
    delayed: dict[str, float] = field(default_factory=dict)
    shared: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class NodeWaits:
    """One storage node: requests queued for it by volume, attempts in flight by key, both as of a clock time."""

    queued_by_volume: dict[str, int] = field(default_factory=dict)
    in_flight: dict[int, TrackedAttempt] = field(default_factory=dict)
    as_of_ms: float = 0.0


class TrackedRequest(NamedTuple):
    """Where a request is queued or in flight, and what it is."""

    node: str
    volume: str
    units: float


@dataclass(slots=True, frozen=True)
class WaitShare:
    """How much of a volume's time went to a cause, in milliseconds and as a part of its whole time (0 to 1)."""

    cause: WaitCause
    ms: float
    fraction: float


class WaitAccounting:
    """Told what happens to requests, by their key; knows where the time of each volume's requests went.

    Attributes:
        max_pairs: How many pairs of volume and cause are kept.
        nodes: The storage nodes that are in use, by name.
        tracked: The requests that are queued or in flight, by key.
        usual_ms: What an attempt of average size usually takes, over all nodes; 0 before the first.
        waits: Milliseconds by volume and cause.
        requests: How many requests each volume had.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.nodes: dict[str, NodeWaits] = {}
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.typical_ms = 0.0
        self.waits: dict[tuple[str, WaitCause], float] = {}
        self.requests: dict[str, int] = {}

    # ---- what happens to requests

    def enqueue(self, now: float, key: int, volume: str, node: str, units: float) -> None:
        """A request is queued for a node from now on."""
        waits = self._advance(now, node)
        waits.queued_by_volume[volume] = waits.queued_by_volume.get(volume, 0) + 1
        if key not in self.tracked_requests:
            self.requests[volume] = self.requests.get(volume, 0) + 1
        self.tracked_requests[key] = TrackedRequest(node, volume, units)

    def start_attempt(self, now: float, key: int, first: bool) -> None:
        """An attempt of a queued request is sent to its node."""
        node, volume, units = self.tracked_requests[key]
        waits = self._advance(now, node)
        _dequeue(waits, volume)
        waits.in_flight[key] = TrackedAttempt(volume, units, now, first)

    def end_attempt(self, now: float, key: int) -> None:
        """The attempt in flight has an outcome; its time is charged."""
        node, volume, _ = self.tracked_requests[key]
        attempt = self._advance(now, node).in_flight.pop(key)
        took = now - attempt.since
        size = (1.0 + attempt.units) / 2.0
        others = sum(attempt.shared.values())
        own = took - others
        usual = self.typical_ms * size if self.typical_ms else own
        # A node that serves several at once loses nobody time up to the usual: that much is its own work.
        charged = max(own, min(took, usual))
        for other, ms in attempt.shared.items():
            self._add(volume, WaitCause.volume(other), ms * (took - charged) / others if others else 0.0)
        late = max(0.0, charged - usual)
        late_part = late / took if took > 0 else 0.0
        for waiter, ms in attempt.delayed.items():
            self._add(waiter, WaitCause.volume(volume), ms * (1.0 - late_part))
            self._add(waiter, WaitCause.node(node), ms * late_part)
        self._add(volume, OWN_WORK if attempt.first else RETRIES, charged - late)
        self._add(volume, WaitCause.node(node), late)
        self._learn(own / size)

    def end_request(self, now: float, key: int) -> None:
        """The request is over, whether it was queued or in flight; one that isn't tracked is ignored."""
        known = self.tracked_requests.get(key)
        if known is None:
            return
        waits = self._advance(now, known.node)
        if key in waits.in_flight:
            self.end_attempt(now, key)
        else:
            _dequeue(waits, known.volume)
        del self.tracked_requests[key]

    def forget(self, key: int) -> None:
        """Its attempt has ended and nothing follows."""
        self.tracked_requests.pop(key, None)

    def retain_nodes(self, nodes: Container[str]) -> None:
        """Forgets the nodes that aren't among these any more, once nothing is queued or in flight there."""
        for name in [n for n, w in self.nodes.items() if n not in nodes and not w.queued_by_volume and not w.in_flight]:
            del self.nodes[name]

    # ---- the arithmetic

    def _learn(self, unit_ms: float) -> None:
        """Moves the usual time, to the lower part of what attempts take: one slow node of many must not set it."""
        if not self.typical_ms:
            self.typical_ms = unit_ms
            return
        self.typical_ms += TYPICAL_TIME_STEP * self.typical_ms * (0.5 if unit_ms > self.typical_ms else -0.5)

    def _advance(self, now: float, node: str) -> NodeWaits:
        """Charges the time that has passed at a node: each request queued waited for each in flight, in equal parts."""
        waits = self.nodes.setdefault(node, NodeWaits(as_of_ms=now))
        passed = now - waits.as_of_ms
        waits.as_of_ms = now
        if passed > 0:
            self._charge_in_flight(waits, passed)
            self._charge_queued(waits, passed)
        return waits

    def _charge_in_flight(self, waits: NodeWaits, passed: float) -> None:
        parts = len(waits.in_flight)
        for attempt in waits.in_flight.values() if parts > 1 else ():
            for other in waits.in_flight.values():
                if other is not attempt:
                    attempt.shared[other.volume] = attempt.shared.get(other.volume, 0.0) + passed / parts

    def _charge_queued(self, waits: NodeWaits, passed: float) -> None:
        for volume, count in waits.queued_by_volume.items():
            ms = passed * count
            if not waits.in_flight:
                self._add(volume, GATEWAY, ms)
                continue
            for attempt in waits.in_flight.values():
                attempt.delayed[volume] = attempt.delayed.get(volume, 0.0) + ms / len(waits.in_flight)

    def _add(self, volume: str, cause: WaitCause, ms: float) -> None:
        if ms <= 0:
            return
        pair = (volume, cause)
        if pair not in self.waits and len(self.waits) >= self.max_pairs:
            self._merge_least()
        self.waits[pair] = self.waits.get(pair, 0.0) + ms

    def _merge_least(self) -> None:
        """Merges the smallest pairs, each into its volume's OTHERS; those that are such, into one for all volumes."""
        by_size = sorted(self.waits, key=lambda pair: (self.waits[pair], pair[0], pair[1].label))
        for volume, cause in by_size[: max(1, self.max_pairs // MERGE_DIVISOR)]:
            ms = self.waits.pop((volume, cause))
            into = (MERGED_VOLUME if cause.kind is CauseKind.OTHERS else volume, OTHERS)
            self.waits[into] = self.waits.get(into, 0.0) + ms

    # ---- reports

    def shares(self, volume: str) -> list[WaitShare]:
        """Where a volume's time went, the largest share first; an attempt still in flight is not in it yet."""
        rows = [(cause, ms) for (waiter, cause), ms in self.waits.items() if waiter == volume]
        total = sum(ms for _, ms in rows) or 1.0
        return [WaitShare(cause, ms, ms / total) for cause, ms in sorted(rows, key=lambda r: (-r[1], r[0].label))]

    def report(self, volume: str) -> list[str]:
        """The same as lines of text: a summary, then one line for each of the largest shares."""
        count = self.requests.get(volume, 0)
        shares = self.shares(volume)
        if not shares:
            return [f"volume {volume}: nothing of it has ended here yet"]
        each = max(1, count)
        lines = [f"volume {volume}: {count} accesses, {sum(s.ms for s in shares) / each:.0f} ms each"]
        for share in shares[:MAX_REPORTED_CAUSES]:
            lines.append(f"  {share.fraction:4.0%}  {share.ms / each:8.1f} ms each  {share.cause.describe(volume)}")
        return lines


def _dequeue(waits: NodeWaits, volume: str) -> None:
    """One request of a volume is queued no more."""
    waits.queued_by_volume[volume] -= 1
    if not waits.queued_by_volume[volume]:
        del waits.queued_by_volume[volume]
