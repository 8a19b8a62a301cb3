"""When a request may be sent: by its extent's order, rate limit, slow start, idempotency and retry budget."""

from __future__ import annotations

import math
from collections import deque

from pebblehinge.decide.node_health import NodeHealth
from pebblehinge.decide.request import EPSILON, MAX_CACHE_ENTRIES, Request
from pebblehinge.decide.valuation import Valuation
from pebblehinge.interface import Idempotency, Outcome
from pebblehinge.scheduler_state import ChangeSet, KeyQueues

# Of the load at which a node in a slow start fails, the share that is admitted to it while the usual load is offered.
SLOW_START_ADMITTED_SHARE = 0.4
MAY_STILL_RUN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)


class Limits:
    """Applies rules 2 and 4 to 7 to the next attempt of a request.

    Args:
        nodes: The nodes and their health.
        valuation: Keeps the token buckets of volumes.
        change_set: Receives requests for wake-ups.
        now: Current time in milliseconds.

    Attributes:
        created_ms: Start of the scheduler, the time of wake-ups that are due at once.
        extent_queues: Ordered requests by extent, each until it is closed and has no attempt in flight.
        extent_wait_until_ms: By extent, how long its next request waits for an attempt that may still run.
        request_times_ms: When the requests that the retry budget counts were submitted.
        retry_times_ms: When the retries that the retry budget counts were sent.
        queued_retries: Number of queued requests that have had an attempt.
    """

    def __init__(self, nodes: NodeHealth, valuation: Valuation, change_set: ChangeSet, now: float) -> None:
        self.settings = nodes.settings
        self.nodes = nodes
        self.valuation = valuation
        self.change_set = change_set
        self.created_ms = now
        self.extent_queues: KeyQueues[Request] = KeyQueues()
        self.extent_wait_until_ms: dict[str, float] = {}
        self.request_times_ms: deque[float] = deque()
        self.retry_times_ms: deque[float] = deque()
        self.queued_retries = 0

    def may_send(self, request: Request, now: float) -> bool:
        """Returns whether a queued request may be sent now; requests a wake-up if it only has to wait."""
        node = request.node
        if not self.nodes.ready[node] or (request.attempt_count and not self.may_retry(request, now, 0)):
            return False
        if request.request_class.in_order and request.extent is not None:  # rule 6
            if self.extent_queues.first(request.extent) is not request:
                return False
            wait_until_ms = self.extent_wait_until_ms.get(request.extent, now)
            if wait_until_ms > now and not request.attempt_count:
                self.change_set.request_wake_up(wait_until_ms, node)
                return False
        at_ms = self.earliest_send_ms(request, now)
        if at_ms > now:
            self.change_set.request_wake_up(at_ms, node)
        return at_ms <= now

    def earliest_send_ms(self, request: Request, now: float) -> float:
        """Returns when a request may be sent (ms) by its volume's limit and its node's slow start."""
        at_ms = now
        settings = self.settings.current
        request.delay_reason = "its plan's limit"
        if request.quota_plan.limit_rate and not request.attempt_count:  # rule 5: waits for tokens
            missing_units = request.units - self.valuation.refill(request, now).limit_tokens
            if missing_units > EPSILON:
                at_ms = now + missing_units * request.set_size / request.quota_plan.limit_rate * 1000.0 + 1.0
        since_ms = self.nodes.slow_start_since_ms[request.node]
        if since_ms is None or now - since_ms >= settings.slow_start_duration_ms:
            self.nodes.slow_start_since_ms[request.node] = None
            return at_ms
        # Rule 4: of the requests for a node in a slow start, all gateways together admit the share that it can handle
        # by now, well below the load at which it fails. Each gateway draws the turns of its requests independently,
        # and requests of higher value get earlier turns. Beyond that, the concurrency limit follows the node's answers.
        # Trade-off: requests are delayed for nothing if a suspected restart was none, and too many are admitted if
        # much more than the usual load is offered.
        request.delay_reason = request.delay_reason if at_ms > now else "the cold of its shelf"
        turn = (
            request.slow_start_turn
            * self.valuation.mean_value_per_unit
            / max(request.value_per_unit, EPSILON)
            / max(EPSILON, SLOW_START_ADMITTED_SHARE * settings.slow_start_failure_multiple)
        )
        full_growth_ms = settings.slow_start_duration_ms / max(EPSILON, 1.0 - settings.slow_start_initial_share)
        return max(
            at_ms,
            min(
                since_ms + settings.slow_start_duration_ms,
                since_ms + (turn - settings.slow_start_initial_share) * full_growth_ms,
            ),
        )

    def may_retry(self, request: Request, now: float, count_queued: int, in_flight: bool = False) -> bool:
        """Returns whether rules 2 and 7 allow a retry.

        Args:
            request: The request.
            now: Current time in milliseconds.
            count_queued: 1 if the retry is about to be queued, behind the queued ones; 0 if it is about to be sent.
            in_flight: Whether its attempt is still in flight, and would be cancelled.
        """
        since_ms = (
            request.sent_ms if in_flight and request.may_have_run_since_ms is None else request.may_have_run_since_ms
        )
        until_ms = self.retry_deadline_ms(request, since_ms)
        return now <= until_ms and self.remaining_retries(now) >= 1 + count_queued * self.queued_retries

    def retry_deadline_ms(self, request: Request, since_ms: float | None) -> float:
        """Returns the time (ms) until which an attempt of a request may begin.

        Args:
            request: The request.
            since_ms: When the first attempt that may have run was sent, None without one.
        """
        idempotency = request.request_class.idempotency
        if since_ms is None or idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        window_ms = (
            -math.inf if idempotency is Idempotency.NON_IDEMPOTENT else request.request_class.deduplication_window_ms
        )
        return since_ms + window_ms - 2 * self.settings.current.clock_resolution_ms

    def remaining_retries(self, now: float) -> float:
        """Returns how many retries the budget still allows.

        Retries count slightly longer than the window and requests slightly shorter, since clocks and ends of windows
        may differ by one step of the clock.
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
        remaining = (
            settings.retry_budget_min_retries
            + (settings.retry_budget_share or 0.0) * len(self.request_times_ms)
            - len(self.retry_times_ms)
        )
        return math.inf if settings.retry_budget_share is None else remaining

    def on_submit(self, request: Request, now: float) -> None:
        """Counts a new request for the retry budget, and appends it to its extent's queue if it is ordered."""
        self.request_times_ms.append(now)
        self.remaining_retries(now)
        if request.request_class.in_order and request.extent is not None:
            self.extent_queues.append(request.extent, request)

    def on_send(self, request: Request, now: float) -> None:
        """Charges a retry to the retry budget, or a first attempt to the volume's limit."""
        if request.attempt_count:
            self.retry_times_ms.append(now)
            self.queued_retries -= 1
        else:
            self.valuation.refill(request, now).limit_tokens -= request.units if request.quota_plan.limit_rate else 0.0

    def on_attempt_end(self, request: Request, now: float, outcome: Outcome) -> None:
        """Makes the next ordered request of an extent wait if the attempt that ended may still run."""
        if request.request_class.in_order and request.extent is not None and outcome in MAY_STILL_RUN_OUTCOMES:
            if len(self.extent_wait_until_ms) > MAX_CACHE_ENTRIES:
                self.extent_wait_until_ms = {
                    extent: until_ms for extent, until_ms in self.extent_wait_until_ms.items() if until_ms > now
                }
            self.extent_wait_until_ms[request.extent] = now + self.settings.current.order_settle_ms

    def on_close(self, request: Request) -> None:
        """Lets the next ordered request of an extent be sent once a closed one has no attempt in flight."""
        if request.request_class.in_order and request.extent is not None and not request.attempt_in_flight:
            next_request = self.extent_queues.remove(request.extent, request)
            if next_request is not None and next_request.node >= 0:
                self.change_set.request_wake_up(
                    self.extent_wait_until_ms.get(request.extent, self.created_ms), next_request.node
                )
