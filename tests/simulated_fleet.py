"""Several gateways' schedulers in virtual time, and storage nodes that end attempts with random outcomes."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from typing import Any

from random_runs import GATEWAYS, MAY_HAVE_RUN_OUTCOMES, NODE_COUNT, Incarnation, random_attempt_end

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, FinalAnswerKind, Outcome
from pebblehinge.settings import Config


class SimulatedFleet:
    """Gateways, storage nodes and the clock, with the records that the checker of the rules reads.

    Attributes:
        scheduler_type: The class of the gateways' schedulers.
        now: The time in milliseconds.
        endpoints: The present endpoint list.
        previous_endpoints: The endpoint list before the last change.
        incarnations: The present incarnation of each gateway.
        event_queue: Calls to make, as a heap of time, sequence number and call.
        records: Records of the clients, the lab and discovery.
        node_records: Records of each node.
        closed_ms: When each request was answered or its client disconnected, by trace id.
        node_free_ms: When each node has served all that it received, for nodes that serve one request after another.
        in_flight: Attempts in flight at each node.
        attempts_after_answer: Attempts that were sent after the final answer of their request.
        misrouted_attempts: Attempts to a node that, by the endpoint list, holds the data of another slot.
        counts: How often each thing happened.
    """

    def __init__(self, config: Config, seed: int, rule: str, scheduler_type: type[Scheduler] = Scheduler) -> None:
        self.config, self.seed, self.rule, self.scheduler_type = config, seed, rule, scheduler_type
        self.now, self.request_count, self.event_count = 1000.0, 0, 0
        self.endpoints = {f"s{i}": EndpointEntry(f"s{i}", EndpointState.READY, i, 0.0) for i in range(NODE_COUNT)}
        self.previous_endpoints = dict(self.endpoints)
        self.incarnations: dict[str, Incarnation] = {}
        self.event_queue: list[tuple[float, int, Any]] = []
        self.records: dict[str, list[dict[str, Any]]] = {
            "clients": [],
            "lab": [{"e": "begin", "t": 0.0}],
            "listing": [],
        }
        self.node_records: dict[str, list[dict[str, Any]]] = {name: [] for name in self.endpoints}
        self.closed_ms: dict[str, float] = {}
        self.node_free_ms: dict[str, float] = {}
        self.in_flight: dict[str, list[tuple[str, Incarnation, Request, int]]] = {}
        self.attempts_after_answer: list[str] = []
        self.misrouted_attempts: list[str] = []
        self.counts: Counter[str] = Counter()
        for name in self.endpoints:
            self._record_start(name, False)
        for name in GATEWAYS:
            self._start_gateway(name, None)

    def schedule(self, time_ms: float, call: Any) -> None:
        """Schedules a call for a time."""
        self.event_count += 1
        heapq.heappush(self.event_queue, (time_ms, self.event_count, call))

    def _advance_to(self, end_ms: float) -> None:
        """Makes the calls and wake-ups that are due until a time, in order."""
        while True:
            waiting = [
                (name, incarnation)
                for name, incarnation in self.incarnations.items()
                if incarnation.wake_up_ms is not None
            ]
            wake_up_ms, name = min(
                (
                    (max(incarnation.wake_up_ms, incarnation.wake_ups_delayed_until_ms), name)
                    for name, incarnation in waiting
                ),
                default=(math.inf, ""),
            )
            if self.event_queue and self.event_queue[0][0] <= min(wake_up_ms, end_ms):
                time_ms, _, call = heapq.heappop(self.event_queue)
                self.now = max(self.now, time_ms)
                call()
            elif wake_up_ms <= end_ms:
                self.now = max(self.now, wake_up_ms)
                incarnation = self.incarnations[name]
                incarnation.wake_up_ms = None
                self._apply_changes(name, incarnation, incarnation.scheduler.on_wake_up(self.now))
            else:
                self.now = end_ms
                return

    def _record(self, source: str, event: str, t: float | None = None, **values: Any) -> None:
        """Adds a record, at the present time unless another time `t` is given."""
        self.records[source].append({"e": event, "t": self.now if t is None else t, **values})

    def _record_start(self, name: str, cold: bool) -> None:
        """Records the start of a node's process, in a slow start if `cold`."""
        rules, entry = self.config.rules, self.endpoints[name]
        self.node_records[name].append(
            {
                "e": "up",
                "t": self.now,
                "slot": entry.slot,
                "cores": 2,
                "speed": 1.0,
                "started": self.now,
                "cold": cold,
                "cold_from": rules.cold_share,
                "warm_ms": rules.warm,
                "unit_work": 14.0,
            }
        )

    def _start_gateway(self, name: str, snapshot: dict[str, Any] | None) -> None:
        """Starts a gateway's process, with the snapshot of an earlier one if there is any."""
        settings = self.config.scheduler_settings(self.config.head["h1"])
        scheduler = self.scheduler_type(settings, self.seed + self.event_count, self.now)
        incarnation = self.incarnations[name] = Incarnation(scheduler, settings)
        if snapshot is not None:
            scheduler.restore(self.now, snapshot, 50.0, False)
        self._record("lab", "started", name=name)
        self._record("clients", "connected", head=name)
        self._apply_changes(name, incarnation, scheduler.start(self.now))

    def _apply_changes(self, name: str, incarnation: Incarnation, changes: Changes) -> None:
        """Carries out what a call to a scheduler changed."""
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self._run_attempt(name, incarnation, request, attempt)
            for number in cancellations:
                self.counts["recalled"] += 1
                self.schedule(
                    self.now,
                    lambda request=request, number=number: self._end_attempt(
                        name, incarnation, request, number, Outcome.CANCELLED
                    ),
                )
            if answer is not None:
                final = "pushed back" if answer.kind is FinalAnswerKind.REJECTED else "terminated"
                self._record_answer(request, final, answer.retry_after_ms)
        incarnation.wake_up_ms = changes.wake_ms

    def _record_answer(self, request: Request, final: str, retry_after_ms: float) -> None:
        self._record("clients", "answer", id=request.trace, final=final, stay=retry_after_ms)
        self.closed_ms[request.trace] = self.now
        self.counts[final] += 1

    def _run_attempt(self, name: str, incarnation: Incarnation, request: Request, attempt: Any) -> None:
        """Sends an attempt to its node, and schedules its end."""
        number = request.attempt_count - 1
        if request.trace in self.closed_ms:
            self.attempts_after_answer.append(
                f"{request.trace}: trip {number} to {attempt.node_name} after its final answer"
            )
        if request.slot >= 0 and incarnation.slots[attempt.node_name] != request.slot:
            self.misrouted_attempts.append(
                f"{request.trace}, for slot {request.slot}: trip {number} to {attempt.node_name} at {self.now:.0f} ms"
            )
        rng, outcome, duration_ms = random_attempt_end(self.seed, self.rule, request.trace, number)
        if self.rule == "cold":  # the node serves one request after another, at its present capacity
            rules, age_ms = self.config.rules, self.now - self.endpoints[attempt.node_name].started_ms
            capacity_share = min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age_ms / rules.warm)
            begin_ms = max(self.now, self.node_free_ms.get(attempt.node_name, 0.0))
            duration_ms = begin_ms + request.units * 14.0 / 2.0 / capacity_share - self.now
            self.node_free_ms[attempt.node_name] = self.now + duration_ms
        if outcome is Outcome.TIMED_OUT or self.now + duration_ms >= attempt.deadline_ms:
            outcome, duration_ms = Outcome.TIMED_OUT, max(0.0, attempt.deadline_ms - self.now)
        if outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            age_ms = self.now - self.endpoints[attempt.node_name].started_ms
            self.node_records[attempt.node_name].append(
                {
                    "e": "got",
                    "t": self.now,
                    "id": request.trace,
                    "n": number,
                    "head": name,
                    "u": request.units,
                    "w": request.units * 14.0,
                    "full": outcome is Outcome.OVERLOADED,
                    "op": 1,
                    "x": request.extent,
                    "label": None,
                    "cold": age_ms < self.config.rules.warm,
                }
            )
            self.counts["to a node in a slow start"] += age_ms < self.config.rules.warm
        if outcome in MAY_HAVE_RUN_OUTCOMES and rng.random() < 0.8:
            self.node_records[attempt.node_name].append(
                {"e": "effect", "t": self.now + duration_ms, "id": request.trace}
            )
        self.counts[outcome.value] += 1
        self.counts["further"] += number > 0
        self.in_flight[attempt.node_name] = [
            row for row in self.in_flight.get(attempt.node_name, []) if row[3] not in row[2].ended_attempts
        ]
        self.in_flight[attempt.node_name].append((name, incarnation, request, number))
        self.schedule(
            self.now + duration_ms,
            lambda: self._end_attempt(name, incarnation, request, number, outcome, attempt.node_name),
        )

    def _end_attempt(
        self, name: str, incarnation: Incarnation, request: Request, number: int, outcome: Outcome, node: str = ""
    ) -> None:
        """Ends an attempt unless it has ended or its gateway has restarted; `node` is the one that answered, if any."""
        if self.incarnations.get(name) is not incarnation or number in request.ended_attempts:
            return
        request.ended_attempts.add(number)
        if node and outcome is not Outcome.TIMED_OUT:
            self.node_records[node].append({"e": "said", "t": self.now, "id": request.trace, "n": number})
        if outcome is Outcome.SUCCEEDED and request.trace not in self.closed_ms:
            self._record_answer(request, "honoured", 0.0)
        answered = request.trace in self.closed_ms
        self._apply_changes(
            name,
            incarnation,
            request.on_attempt_end(self.now, number, outcome, answered, self.now - request.sent_ms),
        )
