"""When a request may be sent: order by extent, its volume's limit, its node's slow start, idempotency, retry budget."""

from __future__ import annotations

import math
from collections import deque

from pebblehinge.decide.node_health import NodeHealth
from pebblehinge.decide.request import EPSILON, MAX_CACHE_ENTRIES, Request
from pebblehinge.decide.valuation import Valuation
from pebblehinge.interface import Idempotency, Outcome
from pebblehinge.scheduler_state import ChangeSet, KeyQueues

# Of the multiple of what a node in a slow start surely can do, let through while the usual load is asked for.
SLOW_START_ADMITTED_SHARE = 0.4
MAY_STILL_RUN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)


class Limits:
    """Rules 2 and 4 to 7 of one request's next attempt.

    Args:
        shelfs: the nodes and their health.
        valuation: the volumes' token buckets.
        notes: gets the wake-ups.
        now: clock, ms.
    """

    def __init__(self, shelfs: NodeHealth, valuation: Valuation, notes: ChangeSet, now: float) -> None:
        self.settings = shelfs.settings
        self.nodes = shelfs
        self.valuation = valuation
        self.change_set = notes
        self.created_ms = now
        self.extent_queues: KeyQueues[Request] = (
            KeyQueues()
        )  # by extent: requests not over, or with an attempt in flight
        self.extent_wait_until_ms: dict[str, float] = {}  # until when an extent waits for an attempt that may still run
        self.request_times_ms: deque[float] = deque()  # retry budget: when requests were taken
        self.retry_times_ms: deque[float] = deque()  # and when retries were sent
        self.queued_retries = 0

    def may_send(self, request: Request, now: float) -> bool:
        """Returns whether a queued request may be sent now; where only time is lacking, a wake-up is requested."""
        node = request.node
        if not self.nodes.ready[node] or (request.attempt_count and not self.may_retry(request, now, 0)):
            return False
        if request.request_class.in_order and request.extent is not None:  # rule 6
            if self.extent_queues.first(request.extent) is not request:
                return False
            rest_ms = self.extent_wait_until_ms.get(request.extent, now)
            if rest_ms > now and not request.attempt_count:
                self.change_set.request_wake_up(rest_ms, node)
                return False
        at_ms = self.earliest_send_ms(request, now)
        if at_ms > now:
            self.change_set.request_wake_up(at_ms, node)
        return at_ms <= now

    def earliest_send_ms(self, request: Request, now: float) -> float:
        """Returns when a request may go (ms), by its volume's limit and its node's slow start."""
        at_ms = now
        settings = self.settings.current
        request.delay_reason = "its plan's limit"
        if (
            request.quota_plan.limit_rate and not request.attempt_count
        ):  # rule 5: queue for units rather than pass the limit
            lack = request.units - self.valuation.refill(request, now).limit_tokens
            if lack > EPSILON:
                at_ms = now + lack * request.set_size / request.quota_plan.limit_rate * 1000.0 + 1.0
        since_ms = self.nodes.slow_start_since_ms[request.node]
        if since_ms is None or now - since_ms >= settings.slow_start_duration_ms:
            self.nodes.slow_start_since_ms[request.node] = None
            return at_ms
        # Rule 4: of what asks for a node in a slow start, all gateways let through the part that it surely can do
        # by now, far from the multiple; each draws turns by itself, and what earns more has more of them. Answers
        # tell the rest. Harm: a suspected restart that was none, and much more asked than usual.
        request.delay_reason = request.delay_reason if at_ms > now else "the cold of its shelf"
        turn = (
            request.slow_start_turn
            * self.valuation.mean_value_per_unit
            / max(request.value_per_unit, EPSILON)
            / max(EPSILON, SLOW_START_ADMITTED_SHARE * settings.slow_start_failure_multiple)
        )
        full_ms = settings.slow_start_duration_ms / max(EPSILON, 1.0 - settings.slow_start_initial_share)
        return max(
            at_ms,
            min(
                since_ms + settings.slow_start_duration_ms,
                since_ms + (turn - settings.slow_start_initial_share) * full_ms,
            ),
        )

    def may_retry(self, request: Request, now: float, new: int, out: bool = False) -> bool:
        """Returns whether rules 2 and 7 allow a retry.

        Args:
            request: the request.
            now: clock, ms.
            new: 1 when it is about to be queued, 0 when it is about to be sent.
            out: its attempt is still in flight, and is to be cancelled.
        """
        risk_ms = request.sent_ms if out and request.may_have_run_since_ms is None else request.may_have_run_since_ms
        until_ms = self.retry_deadline_ms(request, risk_ms)
        return now <= until_ms and self.remaining_retries(now) >= 1 + new * self.queued_retries

    def retry_deadline_ms(self, request: Request, risk_ms: float | None) -> float:
        """Returns until when (ms) an attempt may begin, by when the first that may have run was sent, if one was."""
        repeat = request.request_class.idempotency
        if risk_ms is None or repeat is Idempotency.IDEMPOTENT:
            return math.inf
        window_ms = -math.inf if repeat is Idempotency.NON_IDEMPOTENT else request.request_class.deduplication_window_ms
        return risk_ms + window_ms - 2 * self.settings.current.clock_resolution_ms

    def remaining_retries(self, now: float) -> float:
        """Returns how many retries the budget still allows.

        Retries count a little longer than the window, requests a little shorter, since clocks and ends of windows
        may differ by a step.
        """
        settings = self.settings.current
        while (
            self.request_times_ms
            and self.request_times_ms[0] <= now - settings.retry_budget_window_ms + 2 * settings.clock_resolution_ms
        ):
            self.request_times_ms.popleft()
        while (
            self.retry_times_ms
            and self.retry_times_ms[0] < now - settings.retry_budget_window_ms - 2 * settings.clock_resolution_ms
        ):
            self.retry_times_ms.popleft()
        left = (
            settings.retry_budget_min_retries
            + (settings.retry_budget_share or 0.0) * len(self.request_times_ms)
            - len(self.retry_times_ms)
        )
        return math.inf if settings.retry_budget_share is None else left

    def on_submit(self, request: Request, now: float) -> None:
        """Counts a new request, and gives it its place in its extent's queue."""
        self.request_times_ms.append(now)
        self.remaining_retries(now)
        if request.request_class.in_order and request.extent is not None:
            self.extent_queues.append(request.extent, request)

    def on_send(self, request: Request, now: float) -> None:
        """Charges an attempt to the retry budget, or the first one to the volume's limit."""
        if request.attempt_count:
            self.retry_times_ms.append(now)
            self.queued_retries -= 1
        else:
            self.valuation.refill(request, now).limit_tokens -= request.units if request.quota_plan.limit_rate else 0.0

    def on_attempt_end(self, request: Request, now: float, outcome: Outcome) -> None:
        """Where an attempt may still run, the next of its extent waits."""
        if request.request_class.in_order and request.extent is not None and outcome in MAY_STILL_RUN_OUTCOMES:
            if len(self.extent_wait_until_ms) > MAX_CACHE_ENTRIES:
                self.extent_wait_until_ms = {
                    extent: until for extent, until in self.extent_wait_until_ms.items() if until > now
                }
            self.extent_wait_until_ms[request.extent] = now + self.settings.current.order_settle_ms

    def on_close(self, request: Request) -> None:
        """Once nothing is owed and no attempt is in flight, the next of its extent may go."""
        if request.request_class.in_order and request.extent is not None and not request.attempt_in_flight:
            following = self.extent_queues.remove(request.extent, request)
            if following is not None and following.node >= 0:
                self.change_set.request_wake_up(
                    self.extent_wait_until_ms.get(request.extent, self.created_ms), following.node
                )
