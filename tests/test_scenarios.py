"""Plays the scenarios of tests/scenarios on a scheduler.

A scenario is a text file. `name: TITLE` starts a case, `set KEY=VALUE ...` changes its settings, and
`as TITLE until TIME` begins it with the lines of an earlier case of the file up to a time. Each other line is a time in
milliseconds, a verb and its values:

    0 list A:0 B:1:draining C:2::-500   an endpoint list; each node as name:slot[:state[:start]]
    0 change A:0::100                   changes to it; `cached` and `failed` likewise
    5 take 1 x look gold 2 v=vol n=2 s=0 until=2000   submits a request: id, extent (- for none), class, quota plan,
                                        units, volume, set size, slot, deadline; `again=1` or `again=0` tells whether
                                        it is a client's retry, where clients mark these
    9 end 1 honoured                    ends the last attempt of request 1 with this outcome
    9 begun 1                           its response has started to stream
    9 left 1                            its client disconnects
    9 restart                           a new scheduler, with the last endpoint list from the cache
    700 wait                            makes all wake-ups that are requested until then, in order

A line `= 1>A, 2 pushed back 500` after it states exactly what the scheduler did; without one, it did nothing. An
attempt is written as id>node (with the deadline in brackets if the case has `set show_until=1`), a cancellation as
`1 recall 0`, a final answer as `1 pushed back RETRY_AFTER` or `1 terminated`, a call to discovery as `watch`. After
`wait`, each begins with its time as @MS.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import (
    Changes,
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListKind,
    Outcome,
    QuotaPlan,
    RequestClass,
    Settings,
)

FOLDER = Path(__file__).parent / "scenarios"
LIST_KINDS = {"list": ListKind.WHOLE, "cached": ListKind.CACHED, "change": ListKind.CHANGES}
SETTINGS = Settings(
    request_classes=(),
    quota_plans=(),
    mean_units=2.0,
    max_units=8.0,
    share_value=0.3,
    excess_value=0.1,
    must_request_watch=False,
    clients_mark_retries=False,
    cancellation_allowed=True,
    max_retry_after_ms=500.0,
    max_attempts=3,
    clock_resolution_ms=1.0,
    slow_start_initial_share=0.25,
    slow_start_duration_ms=10000.0,
    slow_start_failure_multiple=4.0,
    order_settle_ms=0.0,
    retry_budget_share=None,
    retry_budget_min_retries=0.0,
    retry_budget_window_ms=0.0,
)


def request_class(
    name: str,
    idempotency: Idempotency,
    scope: DeduplicationScope = DeduplicationScope.ALL,
    latency_objective_ms: float = 400.0,
    **options: bool,
) -> RequestClass:
    """Returns a request class with a maximal wait of 3000 ms and a deduplication window of 1000 ms."""
    return RequestClass(
        name,
        2.0,
        latency_objective_ms,
        3000.0,
        0.1,
        idempotency,
        scope,
        1000.0,
        options.get("in_order", False),
    )


REQUEST_CLASSES = (
    request_class("look", Idempotency.IDEMPOTENT),
    request_class("save", Idempotency.NON_IDEMPOTENT),
    request_class("mark", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
    request_class("markall", Idempotency.IDEMPOTENT_WITH_KEY),
    request_class("bulk", Idempotency.IDEMPOTENT, latency_objective_ms=2000.0),
    request_class("line", Idempotency.IDEMPOTENT, in_order=True),
)
QUOTA_PLANS = (
    QuotaPlan("gold", 20.0, 20.0, 0.0, 0.0, 0.0, 1.0, 1.0),
    QuotaPlan("tin", 2.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.5),
    QuotaPlan("capped", 5.0, 0.0, 20.0, 20.0, 2.0, 1.0, 1.0),
)


class ScenarioRun:
    """One case: a scheduler, the handles of its requests by id, and its last endpoint list and wake-up time."""

    def __init__(self) -> None:
        self.settings = replace(SETTINGS, request_classes=REQUEST_CLASSES, quota_plans=QUOTA_PLANS)
        self.scheduler: Scheduler | None = None
        self.handles: dict[int, Request] = {}
        self.entries: dict[str, EndpointEntry] = {}
        self.show_until = False
        self.wake_up_ms: float | None = None

    def change_settings(self, words: list[str]) -> None:
        """Applies a line of settings."""
        for word in words:
            key, value = word.split("=")
            if key == "show_until":
                self.show_until = True
                continue
            default = getattr(SETTINGS, key)
            value_type = type(default) if default is not None else float
            self.settings = replace(self.settings, **{key: value_type(float(value))})

    def describe(self, changes: Changes, prefix: str = "") -> list[str]:
        """Returns what a call to the scheduler changed, in the words of the scenarios."""
        actions = []
        self.wake_up_ms = changes.wake_ms
        for handle in changes.handles:
            attempts, cancellations, answer = handle.drain()
            for attempt in attempts:
                deadline = f" ({attempt.deadline_ms:g})" if self.show_until else ""
                actions.append(f"{prefix}{handle.id}>{attempt.node_name}{deadline}")
            actions += [f"{prefix}{handle.id} recall {attempt}" for attempt in cancellations]
            if answer is not None:
                max_ms = self.settings.max_retry_after_ms
                is_random = max_ms / 2 <= answer.retry_after_ms <= max_ms  # drawn from this range; shown as its maximum
                retry_after = f" {max_ms if is_random else answer.retry_after_ms:g}" if answer.retry_after_ms else ""
                actions.append(f"{prefix}{handle.id} {answer.kind.value}{retry_after}")
        return actions + [f"{prefix}{call.value}" for call in changes.discovery_calls]

    def step(self, now: float, verb: str, words: list[str]) -> list[str]:
        """Plays one line, and returns what the scheduler did."""
        start_actions: list[str] = []
        if self.scheduler is None or verb == "restart":
            self.scheduler, self.handles = Scheduler(self.settings, 7, now), {}
            start_actions = self.describe(self.scheduler.start(now))
            if verb == "restart":
                return start_actions + self.describe(
                    self.scheduler.apply_endpoint_list(now, ListKind.CACHED, list(self.entries.values()))
                )
        if verb == "wait":
            actions = []
            while self.wake_up_ms is not None and self.wake_up_ms <= now:
                time_ms = self.wake_up_ms
                actions += self.describe(self.scheduler.on_wake_up(time_ms), f"@{time_ms:g} ")
            return actions
        if verb == "failed":
            return self.describe(self.scheduler.apply_endpoint_list(now, ListKind.FAILED, []))
        if verb in LIST_KINDS:
            entries = []
            for word in words:
                node, slot, *options = word.split(":")
                state = EndpointState(options[0]) if options and options[0] else EndpointState.READY
                entries.append(EndpointEntry(node, state, int(slot), float(options[1]) if len(options) > 1 else 0.0))
            self.entries.update({entry.node_name: entry for entry in entries})
            return start_actions + self.describe(self.scheduler.apply_endpoint_list(now, LIST_KINDS[verb], entries))
        if verb == "take":
            options = dict(word.split("=") for word in words[5:])
            request_id, extent = int(words[0]), None if words[1] == "-" else words[1]
            request, changes = self.scheduler.submit(
                now,
                request_id,
                extent,
                words[2],
                words[3],
                options.get("v", "vol"),
                int(options.get("n", 1)),
                int(options.get("s", 0)),
                float(words[4]),
                float(options.get("until", now + 3000)),
                bool(int(options["again"])) if "again" in options else None,
            )
            self.handles[request_id] = request
            return self.describe(changes)
        handle = self.handles[int(words[0])]
        if verb == "left":
            return self.describe(handle.on_client_disconnect(now))
        if verb == "begun":
            return self.describe(handle.on_response_start(now))
        assert verb == "end", f"unknown verb {verb}"
        outcome = Outcome(words[1])
        answered = outcome is Outcome.SUCCEEDED or handle.closed
        return self.describe(
            handle.on_attempt_end(now, handle.attempt_count - 1, outcome, answered, now - handle.sent_ms)
        )


def read_cases() -> list:
    """Reads all cases; returns test parameters, each the numbered lines of a case."""
    cases: list[tuple[str, list[tuple[int, str]]]] = []
    for path in sorted(FOLDER.glob("*.txt")):
        for number, text in enumerate(path.read_text().splitlines(), 1):
            line = text.split("#")[0].strip()
            if line.startswith("name:"):
                cases.append((f"{path.stem}: {line[5:].strip()}", []))
            elif line.startswith("as "):
                title, end_ms = line[3:].split(" until ")
                base_lines = dict(cases)[f"{path.stem}: {title}"]
                later = [
                    n
                    for n, (_, text) in enumerate(base_lines)
                    if text[0].isdigit() and float(text.split()[0]) >= float(end_ms)
                ]
                cases[-1][1].extend(base_lines[: later[0]])
            elif line:
                cases[-1][1].append((number, line))
    return [pytest.param(lines, id=title) for title, lines in cases]


@pytest.mark.parametrize("lines", read_cases())
def test_scenario(lines: list[tuple[int, str]]) -> None:
    run, actions, line_number = ScenarioRun(), [], 0
    for number, line in [*lines, (0, "end")]:
        if line.startswith("="):
            expected = [part.strip() for part in line[1:].split(",")]
            assert actions == expected, f"line {line_number}"
            actions = []
            continue
        assert actions == [], f"line {line_number}: no action was expected"
        if line.startswith("set "):
            run.change_settings(line.split()[1:])
        elif line != "end":
            time, verb, *words = line.split()
            actions, line_number = run.step(float(time), verb, words), number
