"""The table of requests that a gateway has accepted and not yet finished.

The table connects the sockets of a frontend to the scheduler. It holds what the scheduler does not need (connections,
payloads, counters) and takes no scheduling decisions. It does no I/O and reads no clock: each call passes the time in
milliseconds, and the resulting actions go out through `Effects`. The table itself answers a request when one of its
attempts succeeds; every other final answer comes from the scheduler. The frontend decides which requests are admitted,
and calls `RequestTable.accept` for those.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pebblehinge.core.answers import STATUS_OF_FINAL, FinalStatus, RequestCounts
from pebblehinge.core.effects import Effects
from pebblehinge.core.pending_request import PendingRequest
from pebblehinge.core.wait_tracking import track_attempt_end, track_queued, track_sent
from pebblehinge.decide import Scheduler
from pebblehinge.interface import Attempt, Changes, EndpointEntry, FinalAnswer, Handle, ListKind, Outcome, Settings

if TYPE_CHECKING:
    from pebblehinge.wait_accounting import WaitAccounting


class RequestTable:
    """All requests of one running gateway that can still get events.

    Attributes:
        scheduler: The scheduler, which decides on the requests.
        pending: The requests, by key.
        open_count: Number of these requests that have no final answer yet.
        payload_bytes: Bytes of payload held for these requests.
        stopping: Whether the frontend is shutting down; the frontend alone sets and reads it.
        counts: Counts of requests by their end.
        outcome_counts: Counts of attempts by outcome.
        reason_counts: Counts of requests that were not served, by the scheduler's reason.
        retry_count: Number of attempts beyond the first of their request.
        wake_up_count: Number of calls of `on_wake_up`.
        now: Clock time of the last call, in milliseconds.
    """

    def __init__(
        self, settings: Settings, seed: int, now: float, effects: Effects, wait_accounting: WaitAccounting | None = None
    ) -> None:
        self.effects = effects
        self.wait_accounting = wait_accounting
        self.scheduler = Scheduler(settings, seed, now)
        self.pending: dict[int, PendingRequest] = {}
        self._last_key = 0
        self.payload_bytes = 0
        self.open_count = 0
        self.stopping = False
        self.counts = RequestCounts()
        self.outcome_counts = {outcome: 0 for outcome in Outcome}
        self.reason_counts: dict[str, int] = {}
        self.retry_count = 0
        self.wake_up_count = 0
        self.now = now

    def start(self, now: float) -> None:
        """Starts the scheduler; must be called once, before all other calls."""
        self._apply(self.scheduler.start(now), now)

    # ---- events of clients

    def accept(
        self,
        now: float,
        pending: PendingRequest,
        extent: str | None,
        request_class: str,
        quota_plan: str,
        set_size: int,
        slot: int,
        deadline_ms: float,
        is_retry: bool | None,
    ) -> None:
        """Accepts a request that the frontend has admitted, and schedules it.

        Args:
            now: Clock time in milliseconds.
            pending: The request; its volume, units and data must be set.
            extent: The extent that the request addresses, None for none.
            request_class: Name of the request class in the settings.
            quota_plan: Name of the volume's quota plan.
            set_size: Number of gateways that serve the volume.
            slot: Slot of placement, negative if any node can serve the request.
            deadline_ms: Clock time by which the request must be answered.
            is_retry: Whether the client marked the request as a retry, None where clients mark no retries.
        """
        self._last_key += 1
        pending.key = self._last_key
        pending.arrived_ms = now
        self.pending[pending.key] = pending
        self.open_count += 1
        self.payload_bytes += len(pending.data)
        volume, units = pending.volume, pending.units
        pending.handle, changes = self.scheduler.submit(
            now, pending.key, extent, request_class, quota_plan, volume, set_size, slot, units, deadline_ms, is_retry
        )
        # This precedes _apply, so that an attempt which is sent at once counts as queued for no time.
        if self.wait_accounting is not None and pending.handle.node >= 0:
            track_queued(self.wait_accounting, now, pending, self.scheduler.nodes.names[pending.handle.node])
        self._apply(changes, now)

    def on_client_disconnect(self, now: float, pending: PendingRequest) -> None:
        """Ends a request whose client is gone or has cancelled it: it gets no answer and no further attempt."""
        if pending.answered:
            return
        pending.answered = True
        self.open_count -= 1
        self.counts.client_gone += 1
        self.on_request_end(pending, None, now)
        assert pending.handle is not None
        changes = pending.handle.on_client_disconnect(now)
        self._apply(changes, now)
        self._remove_if_finished(pending)

    # ---- events of storage nodes, of discovery and of the clock

    def on_attempt_end(
        self, now: float, pending: PendingRequest, attempt: int, outcome: Outcome, duration_ms: float, data: bytes = b""
    ) -> None:
        """Takes the outcome of an attempt; each attempt that was sent and not cancelled must report exactly one."""
        handle = pending.handle
        assert handle is not None
        self.outcome_counts[outcome] += 1
        pending.attempt = None
        pending.last_attempt_ms = duration_ms
        self.now = now
        if outcome is Outcome.SUCCEEDED and not pending.answered:
            self._answer(pending, FinalStatus.SUCCEEDED, 0.0, "", data)
        is_answered = pending.answered
        if self.wait_accounting is not None:
            track_attempt_end(self.wait_accounting, now, pending)
        changes = handle.on_attempt_end(now, attempt, outcome, is_answered, duration_ms)
        self._apply(changes, now)
        self._remove_if_finished(pending)

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> None:
        """Passes an endpoint list, or changes to it, to the scheduler."""
        self._apply(self.scheduler.apply_endpoint_list(now, kind, entries), now)
        if self.wait_accounting is not None:
            self.wait_accounting.retain_nodes(self.scheduler.nodes.index)

    def on_wake_up(self, now: float) -> None:
        """Wakes the scheduler at a time that it requested by `Effects.wake_at`."""
        self.wake_up_count += 1
        self._apply(self.scheduler.on_wake_up(now), now)

    def configure(self, now: float, settings: Settings) -> None:
        """Replaces the settings, also for the pending requests, none of which is dropped."""
        self._apply(self.scheduler.replace_settings(now, settings), now)

    def begin_shutdown(self, now: float, end_ms: float) -> None:
        """Begins the shutdown; the scheduler answers all pending requests by clock time `end_ms`."""
        self._apply(self.scheduler.begin_shutdown(now, end_ms), now)

    def on_request_end(self, pending: PendingRequest, final: FinalStatus | None, now: float) -> None:
        """Handles the end of a request: its final answer, or the loss of its client (`final` is None).

        A frontend that records requests overrides this method, which does nothing by itself.
        """

    # ---- applying the scheduler's decisions

    def _apply(self, first_changes: Changes, now: float) -> None:
        """Applies the changes that a scheduler call returned, then those that the cancellations among them cause."""
        self.now = now
        queue = deque((first_changes,))
        while queue:
            changes = queue.popleft()
            for handle in changes.handles:
                self._apply_to_request(handle, now, queue)
            for call in changes.discovery_calls:
                self.effects.call_discovery(call)
            if changes.wake_ms is not None:
                self.effects.wake_at(changes.wake_ms)

    def _apply_to_request(self, handle: Handle, now: float, queue: deque[Changes]) -> None:
        """Applies the changes of one request; appends the changes that its cancellations cause to `queue`."""
        pending = self.pending[handle.id]
        attempts, cancellations, answer = handle.drain()
        for attempt in attempts:
            self._send_attempt(pending, attempt, now)
        for number in cancellations:
            if pending.attempt is not None:
                queue.append(self._cancel_attempt(pending, handle, number, now))
        if answer is not None:
            self._answer_by_scheduler(pending, answer)
        self._remove_if_finished(pending)

    def _send_attempt(self, pending: PendingRequest, attempt: Attempt, now: float) -> None:
        number = pending.attempt_count
        if number > 0:
            self.retry_count += 1
        if self.wait_accounting is not None:
            track_sent(self.wait_accounting, now, pending, attempt.node_name)
        pending.node = attempt.node_name
        pending.sent_ms = now
        pending.begin_by_ms = attempt.begin_by_ms
        self.effects.send_attempt(pending, attempt.node_name, number, attempt.deadline_ms)
        pending.attempt_count += 1

    def _cancel_attempt(self, pending: PendingRequest, handle: Handle, number: int, now: float) -> Changes:
        """Cancels the attempt in flight, reports that to the scheduler and returns the resulting changes."""
        self.effects.cancel_attempt(pending)
        pending.attempt = None
        self.outcome_counts[Outcome.CANCELLED] += 1
        if self.wait_accounting is not None:
            track_attempt_end(self.wait_accounting, now, pending)
        return handle.on_attempt_end(now, number, Outcome.CANCELLED, pending.answered, now - pending.sent_ms)

    def _answer_by_scheduler(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        if not pending.answered:
            self.reason_counts[answer.reason] = self.reason_counts.get(answer.reason, 0) + 1
        self._answer(pending, STATUS_OF_FINAL[answer.kind], answer.retry_after_ms, answer.reason, b"")

    def _answer(
        self, pending: PendingRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Sends the final answer; a request that is answered already gets no other."""
        if pending.answered:
            return
        pending.answered = True
        self.open_count -= 1
        self.counts.count_final(final)
        self.on_request_end(pending, final, self.now)
        self.effects.answer(pending, final, retry_after_ms, reason, data)

    def _remove_if_finished(self, pending: PendingRequest) -> None:
        """Removes a request that is answered, has no attempt in flight and is finished for the scheduler."""
        handle = pending.handle
        if not pending.answered or handle is None or not handle.closed or handle.attempt_in_flight:
            return
        if self.pending.pop(pending.key, None) is None:
            return
        if self.wait_accounting is not None:
            self.wait_accounting.end_request(self.now, pending.key)
        self.payload_bytes -= len(pending.data)
        pending.data = b""
