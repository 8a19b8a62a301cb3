"""The effects of a gateway's request table: answers, attempts, wake-ups, calls to discovery; and the events it gets."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from pebblehinge.core import FinalStatus
from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.discovery_link import DiscoveryLink
from pebblehinge.gateway.framed_request import FINAL_STATUS_LABELS, FramedRequest
from pebblehinge.gateway.node_link import NodeLink
from pebblehinge.interface import DiscoveryCall, EndpointEntry, ListKind, Outcome
from pebblehinge.settings.schema import Config, HeadBlock

TIMER_SLACK_S = 0.0005
"""Added to the time of a wake-up, since the loop rounds times to its grid and could call just before the time."""

MAX_LATENCY_US = 60_000_000  # longer latencies are not recorded in the histogram


class GatewayEffects:
    """The request table of a gateway with its timer, its links to storage nodes and its link to discovery.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        config: The settings in force.
        name: Name of the gateway.
        log: The process's log.
        gateway_settings: The settings of this gateway alone.
        event_log: The event log.
        record_event: Writes an event to the event log.
        links: The links in use, by storage node name.
        retired_links: Links to former addresses of storage nodes, on which attempts may still be in flight.
        now: Clock time in milliseconds, read once for the events that are being handled.
        core: The request table.
        latency_histogram: The latencies of succeeded requests, in microseconds.
        discovery: The link to discovery.
        wake_timer: The timer of the next wake-up of the request table, None for none.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        event_log: EventLog | NullEventLog | None,
        core: type[GatewayCore],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.config = config
        self.name = name
        self.log = log
        self.gateway_settings: HeadBlock = config.head[name]
        self.event_log = event_log or NullEventLog()
        self.record_event: Callable[..., None] = self.event_log.note if self.event_log.enabled else _discard_event
        self.links: dict[str, NodeLink] = {}
        self.retired_links: list[NodeLink] = []
        self.now = clock()
        self.core = core(config, self.gateway_settings, self.now, self)
        self.latency_histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.discovery = DiscoveryLink(
            loop,
            clock,
            name,
            config.listing.listen,
            config.limits,
            random.Random(self.gateway_settings.seed),
            self._on_list,
            config.listing.mode == "ask",
        )
        self.wake_timer: asyncio.TimerHandle | None = None
        self._next_wake_ms = math.inf

    def stop_if_done(self) -> None:
        """Completes a graceful shutdown if all requests have ended; called when the last one is answered."""
        raise NotImplementedError

    # ---- effects, called by the request table

    def answer(
        self, pending: FramedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Sends the final answer to the origin of the request."""
        pending.origin.deliver_answer(pending, final, retry_after_ms, reason, data)
        now = self.now
        if final is FinalStatus.SUCCEEDED:
            self.latency_histogram.record_value(max(1, int((now - pending.arrived_ms) * 1000.0)))
        self.record_event(now, "answer", id=pending.trace_id, final=FINAL_STATUS_LABELS[final], stay=retry_after_ms)
        if self.config.log.accesses:
            duration_ms = round(now - pending.arrived_ms, 3)
            self.log.info(
                "answer", id=pending.trace_id, final=FINAL_STATUS_LABELS[final], ms=duration_ms, reason=reason
            )
        if self.core.stopping and not self.core.open_count:
            self.loop.call_soon(self.stop_if_done)

    def send_attempt(self, pending: FramedRequest, node: str, attempt_number: int, deadline_ms: float) -> None:
        """Sends an attempt, numbered from 0, to a storage node; it times out at clock time `deadline_ms`."""
        link = self.links[node]
        if self.config.log.accesses:
            self.log.info("trip", id=pending.trace_id, n=attempt_number, shelf=node)
        link.send(pending, attempt_number, deadline_ms, self.now)

    def cancel_attempt(self, pending: FramedRequest) -> None:
        """Cancels the attempt in flight."""
        pending.attempt.link.cancel_attempt(pending)

    def wake_at(self, at_ms: float) -> None:
        """Schedules a wake-up of the request table, unless an earlier one is scheduled."""
        if at_ms < self._next_wake_ms:
            self._cancel_timer()
            self._next_wake_ms = at_ms
            self.wake_timer = self.loop.call_at(at_ms / 1000.0 + TIMER_SLACK_S, self._wake)

    def call_discovery(self, call: DiscoveryCall) -> None:
        """Sends a call to discovery."""
        self.discovery.call(call)

    # ---- events, reported to the request table

    def _cancel_timer(self) -> None:
        if self.wake_timer is not None:
            self.wake_timer.cancel()

    def _wake(self) -> None:
        self.wake_timer = None
        self._next_wake_ms = math.inf
        self.now = self.clock()
        self.core.on_wake_up(self.now)

    def _on_outcome(
        self, now: float, pending: FramedRequest, attempt_number: int, outcome: Outcome, duration_ms: float, data: bytes
    ) -> None:
        self.now = now
        self.core.on_attempt_end(now, pending, attempt_number, outcome, duration_ms, data)

    def _on_list(self, now: float, kind: ListKind, entries: list[EndpointEntry], addresses: dict[str, str]) -> None:
        self.now = now
        for node, address in addresses.items():
            self._ensure_link(node, address)
        self.record_event(now, "listed", kind=kind.value, entries=[(e.node_name, e.state.value) for e in entries])
        self.log.debug("listed", kind=kind.value, shelfs=len(entries))
        self.core.apply_endpoint_list(now, kind, entries)
        for node in [name for name in self.links if name not in self.core.scheduler.nodes.index]:
            self.links.pop(node).retire()  # the scheduler has reused its index, so no attempt is in flight

    def _ensure_link(self, node: str, address: str) -> None:
        """Creates the link to a storage node, or replaces it if the node has another address."""
        link = self.links.get(node)
        if link is not None and link.address == address:
            return
        if link is not None:
            self.retired_links = [
                old_link for old_link in self.retired_links if old_link.in_flight or old_link.unsent_attempts
            ]
            self.retired_links.append(link)
            link.retire()
        record_event = self.record_event if self.event_log.enabled else None
        self.links[node] = NodeLink(
            self.loop, self.clock, self.name, node, address, self.config.limits, self._on_outcome, record_event
        )


def _discard_event(*_: Any, **__: Any) -> None:
    """Discards an event, for a gateway without an event log."""
