"""Retries of failed attempts, and cancellation of lost ones so that they can be retried."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.node_health import SILENCE_LATENCIES
from pebblehinge.decide.request import Request
from pebblehinge.interface import Outcome

RETRYABLE_OUTCOMES = (  # a further attempt may succeed
    Outcome.SERVER_ERROR,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.CANCELLED,
)
MIN_OVERTAKING_ANSWERS = (
    3  # later attempts answered first, after which an attempt out for LATENCIES mean latencies counts as lost
)


class Retries:
    """Queues retries and cancels attempts, as far as limits allow.

    Args:
        limits: idempotency, the retry budget and the attempts a request may have.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.settings = limits.settings
        self.nodes = limits.nodes
        self.change_set = limits.change_set

    def queue(self, request: Request, node: int, now: float, outcome: Outcome) -> bool:
        """Queues a failed request again, for the only node that has its data; returns whether it did."""
        shelfs = self.nodes
        late = now + shelfs.mean_latency(node, now) * request.relative_duration > request.deadline_ms
        moved = 0 <= request.slot != shelfs.slots[node]  # its data is elsewhere by now
        spent = request.attempt_count >= self.settings.current.max_attempts
        if not shelfs.ready[node] or late or moved or spent or outcome not in RETRYABLE_OUTCOMES:
            return False
        if shelfs.is_down(node, now) or not self.limits.may_retry(request, now, 1):
            return False
        self.limits.queued_retries += 1
        request.is_queued = True
        insort(shelfs.queues[node], request)
        return True

    def cancel_overtaken(self, answered: Request, node: int, now: float) -> None:
        """Cancels attempts that later ones overtook long ago, so that they are retried.

        A node takes requests in turn, so such an attempt got lost on the way. Harm: long work may be done twice; the
        request's units are allowed for.
        """
        settings = self.settings.current
        for request in self.nodes.in_flight[node]:
            if request.sent_ms >= answered.sent_ms:
                break
            request.overtaking_answers += 1
            usual_ms = self.nodes.mean_latency(node, now) * max(1.0, request.relative_duration)
            lost = (
                request.overtaking_answers >= MIN_OVERTAKING_ANSWERS
                and now - request.sent_ms >= SILENCE_LATENCIES * usual_ms
            )
            useful = (
                not request.closed
                and now + usual_ms <= request.due_ms
                and request.attempt_count < settings.max_attempts
            )
            if lost and useful and settings.cancellation_allowed and self.limits.may_retry(request, now, 1, True):
                self.cancel(request)

    def cancel(self, request: Request) -> None:
        """Asks for the cancellation of the attempt in flight, once."""
        request.overtaking_answers = -math.inf
        request.cancellations.append(request.attempt_count - 1)
        self.change_set.add_handle(request)
