"""A decision module alone, and requests for it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from test_scenarios import QUOTA_PLANS, REQUEST_CLASSES, SETTINGS

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, ListKind, Outcome

SAFE = replace(SETTINGS, request_classes=REQUEST_CLASSES, quota_plans=QUOTA_PLANS, slow_start_duration_ms=10.0)

KEYWORDS = {"profile": "request_class", "plan": "quota_plan"}  # the settings' words: the scheduler's


def listed(head: Scheduler, now: float, *rows: tuple[str, int, float], kind: ListKind = ListKind.CHANGES) -> Changes:
    return head.apply_endpoint_list(
        now, kind, [EndpointEntry(name, EndpointState.READY, slot, started) for name, slot, started in rows]
    )


def take(head: Scheduler, now: float, slot: int = 0, **more: Any) -> Request:
    given: dict[str, Any] = {
        "extent": None,
        "request_class": "look",
        "quota_plan": "gold",
        "volume": "v",
        "set_size": 1,
        "units": 1.0,
        "left": 3000.0,
    }
    given |= {KEYWORDS.get(key, key): value for key, value in more.items()}
    left = given.pop("left")
    return head.submit(now, 1, slot=slot, deadline_ms=now + left, **given)[0]


def went(a: Request) -> bool:
    attempts, _, _ = a.drain()
    return bool(attempts)


def served(head: Scheduler, now: float, slot: int, took: float) -> None:
    """A request goes and is succeeded."""
    a = take(head, now, slot)
    assert went(a), "it was to be sent"
    a.on_attempt_end(now + took, 0, Outcome.SUCCEEDED, True, took)
