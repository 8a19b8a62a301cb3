"""Retries of failed attempts, and cancellation of lost attempts so that they can be retried."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.node_health import SILENCE_LATENCIES
from pebblehinge.decide.request import Request
from pebblehinge.interface import Outcome

RETRYABLE_OUTCOMES = (  # after which a further attempt may succeed
    Outcome.SERVER_ERROR,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.CANCELLED,
)
# An attempt counts as lost once so many later attempts were answered and SILENCE_LATENCIES mean latencies have passed.
MIN_OVERTAKING_ANSWERS = 3


class Retries:
    """Queues retries and cancels attempts, as far as limits allow.

    Args:
        limits: Tell whether idempotency and the retry budget allow a retry.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.settings = limits.settings
        self.nodes = limits.nodes
        self.change_set = limits.change_set

    def queue(self, request: Request, node: int, now: float, outcome: Outcome) -> bool:
        """Queues a failed request again, at the only node that has its data, and returns whether it did."""
        nodes = self.nodes
        is_late = now + nodes.mean_latency(node, now) * request.relative_duration > request.deadline_ms
        has_moved = 0 <= request.slot != nodes.slots[node]  # another node has its data by now
        no_attempts_left = request.attempt_count >= self.settings.current.max_attempts
        if not nodes.ready[node] or is_late or has_moved or no_attempts_left or outcome not in RETRYABLE_OUTCOMES:
            return False
        if nodes.is_down(node, now) or not self.limits.may_retry(request, now, 1):
            return False
        self.limits.queued_retries += 1
        request.is_queued = True
        insort(nodes.queues[node], request)
        return True

    def cancel_overtaken(self, answered_request: Request, node: int, now: float) -> None:
        """Cancels attempts that were overtaken by later ones long ago, so that they are retried.

        A node serves requests in order of arrival, so such an attempt was probably lost on the way. Trade-off: work
        that takes long may be done twice, though the time allowed grows with the cost of the request.
        """
        settings = self.settings.current
        for request in self.nodes.in_flight[node]:
            if request.sent_ms >= answered_request.sent_ms:
                break
            request.overtaking_answers += 1
            usual_ms = self.nodes.mean_latency(node, now) * max(1.0, request.relative_duration)
            is_lost = (
                request.overtaking_answers >= MIN_OVERTAKING_ANSWERS
                and now - request.sent_ms >= SILENCE_LATENCIES * usual_ms
            )
            is_useful = (
                not request.closed
                and now + usual_ms <= request.due_ms
                and request.attempt_count < settings.max_attempts
            )
            if is_lost and is_useful and settings.cancellation_allowed and self.limits.may_retry(request, now, 1, True):
                self.cancel(request)

    def cancel(self, request: Request) -> None:
        """Requests the cancellation of the attempt in flight."""
        request.overtaking_answers = -math.inf
        request.cancellations.append(request.attempt_count - 1)
        self.change_set.add_handle(request)
