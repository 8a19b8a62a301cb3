"""Helpers of tests that call a scheduler directly, without a gateway."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from test_scenarios import QUOTA_PLANS, REQUEST_CLASSES, SETTINGS

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, ListKind, Outcome

SHORT_SLOW_START_SETTINGS = replace(
    SETTINGS, request_classes=REQUEST_CLASSES, quota_plans=QUOTA_PLANS, slow_start_duration_ms=10.0
)

# Parameters of `Scheduler.submit`, by the words of the settings that tests use for them.
PARAMETER_NAMES = {"profile": "request_class", "plan": "quota_plan"}


def apply_list(
    scheduler: Scheduler, now: float, *rows: tuple[str, int, float], kind: ListKind = ListKind.CHANGES
) -> Changes:
    """Applies an endpoint list of ready nodes, each row a name, a slot and a start time (ms)."""
    return scheduler.apply_endpoint_list(
        now, kind, [EndpointEntry(name, EndpointState.READY, slot, started_ms) for name, slot, started_ms in rows]
    )


def submit(scheduler: Scheduler, now: float, slot: int = 0, **arguments: Any) -> Request:
    """Submits a request whose client waits `remaining_ms` more; other arguments are those of `Scheduler.submit`."""
    values: dict[str, Any] = {
        "extent": None,
        "request_class": "look",
        "quota_plan": "gold",
        "volume": "v",
        "set_size": 1,
        "units": 1.0,
        "remaining_ms": 3000.0,
    }
    values |= {PARAMETER_NAMES.get(key, key): value for key, value in arguments.items()}
    remaining_ms = values.pop("remaining_ms")
    return scheduler.submit(now, 1, slot=slot, deadline_ms=now + remaining_ms, **values)[0]


def was_sent(request: Request) -> bool:
    """Returns whether the scheduler has sent an attempt of a request since the last call."""
    attempts, _, _ = request.drain()
    return bool(attempts)


def serve_request(scheduler: Scheduler, now: float, slot: int, latency_ms: float) -> None:
    """Submits a request, checks that it is sent at once, and ends its attempt with success."""
    request = submit(scheduler, now, slot)
    assert was_sent(request), "the request was not sent"
    request.on_attempt_end(now + latency_ms, 0, Outcome.SUCCEEDED, True, latency_ms)
