"""The ordinary way of a request, from top to bottom: taken, queued, sent, answered or given up."""

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
    """What one gateway does with its requests.

    Args:
        shelfs: the nodes and their health.
        notes: collects what a call changes.
        now: clock, ms.
    """

    def __init__(self, shelfs: NodeHealth, notes: ChangeSet, now: float) -> None:
        self.settings = shelfs.settings
        self.rng = shelfs.rng
        self.nodes = shelfs
        self.change_set = notes
        self.shutdown_end_ms = math.inf  # end of a graceful shutdown: no request is queued past it
        self.last_seq = 0  # of the last request
        self.extents: LruCache[ExtentState] = LruCache(MAX_CACHE_ENTRIES)
        self.valuation = Valuation(self.settings, now)
        self.limits = Limits(shelfs, self.valuation, notes, now)
        self.load_shedder = LoadShedder(self.limits, self.extents)
        self.anticipation = Anticipation(shelfs, self.extents, notes)
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
        repeat: bool | None = None,
    ) -> tuple[Request, Changes]:
        """Takes a client's request, and sends what can be sent.

        Args:
            now: clock, ms.
            request_id: the caller's id.
            extent: what it reads or writes, None for none.
            request_class: its class's name.
            quota_plan: its volume's plan's name.
            volume: its volume.
            set_size: gateways that share the volume.
            slot: slot of placement of its data, under 0 for a new object.
            units: its cost.
            deadline_ms: when the client leaves.
            repeat: whether it is the client's retry; None if clients don't say.

        Returns:
            Its handle, and what changed.

        Raises:
            KeyError: there is no such class or plan.
        """
        settings = self.settings.current
        slow_start_turn = self.rng.random()
        size = (1.0 + units / (settings.mean_units or units or 1.0)) / 2  # half of a latency goes by size
        class_ = self.settings.request_classes[request_class]
        plan = self.settings.quota_plans[quota_plan]
        last_ms = min(deadline_ms - 2 * settings.clock_resolution_ms, self.shutdown_end_ms)
        # A client's clock runs on over its tries: one with less patience left than its class's has waited
        # before, here or at a gateway that died, and is due by so much earlier. But one that leaves before an
        # answer could be late is impatient, not late: due when it leaves. Harm: a last try counts in full.
        again = repeat if repeat is not None else deadline_ms - now >= class_.latency_objective_ms
        asked_ms = deadline_ms - class_.max_wait_ms if again else now
        due_ms = min(asked_ms + class_.latency_objective_ms, last_ms)
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
            size,
            slow_start_turn,
            due_ms,
            last_ms,
        )
        self.limits.on_submit(request, now)
        self.valuation.set_value(request, now)
        if extent is not None:
            state = self.extents.get_or_insert(extent, ExtentState(slow_start_turn))
            if repeat is False:
                state.slow_start_turn = slow_start_turn
            request.slow_start_turn = state.slow_start_turn
            if state.open_requests == 0 and state.idle_since_ms is not None:
                state.add_think_time(now - state.idle_since_ms)
            state.idle_since_ms = None
            state.open_requests += 1
        request.node = self.nodes.node_at_slot.get(slot, -1) if slot >= 0 else self.nodes.pick_for_new_object()
        if request.node < 0:  # its node is not listed: no other has its data
            self.load_shedder.give_up(request, "its shelf is not listed")
        else:
            request.is_queued = True
            insort(self.nodes.queues[request.node], request)
            self.process_queue(request.node, now, None)
        return request, self.change_set.finish(now)

    def process_queue(self, node: int, now: float, done: str | None) -> None:
        """Sheds load at a node, and sends to it what may be sent.

        Args:
            node: its index.
            now: clock, ms.
            done: the extent whose answer has just freed a slot of the concurrency limit, if one has.
        """
        self.load_shedder.shed(node, now)
        shelfs = self.nodes
        may_go = self.limits.may_send
        queued = shelfs.queues[node]
        in_flight = shelfs.in_flight[node]
        reserved_slots = shelfs.reservations[node]
        if not queued:
            reserved_slots.clear()  # slots are kept only while others are queued (design)
            return
        reserved_slots[:] = [reserved for reserved in reserved_slots if reserved[1] > now]
        if shelfs.is_down(node, now):
            self._send_probe(node, now)
            return
        while queued and len(in_flight) < (
            MAX_CONCURRENCY if shelfs.slow_start_since_ms[node] is None else shelfs.concurrency_limit[node]
        ):
            # A request of the finished, awaited or last sent extent goes at once, ahead of the candidate; a
            # narrowed limit delays no sequential request, as the node saves work on it, but in a slow start (rule 4).
            kept = [reserved[0] for reserved in reserved_slots]
            runs = [done, shelfs.last_extent[node], *kept]
            request = next((r for r in queued if r.extent and r.extent in runs and may_go(r, now)), None)
            if request is None:
                request = self._earliest_sendable(node, now)
                if request is None:
                    break
                urgent = request.due_ms - now < 2 * shelfs.mean_latency(node, now)
                if not urgent and done is not None and self.anticipation.try_reserve(node, request, done, now):
                    done = None
                    continue
                if len(in_flight) + len(reserved_slots) >= shelfs.concurrency_limit[node]:
                    if not urgent:
                        break
                    reserved_slots.pop(0)
            elif request.extent in kept:
                del reserved_slots[kept.index(request.extent)]
            done = None if request.extent != done else done
            self.send_attempt(request, now)

    def _earliest_sendable(self, node: int, now: float) -> Request | None:
        """Returns the first queued request that may go, if the node's concurrency limit allows one more."""
        shelfs = self.nodes
        if len(shelfs.in_flight[node]) >= shelfs.concurrency_limit[node]:
            return None
        return next((request for request in shelfs.queues[node] if self.limits.may_send(request, now)), None)

    def _send_probe(self, node: int, now: float) -> None:
        """Sends one request to a node that is down, an idempotent one first, since it may be lost."""
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
        shelfs = self.nodes
        shelfs.queues[node].remove(request)
        request.is_queued = False
        self.limits.on_send(request, now)
        request.is_sequential = (
            request.extent is not None and request.extent == shelfs.last_extent[node] and not request.attempt_count
        )
        request.attempt_count += 1
        request.attempt_in_flight = True
        request.sent_ms = now
        request.overtaking_answers = 0
        if not shelfs.in_flight[node]:
            shelfs.last_answer_ms[node] = now
        shelfs.in_flight[node].append(request)
        shelfs.last_extent[node] = request.extent
        # With no mean known it runs until it is due: a node that swallows the first attempts is soon seen.
        mean_ms = shelfs.mean_latency(node, now)
        longest_ms = math.inf if shelfs.unreachable[node] else mean_ms * request.relative_duration
        until_ms = min(request.deadline_ms, max(request.due_ms, now + longest_ms))
        begin_by_ms = self.limits.retry_deadline_ms(request, request.may_have_run_since_ms)
        request.attempts.append(Attempt(shelfs.names[node], until_ms, begin_by_ms))
        self.change_set.request_wake_up(now + SILENCE_MS + SILENCE_LATENCIES * mean_ms, node)
        self.change_set.add_handle(request)

    def on_attempt_end(self, request: Request, now: float, outcome: Outcome, over: bool, took_ms: float) -> None:
        """The attempt in flight has ended: the request is over, is retried or given up, and the freed slot is used."""
        node = request.node
        request.attempt_in_flight = False
        self.nodes.in_flight[node].remove(request)
        if request.may_have_run_since_ms is None and outcome not in NEVER_RAN_OUTCOMES:
            request.may_have_run_since_ms = request.sent_ms
        self.limits.on_attempt_end(request, now, outcome)
        self.nodes.record_outcome(request, node, now, outcome, took_ms)
        if outcome is Outcome.SUCCEEDED:
            self.retries.cancel_overtaken(request, node, now)
        if over or request.closed:
            self.load_shedder.close(request)
        elif not self.retries.queue(request, node, now, outcome):
            self.load_shedder.give_up(request, "its trip was " + outcome.value)
        state = self.extents.get(request.extent) if request.extent is not None else None
        if state is not None and request.closed:
            state.idle_since_ms = now if state.open_requests == 0 else None
        self.process_queue(node, now, request.extent if outcome is Outcome.SUCCEEDED else None)

    def on_client_disconnect(self, request: Request, now: float) -> None:
        """The client is gone: an attempt in flight is cancelled where that is allowed."""
        if not request.closed:
            if request.attempt_in_flight and self.settings.current.cancellation_allowed:
                self.retries.cancel(request)
            self.load_shedder.close(request)
            if request.node >= 0:
                self.process_queue(request.node, now, None)
