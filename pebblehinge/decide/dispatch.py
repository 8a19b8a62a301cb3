"""The ordinary way of a request, from top to bottom: taken, queued, sent, answered or given up."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.anticipation import Anticipation
from pebblehinge.decide.limits import Limits
from pebblehinge.decide.load_shedding import LoadShedder
from pebblehinge.decide.node_health import CONCURRENCY_LIMIT, LATENCIES, PROBE_INTERVAL_MS, SILENT_MS, NodeHealth
from pebblehinge.decide.request import REMEMBERED, ExtentState, Request
from pebblehinge.decide.retries import Retries
from pebblehinge.decide.valuation import Valuation
from pebblehinge.interface import Attempt, Changes, Idempotency, Outcome
from pebblehinge.scheduler_state import ChangeSet, LruCache

NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


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
        self.shelfs = shelfs
        self.notes = notes
        self.end_ms = math.inf  # end of a graceful shutdown: no request is queued past it
        self.seq = 0  # of the last request
        self.extents: LruCache[ExtentState] = LruCache(REMEMBERED)
        self.valuation = Valuation(self.settings, now)
        self.limits = Limits(shelfs, self.valuation, notes, now)
        self.load_shedder = LoadShedder(self.limits, self.extents)
        self.anticipation = Anticipation(shelfs, self.extents, notes)
        self.retries = Retries(self.limits)

    def take(
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
        last_ms = min(deadline_ms - 2 * settings.step_ms, self.end_ms)
        # A client's clock runs on over its tries: one with less patience left than its class's has waited
        # before, here or at a gateway that died, and is due by so much earlier. But one that leaves before an
        # answer could be late is impatient, not late: due when it leaves. Harm: a last try counts in full.
        again = repeat if repeat is not None else deadline_ms - now >= class_.latency_objective_ms
        asked_ms = deadline_ms - class_.max_wait_ms if again else now
        due_ms = min(asked_ms + class_.latency_objective_ms, last_ms)
        self.seq += 1
        request = Request(
            self,
            self.seq,
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
        self.limits.on_taken(request, now)
        self.valuation.price(request, now)
        if extent is not None:
            state = self.extents.use(extent, ExtentState(slow_start_turn))
            if repeat is False:
                state.slow_start_turn = slow_start_turn
            request.slow_start_turn = state.slow_start_turn
            if state.open == 0 and state.answered_ms is not None:
                state.note(now - state.answered_ms)
            state.answered_ms = None
            state.open += 1
        request.shelf = self.shelfs.at_slot.get(slot, -1) if slot >= 0 else self.shelfs.pick_new()
        if request.shelf < 0:  # its node is not listed: no other has its data
            self.load_shedder.give_up(request, "its shelf is not listed")
        else:
            request.queued = True
            insort(self.shelfs.queued[request.shelf], request)
            self.serve(request.shelf, now, None)
        return request, self.notes.finish(now)

    def serve(self, node: int, now: float, done: str | None) -> None:
        """Sheds load at a node, and sends to it what may be sent.

        Args:
            node: its index.
            now: clock, ms.
            done: the extent whose answer has just freed a slot of the concurrency limit, if one has.
        """
        self.load_shedder.shed(node, now)
        shelfs = self.shelfs
        may_go = self.limits.may_go
        queued = shelfs.queued[node]
        in_flight = shelfs.in_flight[node]
        reserved_slots = shelfs.reserved_slots[node]
        if not queued:
            reserved_slots.clear()  # slots are kept only while others are queued (design)
            return
        reserved_slots[:] = [reserved for reserved in reserved_slots if reserved[1] > now]
        if shelfs.is_down(node, now):
            self._probe(node, now)
            return
        while queued and len(in_flight) < (
            CONCURRENCY_LIMIT if shelfs.slow_start_ms[node] is None else shelfs.concurrency_limit[node]
        ):
            # A request of the finished, awaited or last sent extent goes at once, ahead of the candidate; a
            # narrowed limit delays no sequential request, as the node saves work on it, but in a slow start (rule 4).
            kept = [reserved[0] for reserved in reserved_slots]
            runs = [done, shelfs.last_extent[node], *kept]
            request = next((r for r in queued if r.extent and r.extent in runs and may_go(r, now)), None)
            if request is None:
                request = self._earliest_due(node, now)
                if request is None:
                    break
                urgent = request.due_ms - now < 2 * shelfs.mean_latency(node, now)
                if not urgent and done is not None and self.anticipation.pays(node, request, done, now):
                    done = None
                    continue
                if len(in_flight) + len(reserved_slots) >= shelfs.concurrency_limit[node]:
                    if not urgent:
                        break
                    reserved_slots.pop(0)
            elif request.extent in kept:
                del reserved_slots[kept.index(request.extent)]
            done = None if request.extent != done else done
            self.send(request, now)

    def _earliest_due(self, node: int, now: float) -> Request | None:
        """Returns the first queued request that may go, if the node's concurrency limit allows one more."""
        shelfs = self.shelfs
        if len(shelfs.in_flight[node]) >= shelfs.concurrency_limit[node]:
            return None
        return next((request for request in shelfs.queued[node] if self.limits.may_go(request, now)), None)

    def _probe(self, node: int, now: float) -> None:
        """Sends one request to a node that is down, an idempotent one first, since it may be lost."""
        if self.shelfs.in_flight[node] or now < self.shelfs.next_probe_ms[node]:
            return
        queued = self.shelfs.queued[node]
        probes = sorted(queued, key=lambda r: r.request_class.repeat is Idempotency.NON_IDEMPOTENT)
        for request in [r for r in probes if self.limits.may_go(r, now)][:1]:
            self.shelfs.next_probe_ms[node] = now + PROBE_INTERVAL_MS
            self.send(request, now)

    def send(self, request: Request, now: float) -> None:
        """Sends a queued request's next attempt, and sets its deadline."""
        node = request.shelf
        shelfs = self.shelfs
        shelfs.queued[node].remove(request)
        request.queued = False
        self.limits.on_sent(request, now)
        request.sequential = (
            request.extent is not None and request.extent == shelfs.last_extent[node] and not request.sent
        )
        request.sent += 1
        request.out = True
        request.sent_ms = now
        request.overtaken = 0
        if not shelfs.in_flight[node]:
            shelfs.last_answer_ms[node] = now
        shelfs.in_flight[node].append(request)
        shelfs.last_extent[node] = request.extent
        # With no mean known it runs until it is due: a node that swallows the first attempts is soon seen.
        mean_ms = shelfs.mean_latency(node, now)
        longest_ms = math.inf if shelfs.unreachable[node] else mean_ms * request.size
        until_ms = min(request.deadline_ms, max(request.due_ms, now + longest_ms))
        begin_by_ms = self.limits.retry_until(request, request.risk_ms)
        request.attempts.append(Attempt(shelfs.names[node], until_ms, begin_by_ms))
        self.notes.wake(now + SILENT_MS + LATENCIES * mean_ms, node)
        self.notes.changed(request)

    def ended(self, request: Request, now: float, outcome: Outcome, over: bool, took_ms: float) -> None:
        """The attempt in flight has ended: the request is over, is retried or given up, and the freed slot is used."""
        node = request.shelf
        request.out = False
        self.shelfs.in_flight[node].remove(request)
        if request.risk_ms is None and outcome not in NEVER_RAN:
            request.risk_ms = request.sent_ms
        self.limits.on_ended(request, now, outcome)
        self.shelfs.record_outcome(request, node, now, outcome, took_ms)
        if outcome is Outcome.SUCCEEDED:
            self.retries.cancel_overtaken(request, node, now)
        if over or request.over:
            self.load_shedder.close(request)
        elif not self.retries.queue(request, node, now, outcome):
            self.load_shedder.give_up(request, "its trip was " + outcome.value)
        state = self.extents.get(request.extent) if request.extent is not None else None
        if state is not None and request.over:
            state.answered_ms = now if state.open == 0 else None
        self.serve(node, now, request.extent if outcome is Outcome.SUCCEEDED else None)

    def left(self, request: Request, now: float) -> None:
        """The client is gone: an attempt in flight is cancelled where that is allowed."""
        if not request.over:
            if request.out and self.settings.current.may_cancel:
                self.retries.cancel(request)
            self.load_shedder.close(request)
            if request.shelf >= 0:
                self.serve(request.shelf, now, None)
