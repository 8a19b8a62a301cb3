"""Decides which requests are given up, and with what final answer."""

from __future__ import annotations

import heapq
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.node_health import MAX_CONCURRENCY
from pebblehinge.decide.request import EPSILON, ExtentState, Request
from pebblehinge.interface import DeduplicationScope, FinalAnswer, FinalAnswerKind, Idempotency

IDLE_LATENCY_QUARTILES = 1.7  # latency of an idle node, as a multiple of the lower quartile over all nodes
VALUE_EXPONENT = 2.0  # how steeply the time to spare that a request needs grows as its value falls


class LoadShedder:
    """Gives up queued requests that can't be answered in time, and closes requests.

    Args:
        limits: Tell when a request may be sent.
        extents: What is known of extents.
    """

    def __init__(self, limits: Limits, extents: dict[str, ExtentState]) -> None:
        self.limits = limits
        self.extents = extents
        self.change_set = limits.change_set
        self.nodes = limits.nodes
        self.valuation = limits.valuation

    def shed(self, node: int, now: float) -> None:
        """Sheds load at a node.

        For each queued request the expected end of its turn is computed. If it would miss its due time, the request
        with the least value per unit among it and those before it is given up. A request that would be late even
        without the others counts with its late value instead, and is due when its client leaves. Many gateways share a
        node, and each has few queued requests to choose from, so a request of less than the usual value needs more time
        to spare, and one of more value needs less. Trade-off: some requests are given up that the node could have
        served.
        """
        nodes = self.nodes
        queued = nodes.queues[node]
        mean_ms = nodes.mean_latency(node, now)
        concurrency_limit = nodes.concurrency_limit[node]
        if not queued:
            return
        idle_ms = min(mean_ms, IDLE_LATENCY_QUARTILES * nodes.low_quartile_ms)
        is_down = nodes.is_down(node, now)
        free_places = concurrency_limit - len(nodes.in_flight[node])
        position = 0
        # Heap of the requests up to `position`, the least valuable first; built once one of them has to be given up.
        least_valuable: list[tuple[float, float, int, Request]] = []
        if is_down and now < nodes.next_probe_ms[node]:
            self._give_up_all(node)
            return
        while position < len(queued):
            request = queued[position]
            earliest_ms = self.limits.earliest_send_ms(request, now)
            inverse_value = self.valuation.mean_value_per_unit / max(request.value_per_unit, EPSILON)
            required_ms = request.relative_duration * (idle_ms + (mean_ms - idle_ms) * inverse_value**VALUE_EXPONENT)
            if earliest_ms > now and earliest_ms + required_ms > request.due_ms:  # late even without the others
                self.give_up(request, "too late by " + request.delay_reason)
                continue
            if now + required_ms >= request.due_ms and request.due_ms < request.deadline_ms:
                # A late answer may only use capacity that no other request needs.
                self._lower_to_late_value(request, free_places <= 0 or self._is_limited(node))
                continue
            if least_valuable:
                heapq.heappush(least_valuable, (request.value_per_unit, -request.due_ms, -request.seq, request))
            while request.is_queued and (
                (is_down and position)
                or now >= request.deadline_ms
                or now + required_ms + mean_ms * max(0, position + 1 - free_places) / concurrency_limit > request.due_ms
            ):
                if not least_valuable:
                    least_valuable = [(r.value_per_unit, -r.due_ms, -r.seq, r) for r in queued[: position + 1]]
                    heapq.heapify(least_valuable)
                victim = heapq.heappop(least_valuable)[-1]
                is_expired = now >= victim.deadline_ms
                self.give_up(victim, "its time is up" if is_expired else "others earn more there")
                position -= victim is not request
            position += request.is_queued
        if queued:  # rule 1: requests a wake-up for the next due time or deadline at this node
            self.change_set.request_wake_up(
                min(r.deadline_ms if r.due_ms >= r.deadline_ms else r.due_ms for r in queued), node
            )

    def _give_up_all(self, node: int) -> None:
        for request in list(self.nodes.queues[node]):
            self.give_up(request, "its shelf is down")

    def _is_limited(self, node: int) -> bool:
        """Returns whether a node has attempts in flight and gets fewer at once than a healthy one."""
        return self.nodes.concurrency_limit[node] < MAX_CONCURRENCY and bool(self.nodes.in_flight[node])

    def _lower_to_late_value(self, request: Request, give_up: bool) -> None:
        """Requeues a request that will be late, with its late value, or gives it up."""
        if give_up:
            self.give_up(request, "its shelf is too slow for it")
            return
        queued = self.nodes.queues[request.node]
        queued.remove(request)
        request.due_ms = request.deadline_ms
        request.value_per_unit *= request.request_class.late_value_share
        insort(queued, request)

    def give_up(self, request: Request, reason: str) -> None:
        """Gives the final answer at once: rejected if a retry by the client is harmless, failed otherwise.

        The Retry-After of a rejection is drawn at random, so that clients do not come back all at once.
        """
        idempotency = request.request_class.idempotency
        scope = request.request_class.deduplication_scope
        is_retry_harmless = (
            (request.may_have_run_since_ms is None and not request.attempt_in_flight)
            or idempotency is Idempotency.IDEMPOTENT
            or (idempotency is Idempotency.IDEMPOTENT_WITH_KEY and scope is DeduplicationScope.ALL)
        )
        retry_after_ms = self.nodes.settings.current.max_retry_after_ms * self.nodes.rng.uniform(0.5, 1.0)
        request.answer = (
            FinalAnswer(FinalAnswerKind.REJECTED, retry_after_ms, reason)
            if is_retry_harmless
            else FinalAnswer(FinalAnswerKind.FAILED, reason=reason)
        )
        self.valuation.refund(request)
        self.change_set.add_handle(request)
        self.close(request)

    def close(self, request: Request) -> None:
        """Closes a request to whose client nothing more is owed: removes it from its queue and its extent's count."""
        if request.is_queued:
            self.nodes.queues[request.node].remove(request)
            request.is_queued = False
            self.limits.queued_retries -= request.attempt_count > 0
        if not request.closed:
            request.closed = True
            state = self.extents.get(request.extent) if request.extent is not None else None
            if state is not None:
                state.open_requests -= state.open_requests > 0
        self.limits.on_close(request)
