"""The normal path of a request, from top to bottom: submitted, queued, sent, answered or given up."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.anticipation import Anticipation
from pebblehinge.decide.limits import Limits
from pebblehinge.decide.load_shedding import LoadShedder
from pebblehinge.decide.node_health import MAX_CONCURRENCY, PROBE_INTERVAL_MS, SILENCE_LATENCIES, SILENCE_MS, NodeHealth
from pebblehinge.decide.request import MAX_CACHE_ENTRIES, ExtentState, Request
from pebblehinge.decide.retries import Retries
from pebblehinge.decide.valuation import Valuation
from pebblehinge.interface import Attempt, Changes, Idempotency, Outcome
from pebblehinge.scheduler_state import ChangeSet, LruCache

NEVER_RAN_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Dispatcher:
    """Queues and sends the requests of one gateway.

    Args:
        nodes: The nodes and their health.
        change_set: Collects what a call changes.
        now: Current time in milliseconds.
    """

    def __init__(self, nodes: NodeHealth, change_set: ChangeSet, now: float) -> None:
        self.settings = nodes.settings
        self.rng = nodes.rng
        self.nodes = nodes
        self.change_set = change_set
        self.shutdown_end_ms = math.inf  # end of a graceful shutdown: no request is queued past it
        self.last_seq = 0  # sequence number of the last request
        self.extents: LruCache[ExtentState] = LruCache(MAX_CACHE_ENTRIES)
        self.valuation = Valuation(self.settings, now)
        self.limits = Limits(nodes, self.valuation, change_set, now)
        self.load_shedder = LoadShedder(self.limits, self.extents)
        self.anticipation = Anticipation(nodes, self.extents, change_set)
        self.retries = Retries(self.limits)

    def submit(
        self,
        now: float,
        request_id: int,
        extent: str | None,
        request_class: str,
        quota_plan: str,
        volume: str,
        set_size: int,
        slot: int,
        units: float,
        deadline_ms: float,
        is_retry: bool | None = None,
    ) -> tuple[Request, Changes]:
        """Accepts a client's request, and sends what can be sent.

        Args:
            now: Current time in milliseconds.
            request_id: The caller's id.
            extent: The extent that it reads or writes, None for none.
            request_class: Name of its class.
            quota_plan: Name of its volume's quota plan.
            volume: Its volume.
            set_size: Number of gateways that share the volume.
            slot: Slot of placement of its data, below 0 for a new object.
            units: Its cost.
            deadline_ms: When the client stops waiting.
            is_retry: Whether it is a retry by the client; None if clients do not mark retries.

        Returns:
            The handle of the request, and what changed.

        Raises:
            KeyError: There is no such class or plan.
        """
        settings = self.settings.current
        slow_start_turn = self.rng.random()
        relative_duration = (1.0 + units / (settings.mean_units or units or 1.0)) / 2  # half of it follows the cost
        class_ = self.settings.request_classes[request_class]
        plan = self.settings.quota_plans[quota_plan]
        last_ms = min(deadline_ms - 2 * settings.clock_resolution_ms, self.shutdown_end_ms)
        # A client's wait goes on over its retries. If less of its class's max_wait_ms is left, it has waited before,
        # here or at a gateway that died, and its answer is due that much earlier. Where clients do not mark retries,
        # one that leaves before an answer could be late counts as new: its answer is due when it leaves. Trade-off:
        # the last retry of a client then counts with its full value.
        has_waited = is_retry if is_retry is not None else deadline_ms - now >= class_.latency_objective_ms
        first_asked_ms = deadline_ms - class_.max_wait_ms if has_waited else now
        due_ms = min(first_asked_ms + class_.latency_objective_ms, last_ms)
        self.last_seq += 1
        request = Request(
            self,
            self.last_seq,
            request_id,
            extent,
            class_,
            plan,
            volume,
            max(1, set_size),
            slot,
            units,
            relative_duration,
            slow_start_turn,
            due_ms,
            last_ms,
        )
        self.limits.on_submit(request, now)
        self.valuation.set_value(request, now)
        if extent is not None:
            state = self.extents.get_or_insert(extent, ExtentState(slow_start_turn))
            if is_retry is False:
                state.slow_start_turn = slow_start_turn
            request.slow_start_turn = state.slow_start_turn
            if state.open_requests == 0 and state.idle_since_ms is not None:
                state.add_think_time(now - state.idle_since_ms)
            state.idle_since_ms = None
            state.open_requests += 1
        request.node = self.nodes.node_at_slot.get(slot, -1) if slot >= 0 else self.nodes.pick_for_new_object()
        if request.node < 0:  # no node that has its data is listed
            self.load_shedder.give_up(request, "its shelf is not listed")
        else:
            request.is_queued = True
            insort(self.nodes.queues[request.node], request)
            self.process_queue(request.node, now, None)
        return request, self.change_set.finish(now)

    def process_queue(self, node: int, now: float, finished_extent: str | None) -> None:
        """Sheds load at a node, and sends it the requests that may be sent.

        Args:
            node: Index of the node.
            now: Current time in milliseconds.
            finished_extent: The extent whose answer has just freed a place under the concurrency limit, if any.
        """
        self.load_shedder.shed(node, now)
        nodes = self.nodes
        may_send = self.limits.may_send
        queued = nodes.queues[node]
        in_flight = nodes.in_flight[node]
        reservations = nodes.reservations[node]
        if not queued:
            reservations.clear()  # places are kept only while other requests are queued
            return
        reservations[:] = [reservation for reservation in reservations if reservation[1] > now]
        if nodes.is_down(node, now):
            self._send_probe(node, now)
            return
        while queued and len(in_flight) < (
            MAX_CONCURRENCY if nodes.slow_start_since_ms[node] is None else nodes.concurrency_limit[node]
        ):
            # A request for the extent that finished, was sent last or has a reservation is sent first. Such sequential
            # requests cost the node less, so a lowered limit does not delay them, except in a slow start (rule 4).
            reserved_extents = [reservation[0] for reservation in reservations]
            preferred_extents = [finished_extent, nodes.last_extent[node], *reserved_extents]
            request = next((r for r in queued if r.extent and r.extent in preferred_extents and may_send(r, now)), None)
            if request is None:
                request = self._earliest_sendable(node, now)
                if request is None:
                    break
                is_urgent = request.due_ms - now < 2 * nodes.mean_latency(node, now)
                if (
                    not is_urgent
                    and finished_extent is not None
                    and self.anticipation.try_reserve(node, request, finished_extent, now)
                ):
                    finished_extent = None
                    continue
                if len(in_flight) + len(reservations) >= nodes.concurrency_limit[node]:
                    if not is_urgent:
                        break
                    reservations.pop(0)
            elif request.extent in reserved_extents:
                del reservations[reserved_extents.index(request.extent)]
            finished_extent = None if request.extent != finished_extent else finished_extent
            self.send_attempt(request, now)

    def _earliest_sendable(self, node: int, now: float) -> Request | None:
        """Returns the first queued request that may be sent, if the concurrency limit allows one more."""
        nodes = self.nodes
        if len(nodes.in_flight[node]) >= nodes.concurrency_limit[node]:
            return None
        return next((request for request in nodes.queues[node] if self.limits.may_send(request, now)), None)

    def _send_probe(self, node: int, now: float) -> None:
        """Sends one request to a node that is down, preferably one that may be retried, since it may be lost."""
        if self.nodes.in_flight[node] or now < self.nodes.next_probe_ms[node]:
            return
        queued = self.nodes.queues[node]
        probes = sorted(queued, key=lambda r: r.request_class.idempotency is Idempotency.NON_IDEMPOTENT)
        for request in [r for r in probes if self.limits.may_send(r, now)][:1]:
            self.nodes.next_probe_ms[node] = now + PROBE_INTERVAL_MS
            self.send_attempt(request, now)

    def send_attempt(self, request: Request, now: float) -> None:
        """Sends a queued request's next attempt, and sets its deadline."""
        node = request.node
        nodes = self.nodes
        nodes.queues[node].remove(request)
        request.is_queued = False
        self.limits.on_send(request, now)
        request.is_sequential = (
            request.extent is not None and request.extent == nodes.last_extent[node] and not request.attempt_count
        )
        request.attempt_count += 1
        request.attempt_in_flight = True
        request.sent_ms = now
        request.overtaking_answers = 0
        if not nodes.in_flight[node]:
            nodes.last_answer_ms[node] = now
        nodes.in_flight[node].append(request)
        nodes.last_extent[node] = request.extent
        # Without a known mean it times out when it is due, so that a node that drops all attempts is detected soon.
        mean_ms = nodes.mean_latency(node, now)
        max_duration_ms = math.inf if nodes.unreachable[node] else mean_ms * request.relative_duration
        deadline_ms = min(request.deadline_ms, max(request.due_ms, now + max_duration_ms))
        begin_by_ms = self.limits.retry_deadline_ms(request, request.may_have_run_since_ms)
        request.attempts.append(Attempt(nodes.names[node], deadline_ms, begin_by_ms))
        self.change_set.request_wake_up(now + SILENCE_MS + SILENCE_LATENCIES * mean_ms, node)
        self.change_set.add_handle(request)

    def on_attempt_end(self, request: Request, now: float, outcome: Outcome, answered: bool, took_ms: float) -> None:
        """Closes, retries or gives up a request whose attempt has ended, and uses the place that it freed."""
        node = request.node
        request.attempt_in_flight = False
        self.nodes.in_flight[node].remove(request)
        if request.may_have_run_since_ms is None and outcome not in NEVER_RAN_OUTCOMES:
            request.may_have_run_since_ms = request.sent_ms
        self.limits.on_attempt_end(request, now, outcome)
        self.nodes.record_outcome(request, node, now, outcome, took_ms)
        if outcome is Outcome.SUCCEEDED:
            self.retries.cancel_overtaken(request, node, now)
        if answered or request.closed:
            self.load_shedder.close(request)
        elif not self.retries.queue(request, node, now, outcome):
            self.load_shedder.give_up(request, "its trip was " + outcome.value)
        state = self.extents.get(request.extent) if request.extent is not None else None
        if state is not None and request.closed:
            state.idle_since_ms = now if state.open_requests == 0 else None
        self.process_queue(node, now, request.extent if outcome is Outcome.SUCCEEDED else None)

    def on_client_disconnect(self, request: Request, now: float) -> None:
        """Closes a request whose client has disconnected, and cancels its attempt in flight if that is allowed."""
        if not request.closed:
            if request.attempt_in_flight and self.settings.current.cancellation_allowed:
                self.retries.cancel(request)
            self.load_shedder.close(request)
            if request.node >= 0:
                self.process_queue(request.node, now, None)
