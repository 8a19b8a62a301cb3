"""Which requests are given up, and with what answer."""

from __future__ import annotations

import heapq
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.node_health import MAX_CONCURRENCY
from pebblehinge.decide.request import EPSILON, ExtentState, Request
from pebblehinge.interface import DeduplicationScope, FinalAnswer, FinalAnswerKind, Idempotency

IDLE_LATENCY_QUARTILES = 1.7  # latency of an idle node, in lower quartiles of the latencies of all nodes
VALUE_EXPONENT = 2.0  # exponent: how much more room to spare is asked of what earns less than usual


class LoadShedder:
    """Gives up queued requests that can't be answered in time, and closes requests.

    Args:
        limits: when a request may be sent.
        extents: what is known of extents.
    """

    def __init__(self, limits: Limits, extents: dict[str, ExtentState]) -> None:
        self.limits = limits
        self.extents = extents
        self.change_set = limits.change_set
        self.nodes = limits.nodes
        self.valuation = limits.valuation

    def shed(self, node: int, now: float) -> None:
        """Sheds load at a node.

        Each queued request is placed at the time its turn should end; where one would miss its due time, the one
        among it and those before it that earns least for the work is given up. One that can no longer be in time by
        itself counts with its late value, due when the client leaves. Many gateways share a node and each queues
        little to choose from: what earns less than usual here needs more room to spare, what earns more needs less.
        Harm: some are given up that the node could have served.
        """
        shelfs = self.nodes
        queued = shelfs.queues[node]
        mean_ms = shelfs.mean_latency(node, now)
        concurrency_limit = shelfs.concurrency_limit[node]
        if not queued:
            return
        idle_ms = min(mean_ms, IDLE_LATENCY_QUARTILES * shelfs.low_quartile_ms)
        is_down = shelfs.is_down(node, now)
        room = concurrency_limit - len(shelfs.in_flight[node])
        position = 0
        least: list[tuple[float, float, int, Request]] = []  # a heap of those up to position, once one must go
        if is_down and now < shelfs.next_probe_ms[node]:
            self._give_up_all(node)
            return
        while position < len(queued):
            request = queued[position]
            ready_ms = self.limits.earliest_send_ms(request, now)
            value = self.valuation.mean_value_per_unit / max(request.value_per_unit, EPSILON)
            needs_ms = request.relative_duration * (idle_ms + (mean_ms - idle_ms) * value**VALUE_EXPONENT)
            if ready_ms > now and ready_ms + needs_ms > request.due_ms:  # at whatever cost to others
                self.give_up(request, "too late by " + request.delay_reason)
                continue
            if now + needs_ms >= request.due_ms and request.due_ms < request.deadline_ms:
                # Late value takes only capacity that nobody else wants.
                self._lower_to_late_value(request, room <= 0 or self._is_narrowed(node))
                continue
            if least:
                heapq.heappush(least, (request.value_per_unit, -request.due_ms, -request.seq, request))
            while request.is_queued and (
                (is_down and position)
                or now >= request.deadline_ms
                or now + needs_ms + mean_ms * max(0, position + 1 - room) / concurrency_limit > request.due_ms
            ):
                if not least:
                    least = [(r.value_per_unit, -r.due_ms, -r.seq, r) for r in queued[: position + 1]]
                    heapq.heapify(least)
                victim = heapq.heappop(least)[-1]
                expired = now >= victim.deadline_ms
                self.give_up(victim, "its time is up" if expired else "others earn more there")
                position -= victim is not request
            position += request.is_queued
        if queued:  # rule 1: whichever node a request has been queued at, the next end is asked for there
            self.change_set.request_wake_up(
                min(r.deadline_ms if r.due_ms >= r.deadline_ms else r.due_ms for r in queued), node
            )

    def _give_up_all(self, node: int) -> None:
        for request in list(self.nodes.queues[node]):
            self.give_up(request, "its shelf is down")

    def _is_narrowed(self, node: int) -> bool:
        """Whether a node with attempts in flight gets fewer at once than a healthy one."""
        return self.nodes.concurrency_limit[node] < MAX_CONCURRENCY and bool(self.nodes.in_flight[node])

    def _lower_to_late_value(self, request: Request, give_up: bool) -> None:
        """Queues a request that will be late anew by its late value, or gives it up."""
        if give_up:
            self.give_up(request, "its shelf is too slow for it")
            return
        queued = self.nodes.queues[request.node]
        queued.remove(request)
        request.due_ms = request.deadline_ms
        request.value_per_unit *= request.request_class.late_value_share
        insort(queued, request)

    def give_up(self, request: Request, why: str) -> None:
        """Gives the final answer at once: rejected where the client's retry is harmless, else failed.

        A rejection comes with a Retry-After that is drawn, so that clients don't come back in step.
        """
        repeat = request.request_class.idempotency
        group = request.request_class.deduplication_scope
        harmless = (
            (request.may_have_run_since_ms is None and not request.attempt_in_flight)
            or repeat is Idempotency.IDEMPOTENT
            or (repeat is Idempotency.IDEMPOTENT_WITH_KEY and group is DeduplicationScope.ALL)
        )
        stay_away_ms = self.nodes.settings.current.max_retry_after_ms * self.nodes.rng.uniform(0.5, 1.0)
        request.answer = (
            FinalAnswer(FinalAnswerKind.REJECTED, stay_away_ms, why)
            if harmless
            else FinalAnswer(FinalAnswerKind.FAILED, reason=why)
        )
        self.valuation.refund(request)
        self.change_set.add_handle(request)
        self.close(request)

    def close(self, request: Request) -> None:
        """Nothing more is owed to the client: takes the request out of its queue and of its extent's count."""
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
