"""What a head's `GatewayCore` must keep, on drawn runs of its own: one answer each, and nothing left behind."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from drawn import CONFIG, PROFILES, RUNS, SHELFS

from pebblehinge.gateway import GatewayCore
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome


class Origin:
    """What a core knows of a connection."""

    inside = False


class RecordingEffects:
    """Stands where the sockets are: keeps what the core has done, and what the clients were told."""

    def __init__(self) -> None:
        self.in_flight: list[Any] = []
        self.answer_counts: Counter[int] = Counter()
        self.wake = float("inf")
        self.faults: list[str] = []

    def send_attempt(self, pending: Any, shelf: str, attempt: int, until_ms: float) -> None:
        if self.answer_counts[pending.id] or pending.attempt is not None:
            self.faults.append(f"trip {attempt} of {pending.id}: answered, or out already")
        pending.attempt = (pending, attempt, until_ms)
        self.in_flight.append(pending.attempt)

    def cancel_attempt(self, pending: Any) -> None:
        self.in_flight.remove(pending.attempt)

    def answer(self, pending: Any, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        self.answer_counts[pending.id] += 1

    def wake_at(self, at_ms: float) -> None:
        self.wake = min(self.wake, at_ms)

    def call_discovery(self, call: Any) -> None:
        self.faults.append("a list that is pushed was asked for")


def run_core(seed: int, kind: type[GatewayCore]) -> tuple[list[str], GatewayCore, RecordingEffects]:
    """One run of a head's core; what is wrong with it."""
    rng, doing, now, left = random.Random(f"{seed}/core"), RecordingEffects(), 1000.0, set()
    core = kind(CONFIG, CONFIG.head["h1"], now, doing)
    core.start(now)
    truth = [EndpointEntry(f"s{i}", EndpointState.READY, i, 0.0) for i in range(SHELFS)]
    core.listed(now, ListKind.WHOLE, truth)
    count, takens = 0, []

    def pass_until(end: float) -> None:
        nonlocal now
        while True:
            due = min(doing.in_flight, key=lambda row: row[2], default=None)
            at = min(due[2] if due else end, doing.wake, end)
            now = max(now, at)
            if doing.wake <= now:
                doing.wake = float("inf")
                core.woken(now)
            elif due and due[2] <= now:
                doing.in_flight.remove(due)
                core.ended(now, due[0], due[1], Outcome.TIMED_OUT, 1.0)
            else:
                return

    for _ in range(200):
        pass_until(now + rng.expovariate(0.1))
        what = rng.random()
        if what < 0.5:
            count += 1
            pending = core.take(
                now,
                Origin(),
                count,
                f"t{count}",
                rng.choice(("gold-1", "gold-2", "gold-3", "capped-1", "none")),
                None,
                rng.choice(PROFILES),
                f"x{rng.randrange(3)}",
                rng.randrange(-1, SHELFS),
                rng.choice((1.0, 1.0, 1.0, 4.0, 9.0)),
                rng.choice((0.0, 30.0, 600.0, 900.0)),
                None,
                None,
                1,
                0,
                10,
                b"0123456789",
            )
            takens += [pending] if pending is not None else []
        elif what < 0.85 and doing.in_flight:
            row = doing.in_flight.pop(rng.randrange(len(doing.in_flight)))
            outcome = Outcome.SUCCEEDED if rng.random() < 0.4 else rng.choice(list(Outcome))
            core.ended(now, row[0], row[1], outcome, rng.uniform(1.0, 100.0))
        elif what < 0.93 and takens:
            open_ = [t for t in takens if not t.answered]
            pending = rng.choice(open_ or takens)
            left |= {pending.id} if not pending.answered else set()
            core.left(now, pending)
        elif what < 0.98:
            i = rng.randrange(SHELFS)
            standing = rng.choice((EndpointState.READY, *EndpointState))
            started = rng.choice((0.0, 0.0, now, now - 900.0))
            truth[i] = EndpointEntry(f"s{i}", standing, rng.choice((i, i, (i + 1) % SHELFS)), started)
            kind_ = rng.choice((ListKind.WHOLE, ListKind.CHANGES))
            core.listed(now, kind_, [e for e in truth if e.state is not EndpointState.GONE])
        else:
            core.adopt_config(now, CONFIG)
    pass_until(now + 5000.0)
    told = {i: doing.answer_counts[i] for i in range(1, count + 1)}
    faults = doing.faults + [f"{i}: {n} answers" for i, n in told.items() if n != (i not in left)]
    if core.pending or core.open_count or core.payload_bytes:
        faults.append(
            f"{len(core.pending)} kept, {core.open_count} open, {core.payload_bytes} bytes after all had ended"
        )
    return faults, core, doing


def test_the_core_answers_each_request_once_and_keeps_nothing_of_it() -> None:
    met: Counter[str] = Counter()
    for seed in range(RUNS):
        faults, core, _ = run_core(seed, GatewayCore)
        assert not faults, f"seed {seed}: {faults}"
        met.update(core.counts.by_label())
        met.update({o.value: n for o, n in core.outcome_counts.items()})
    assert min(met[k] for k in ("honoured", "pushed back", "terminated", "left", "refused")) > 100, met
    assert min(met[o.value] for o in Outcome) > 50, met


def test_a_core_that_keeps_what_is_over_is_caught() -> None:
    class Keeps(GatewayCore):
        def _remove_if_finished(self, pending: Any) -> None:
            if pending.key % 7:
                super()._remove_if_finished(pending)

    assert "kept" in run_core(0, Keeps)[0][-1]
