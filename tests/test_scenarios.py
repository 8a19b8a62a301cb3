"""Plays the scenarios of tests/scenarios against the decision module.

A scenario is a text file. `name: title` starts a case; `set key=value ...` alters the settings of the case;
`as TITLE until TIME` begins it like an earlier case of the file, up to a time.
Then each line is a time in milliseconds, a verb and its values:

    0 list A:0 B:1:draining C:2::-500   the whole list: shelf:slot[:standing[:started]]
    0 change A:0::100                   changes to it;  `cached` and `failed` likewise
    5 take 1 x look gold 2 v=vol n=2 s=0 until=2000     id, extent (- for none), profile, plan, units
                                        (again=1 or 0 where clients mark their repeats)
    9 end 1 succeeded                    the outcome of a request's last attempt
    9 left 1                            the client is gone
    9 restart                           a new head, with the list as it was last
    700 wait                            every wake asked for until then, in turn

A line `= 1>A, 2 rejected 500` below says exactly what the head did there; with none, it did nothing.
Attempts read id>shelf (with `until` in brackets where the case says `set show_until=1`), cancellations `1 recall 0`,
answers `1 rejected STAY` or `1 failed`, list calls `watch`; after `wait` each is led by its time, @MS.
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
KINDS = {"list": ListKind.WHOLE, "cached": ListKind.CACHED, "change": ListKind.CHANGES}
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


def profile(
    name: str, repeat: Idempotency, group: DeduplicationScope = DeduplicationScope.ALL, due: float = 400.0, **more: bool
) -> RequestClass:
    return RequestClass(name, 2.0, due, 3000.0, 0.1, repeat, group, 1000.0, more.get("in_order", False))


REQUEST_CLASSES = (
    profile("look", Idempotency.IDEMPOTENT),
    profile("save", Idempotency.NON_IDEMPOTENT),
    profile("mark", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
    profile("markall", Idempotency.IDEMPOTENT_WITH_KEY),
    profile("bulk", Idempotency.IDEMPOTENT, due=2000.0),
    profile("line", Idempotency.IDEMPOTENT, in_order=True),
)
QUOTA_PLANS = (
    QuotaPlan("gold", 20.0, 20.0, 0.0, 0.0, 0.0, 1.0, 1.0),
    QuotaPlan("tin", 2.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.5),
    QuotaPlan("capped", 5.0, 0.0, 20.0, 20.0, 2.0, 1.0, 1.0),
)


class Play:
    """One case: a head, the handles of its requests, and what the last line made it do."""

    def __init__(self) -> None:
        self.settings = replace(SETTINGS, request_classes=REQUEST_CLASSES, quota_plans=QUOTA_PLANS)
        self.head: Scheduler | None = None
        self.handles: dict[int, Request] = {}
        self.entries: dict[str, EndpointEntry] = {}
        self.show_until = False
        self.wake: float | None = None

    def alter(self, words: list[str]) -> None:
        for word in words:
            key, value = word.split("=")
            if key == "show_until":
                self.show_until = True
                continue
            old = getattr(SETTINGS, key)
            kind = type(old) if old is not None else float
            self.settings = replace(self.settings, **{key: kind(float(value))})

    def told(self, changes: Changes, stamp: str = "") -> list[str]:
        done = []
        self.wake = changes.wake_ms
        for handle in changes.handles:
            attempts, cancellations, answer = handle.drain()
            for attempt in attempts:
                until = f" ({attempt.deadline_ms:g})" if self.show_until else ""
                done.append(f"{stamp}{handle.id}>{attempt.node_name}{until}")
            done += [f"{stamp}{handle.id} recall {attempt}" for attempt in cancellations]
            if answer is not None:
                most = self.settings.max_retry_after_ms
                spread = most / 2 <= answer.retry_after_ms <= most  # drawn; written as the most
                stay = f" {most if spread else answer.retry_after_ms:g}" if answer.retry_after_ms else ""
                done.append(f"{stamp}{handle.id} {answer.kind.value}{stay}")
        return done + [f"{stamp}{call.value}" for call in changes.discovery_calls]

    def step(self, now: float, verb: str, words: list[str]) -> list[str]:
        first: list[str] = []
        if self.head is None or verb == "restart":
            self.head, self.handles = Scheduler(self.settings, 7, now), {}
            first = self.told(self.head.start(now))
            if verb == "restart":
                return first + self.told(
                    self.head.apply_endpoint_list(now, ListKind.CACHED, list(self.entries.values()))
                )
        if verb == "wait":
            done = []
            while self.wake is not None and self.wake <= now:
                at = self.wake
                done += self.told(self.head.on_wake_up(at), f"@{at:g} ")
            return done
        if verb == "failed":
            return self.told(self.head.apply_endpoint_list(now, ListKind.FAILED, []))
        if verb in KINDS:
            entries = []
            for word in words:
                shelf, slot, *more = word.split(":")
                standing = EndpointState(more[0]) if more and more[0] else EndpointState.READY
                entries.append(EndpointEntry(shelf, standing, int(slot), float(more[1]) if len(more) > 1 else 0.0))
            self.entries.update({e.node_name: e for e in entries})
            return first + self.told(self.head.apply_endpoint_list(now, KINDS[verb], entries))
        if verb == "take":
            more = dict(w.split("=") for w in words[5:])
            id_, extent = int(words[0]), None if words[1] == "-" else words[1]
            request, changes = self.head.submit(
                now,
                id_,
                extent,
                words[2],
                words[3],
                more.get("v", "vol"),
                int(more.get("n", 1)),
                int(more.get("s", 0)),
                float(words[4]),
                float(more.get("until", now + 3000)),
                bool(int(more["again"])) if "again" in more else None,
            )
            self.handles[id_] = request
            return self.told(changes)
        handle = self.handles[int(words[0])]
        if verb == "left":
            return self.told(handle.on_client_disconnect(now))
        if verb == "begun":
            return self.told(handle.on_response_start(now))
        assert verb == "end", f"unknown verb {verb}"
        outcome = Outcome(words[1])
        over = outcome is Outcome.SUCCEEDED or handle.closed
        return self.told(handle.on_attempt_end(now, handle.attempt_count - 1, outcome, over, now - handle.sent_ms))


def cases() -> list:
    found: list[tuple[str, list[tuple[int, str]]]] = []
    for path in sorted(FOLDER.glob("*.txt")):
        for number, text in enumerate(path.read_text().splitlines(), 1):
            line = text.split("#")[0].strip()
            if line.startswith("name:"):
                found.append((f"{path.stem}: {line[5:].strip()}", []))
            elif line.startswith("as "):
                title, until = line[3:].split(" until ")
                start = dict(found)[f"{path.stem}: {title}"]
                later = [
                    n
                    for n, (_, text) in enumerate(start)
                    if text[0].isdigit() and float(text.split()[0]) >= float(until)
                ]
                found[-1][1].extend(start[: later[0]])
            elif line:
                found[-1][1].append((number, line))
    return [pytest.param(lines, id=title) for title, lines in found]


@pytest.mark.parametrize("lines", cases())
def test_scenario(lines: list[tuple[int, str]]) -> None:
    play, said, where = Play(), [], 0
    for number, line in [*lines, (0, "end")]:
        if line.startswith("="):
            wanted = [part.strip() for part in line[1:].split(",")]
            assert said == wanted, f"line {where}"
            said = []
            continue
        assert said == [], f"line {where}: nothing was expected"
        if line.startswith("set "):
            play.alter(line.split()[1:])
        elif line != "end":
            time, verb, *words = line.split()
            said, where = play.step(float(time), verb, words), number
