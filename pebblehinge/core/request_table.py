"""The requests that a gateway has accepted and not yet finished.

The table stands between a front's sockets and the scheduler. It keeps what the scheduler need not know (connections,
payloads, counters) and decides nothing. It does no I/O and reads no clock: each call brings the time in milliseconds,
and what is to be done goes out through `Effects`. A request of which an attempt succeeded is answered here; every other
final answer comes from the scheduler. The front decides what is admitted, and then calls `RequestTable.accept`.
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
    """All requests of one running gateway that may still get events, by key.

    Attributes:
        pending: The requests, by key.
        open: How many of them have no final answer yet.
        bytes: Payload held for them.
        stopping: Whether the front is shutting down; kept here for fronts, which set and read it.
        counts: Counters of requests.
        outcomes: Counters of attempts, by outcome.
        reasons: How often a request was not served, by the scheduler's reason.
        retries: Attempts beyond the first of their request.
        wakes: Calls of `woken`.
        now: The time of the last call, in milliseconds.
    """

    def __init__(
        self, settings: Settings, seed: int, now: float, effects: Effects, wait_accounting: WaitAccounting | None = None
    ) -> None:
        self.effects = effects
        self.wait_accounting = wait_accounting
        self.module = Scheduler(settings, seed, now)
        self.pending: dict[int, PendingRequest] = {}
        self._last_key = 0
        self.bytes = 0
        self.open = 0
        self.stopping = False
        self.counts = RequestCounts()
        self.outcomes = {outcome: 0 for outcome in Outcome}
        self.reasons: dict[str, int] = {}
        self.retries = 0
        self.wakes = 0
        self.now = now

    def start(self, now: float) -> None:
        """Starts the scheduler; called once, before all other calls."""
        self._apply(self.module.start(now), now)

    # ---- from clients

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
        again: bool | None,
    ) -> None:
        """Takes in a request that its front has admitted, and schedules it.

        Args:
            now: Clock time in milliseconds.
            pending: The request; its volume, units and data are set.
            extent: The extent that it concerns, None for none.
            request_class: Name of its class in the settings.
            quota_plan: Name of its volume's quota plan.
            set_size: Number of gateways that serve the volume.
            slot: Slot of placement, under 0 where any node will do.
            deadline_ms: Clock time by which it has to be answered.
            again: Whether the client marked it as a retry, None where clients mark none.
        """
        self._last_key += 1
        pending.key = self._last_key
        pending.came_ms = now
        self.pending[pending.key] = pending
        self.open += 1
        self.bytes += len(pending.data)
        volume, units = pending.volume, pending.units
        pending.request, changes = self.module.submit(
            now, pending.key, extent, request_class, quota_plan, volume, set_size, slot, units, deadline_ms, again
        )
        # Before the changes are applied: an attempt that is sent at once was queued for no time.
        if self.wait_accounting is not None and pending.request.node >= 0:
            track_queued(self.wait_accounting, now, pending, self.module.nodes.names[pending.request.node])
        self._apply(changes, now)

    def left(self, now: float, pending: PendingRequest) -> None:
        """The client is gone, or has cancelled the request: it gets no answer and no further attempt."""
        if pending.answered:
            return
        pending.answered = True
        self.open -= 1
        self.counts.client_gone += 1
        self.request_ended(pending, None, now)
        assert pending.request is not None
        changes = pending.request.on_client_disconnect(now)
        self._apply(changes, now)
        self._forget(pending)

    # ---- from storage nodes, the endpoint list and the clock

    def ended(
        self, now: float, pending: PendingRequest, attempt: int, outcome: Outcome, took_ms: float, data: bytes = b""
    ) -> None:
        """Reports the outcome of an attempt; each attempt that was sent and not cancelled has exactly one."""
        request = pending.request
        assert request is not None
        self.outcomes[outcome] += 1
        pending.attempt = None
        pending.attempt_ms = took_ms
        self.now = now
        if outcome is Outcome.SUCCEEDED and not pending.answered:
            self._answer(pending, FinalStatus.SUCCEEDED, 0.0, "", data)
        over = pending.answered
        if self.wait_accounting is not None:
            track_attempt_end(self.wait_accounting, now, pending)
        changes = request.on_attempt_end(now, attempt, outcome, over, took_ms)
        self._apply(changes, now)
        self._forget(pending)

    def listed(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> None:
        """Gives the scheduler an endpoint list, or changes to it."""
        self._apply(self.module.apply_endpoint_list(now, kind, entries), now)
        if self.wait_accounting is not None:
            self.wait_accounting.retain(self.module.nodes.index)

    def woken(self, now: float) -> None:
        """A time has come that was asked for by `Effects.wake_at`."""
        self.wakes += 1
        self._apply(self.module.on_wake_up(now), now)

    def adopt(self, now: float, settings: Settings) -> None:
        """Takes new settings, which hold for the pending requests too; none is dropped."""
        self._apply(self.module.replace_settings(now, settings), now)

    def leaves(self, now: float, end_ms: float) -> None:
        """Begins the shutdown: by clock time `end_ms` the scheduler has answered all that is pending."""
        self._apply(self.module.begin_shutdown(now, end_ms), now)

    def request_ended(self, pending: PendingRequest, final: FinalStatus | None, now: float) -> None:
        """Called when a request has its final answer, or (`final` is None) lost its client.

        A front that keeps records of requests overrides it.
        """

    # ---- applying what the scheduler decided

    def _apply(self, first: Changes, now: float) -> None:
        """Does what a call to the scheduler decided; reports cancelled attempts to it once that is done."""
        self.now = now
        todo = deque((first,))
        while todo:
            changes = todo.popleft()
            for handle in changes.handles:
                self._apply_to_request(handle, now, todo)
            for call in changes.discovery_calls:
                self.effects.call_list(call)
            if changes.wake_ms is not None:
                self.effects.wake_at(changes.wake_ms)

    def _apply_to_request(self, handle: Handle, now: float, todo: deque[Changes]) -> None:
        """Sends, cancels and answers for one request; what its cancellations change is appended to `todo`."""
        pending = self.pending[handle.id]
        attempts, cancellations, answer = handle.drain()
        for attempt in attempts:
            self._send_attempt(pending, attempt, now)
        for number in cancellations:
            if pending.attempt is not None:
                todo.append(self._cancel_attempt(pending, handle, number, now))
        if answer is not None:
            self._answer_by_scheduler(pending, answer)
        self._forget(pending)

    def _send_attempt(self, pending: PendingRequest, attempt: Attempt, now: float) -> None:
        number = pending.attempts
        if number > 0:
            self.retries += 1
        if self.wait_accounting is not None:
            track_sent(self.wait_accounting, now, pending, attempt.node_name)
        pending.shelf = attempt.node_name
        pending.sent_ms = now
        pending.begin_by_ms = attempt.begin_by_ms
        self.effects.send_attempt(pending, attempt.node_name, number, attempt.deadline_ms)
        pending.attempts += 1

    def _cancel_attempt(self, pending: PendingRequest, handle: Handle, number: int, now: float) -> Changes:
        """Cancels the attempt in flight and returns what the scheduler changes on that."""
        self.effects.drop_attempt(pending)
        pending.attempt = None
        self.outcomes[Outcome.CANCELLED] += 1
        if self.wait_accounting is not None:
            track_attempt_end(self.wait_accounting, now, pending)
        return handle.on_attempt_end(now, number, Outcome.CANCELLED, pending.answered, now - pending.sent_ms)

    def _answer_by_scheduler(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        if not pending.answered:
            self.reasons[answer.reason] = self.reasons.get(answer.reason, 0) + 1
        self._answer(pending, STATUS_OF_FINAL[answer.kind], answer.retry_after_ms, answer.reason, b"")

    def _answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        """Gives the one final answer; a request that has it already gets no other."""
        if pending.answered:
            return
        pending.answered = True
        self.open -= 1
        self.counts.count_final(final)
        self.request_ended(pending, final, self.now)
        self.effects.answer(pending, final, stay_ms, reason, data)

    def _forget(self, pending: PendingRequest) -> None:
        """Removes a request that is answered, and of which nothing is in flight or owed any more."""
        request = pending.request
        if not pending.answered or request is None or not request.closed or request.attempt_in_flight:
            return
        if self.pending.pop(pending.key, None) is None:
            return
        if self.wait_accounting is not None:
            self.wait_accounting.request_ended(self.now, pending.key)
        self.bytes -= len(pending.data)
        pending.data = b""
