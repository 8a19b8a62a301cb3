"""Property tests of `GatewayCore` on random runs: each request gets one answer and is removed after its end."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from random_runs import CONFIG, NODE_COUNT, REQUEST_CLASS_NAMES, RUNS_PER_RULE

from pebblehinge.gateway import GatewayCore
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome


class Origin:
    """A stand-in for the origin of a request."""

    is_internal = False


class RecordingEffects:
    """Effects without sockets, which record the attempts in flight and count the answers to each request."""

    def __init__(self) -> None:
        self.in_flight: list[Any] = []
        self.answer_counts: Counter[int] = Counter()
        self.wake_ms = float("inf")
        self.faults: list[str] = []

    def send_attempt(self, pending: Any, node: str, attempt: int, until_ms: float) -> None:
        if self.answer_counts[pending.id] or pending.attempt is not None:
            self.faults.append(f"attempt {attempt} of {pending.id}: answered, or in flight already")
        pending.attempt = (pending, attempt, until_ms)
        self.in_flight.append(pending.attempt)

    def cancel_attempt(self, pending: Any) -> None:
        self.in_flight.remove(pending.attempt)

    def answer(self, pending: Any, final: int, retry_after_ms: float, reason: str, data: bytes) -> None:
        self.answer_counts[pending.id] += 1

    def wake_at(self, at_ms: float) -> None:
        self.wake_ms = min(self.wake_ms, at_ms)

    def call_discovery(self, call: Any) -> None:
        self.faults.append("discovery was called although it pushes its lists")


def run_core(seed: int, core_type: type[GatewayCore]) -> tuple[list[str], GatewayCore, RecordingEffects]:
    """Plays one random run; returns the faults, the core and its effects."""
    rng, effects, now, cancelled_ids = random.Random(f"{seed}/core"), RecordingEffects(), 1000.0, set()
    core = core_type(CONFIG, CONFIG.head["h1"], now, effects)
    core.start(now)
    endpoints = [EndpointEntry(f"s{i}", EndpointState.READY, i, 0.0) for i in range(NODE_COUNT)]
    core.apply_endpoint_list(now, ListKind.WHOLE, endpoints)
    count, accepted = 0, []

    def advance_to(end_ms: float) -> None:
        nonlocal now
        while True:
            earliest = min(effects.in_flight, key=lambda attempt: attempt[2], default=None)
            next_ms = min(earliest[2] if earliest else end_ms, effects.wake_ms, end_ms)
            now = max(now, next_ms)
            if effects.wake_ms <= now:
                effects.wake_ms = float("inf")
                core.on_wake_up(now)
            elif earliest and earliest[2] <= now:
                effects.in_flight.remove(earliest)
                core.on_attempt_end(now, earliest[0], earliest[1], Outcome.TIMED_OUT, 1.0)
            else:
                return

    for _ in range(200):
        advance_to(now + rng.expovariate(0.1))
        draw = rng.random()
        if draw < 0.5:
            count += 1
            pending = core.admit(
                now,
                Origin(),
                count,
                f"t{count}",
                rng.choice(("gold-1", "gold-2", "gold-3", "capped-1", "none")),
                None,
                rng.choice(REQUEST_CLASS_NAMES),
                f"x{rng.randrange(3)}",
                rng.randrange(-1, NODE_COUNT),
                rng.choice((1.0, 1.0, 1.0, 4.0, 9.0)),
                rng.choice((0.0, 30.0, 600.0, 900.0)),
                None,
                None,
                1,
                0,
                10,
                b"0123456789",
            )
            accepted += [pending] if pending is not None else []
        elif draw < 0.85 and effects.in_flight:
            attempt = effects.in_flight.pop(rng.randrange(len(effects.in_flight)))
            outcome = Outcome.SUCCEEDED if rng.random() < 0.4 else rng.choice(list(Outcome))
            core.on_attempt_end(now, attempt[0], attempt[1], outcome, rng.uniform(1.0, 100.0))
        elif draw < 0.93 and accepted:
            unanswered = [t for t in accepted if not t.answered]
            pending = rng.choice(unanswered or accepted)
            cancelled_ids |= {pending.id} if not pending.answered else set()
            core.on_client_disconnect(now, pending)
        elif draw < 0.98:
            i = rng.randrange(NODE_COUNT)
            state = rng.choice((EndpointState.READY, *EndpointState))
            started = rng.choice((0.0, 0.0, now, now - 900.0))
            endpoints[i] = EndpointEntry(f"s{i}", state, rng.choice((i, i, (i + 1) % NODE_COUNT)), started)
            list_kind = rng.choice((ListKind.WHOLE, ListKind.CHANGES))
            core.apply_endpoint_list(now, list_kind, [e for e in endpoints if e.state is not EndpointState.GONE])
        else:
            core.apply_config(now, CONFIG)
    advance_to(now + 5000.0)
    answer_counts = {i: effects.answer_counts[i] for i in range(1, count + 1)}
    faults = effects.faults + [f"{i}: {n} answers" for i, n in answer_counts.items() if n != (i not in cancelled_ids)]
    if core.pending or core.open_count or core.payload_bytes:
        faults.append(
            f"{len(core.pending)} kept, {core.open_count} open, {core.payload_bytes} bytes after all requests had ended"
        )
    return faults, core, effects


def test_core_answers_each_request_once_and_removes_it() -> None:
    totals: Counter[str] = Counter()
    for seed in range(RUNS_PER_RULE):
        faults, core, _ = run_core(seed, GatewayCore)
        assert not faults, f"seed {seed}: {faults}"
        totals.update(core.counts.by_label())
        totals.update({o.value: n for o, n in core.outcome_counts.items()})
    assert min(totals[k] for k in ("honoured", "pushed back", "terminated", "left", "refused")) > 100, totals
    assert min(totals[o.value] for o in Outcome) > 50, totals


def test_run_detects_a_core_that_keeps_finished_requests() -> None:
    class KeepsFinishedRequests(GatewayCore):
        def _remove_if_finished(self, pending: Any) -> None:
            if pending.key % 7:
                super()._remove_if_finished(pending)

    assert "kept" in run_core(0, KeepsFinishedRequests)[0][-1]
