"""A decision module alone, and accesses for it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from test_scenarios import PLANS, PROFILES, SETTINGS

from pebblehinge.decide import Access, Head
from pebblehinge.interface import Changes, Entry, ListKind, Outcome, Standing

SAFE = replace(SETTINGS, profiles=PROFILES, plans=PLANS, warm_ms=10.0)


def listed(head: Head, now: float, *rows: tuple[str, int, float], kind: ListKind = ListKind.CHANGES) -> Changes:
    return head.listed(now, kind, [Entry(name, Standing.READY, slot, started) for name, slot, started in rows])


def take(head: Head, now: float, slot: int = 0, **more: Any) -> Access:
    given: dict[str, Any] = {
        "extent": None,
        "profile": "look",
        "plan": "gold",
        "volume": "v",
        "set_size": 1,
        "units": 1.0,
        "left": 3000.0,
    }
    given |= more
    left = given.pop("left")
    return head.take(now, 1, slot=slot, abandon_ms=now + left, **given)[0]


def went(a: Access) -> bool:
    attempts, _, _ = a.drain()
    return bool(attempts)


def served(head: Head, now: float, slot: int, took: float) -> None:
    """An access goes and is succeeded."""
    a = take(head, now, slot)
    assert went(a), "it was to be sent"
    a.ended(now + took, 0, Outcome.SUCCEEDED, True, took)
