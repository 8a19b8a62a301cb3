"""Random runs of events for the property tests of the scheduler, from fixed seeds.

All random numbers of an event are drawn in advance, so that a failing run stays the same when events are left out.
"""

from __future__ import annotations

import random
from typing import Any

from test_rule_violations import BASE_CONFIG

from pebblehinge.decide import Request
from pebblehinge.interface import Outcome, Settings
from pebblehinge.settings.load import loads

RUNS_PER_RULE = 200
MAX_WAKE_UP_DELAY_MS = 80.0
MARK_CLASS_TEXT = (
    "profile mark {\nimportance 2\nexpected 300ms\npatience 1s\nrepeat labelled\ngroup cell\nwindow 700ms\n}\n"
)
CONFIG_TEXT = (
    BASE_CONFIG.replace("drain-grace", "answer-grace 90ms\ndrain-grace").replace("heads 2", "heads 3") + MARK_CLASS_TEXT
)
MAY_HAVE_RUN_OUTCOMES = (
    Outcome.SERVER_ERROR,
    Outcome.TIMED_OUT,
    Outcome.CONNECTION_LOST,
    Outcome.CANCELLED,
    Outcome.SUCCEEDED,
)
CONFIG = loads(CONFIG_TEXT)
SLOW_START_CONFIG = loads(
    CONFIG_TEXT.replace("cold-share 30%", "cold-share 12%").replace("multiple 2x", "multiple 1.4x")
)
REQUEST_CLASS_NAMES, QUOTA_PLAN_NAMES, NODE_COUNT, GATEWAYS = (
    ("look", "save", "line", "mark"),
    ("gold", "capped"),
    4,
    ("h1", "h2", "h3"),
)
OUTCOME_WEIGHTS = {
    "usual": {
        Outcome.SUCCEEDED: 60,
        Outcome.SERVER_ERROR: 8,
        Outcome.OVERLOADED: 8,
        Outcome.CONNECTION_LOST: 8,
        Outcome.CONNECT_FAILED: 5,
        Outcome.NOT_SENT: 2,
        Outcome.TIMED_OUT: 9,
    },
    "well": {Outcome.SUCCEEDED: 100},
}
# Usual restarts, changes of the state, and restarts with another slot or with a start time that lies in the past, is
# not stated or lies in the future.
NODE_EVENTS = ("restart", "restart", "drain", "gone", "back", "moved", "earlier", "unstated", "future")


def random_events(seed: int, rule: str, count: int = 150) -> list[tuple[Any, ...]]:
    """Returns the events of one run.

    Each event is a tuple of the milliseconds to wait before it, its name (a method of `SimulatedRun`, without the
    leading underscore), the gateway, and the method's further arguments.
    """
    rng = random.Random(f"{seed}/{rule}")
    mean_wait_ms = {"limits": 6.0, "cold": 4.0, "order": 10.0}.get(rule, 14.0)
    weights = {
        "submit": 70,
        "node": 5,
        "list": 4,
        "disconnect": 4,
        "kill": 2,
        "replace_settings": 1,
        "early_wake_up": 3,
        "delay_wake_ups": 3,
        "repeat_end": 8,
    }
    if rule in ("limits", "cold"):
        weights |= {"submit": 200, "kill": 4}
    events: list[tuple[Any, ...]] = [(0.0, "list", gateway, "whole") for gateway in GATEWAYS]
    for _ in range(count * (2 if rule in ("limits", "cold") else 1)):
        wait_ms, gateway = rng.expovariate(1.0 / mean_wait_ms), rng.choice(GATEWAYS)
        name = rng.choices(list(weights), list(weights.values()))[0]
        if name == "submit":
            draw = rng.random()
            remaining_ms = (
                rng.choice((-50.0, 0.0, 1.0, 5.0, 40.0, 390.0, 410.0)) if draw < 0.15 else rng.uniform(300.0, 1500.0)
            )
            slot = -1 if rng.random() < 0.05 else rng.randrange(NODE_COUNT + (rng.random() < 0.1))
            request_class = "line" if rule == "order" and draw > 0.3 else rng.choice(REQUEST_CLASS_NAMES)
            quota_plan = "capped" if rule == "limits" and draw > 0.2 else rng.choice(QUOTA_PLAN_NAMES)
            slot = 0 if rule == "cold" and draw > 0.3 else slot
            extent = f"x{rng.randrange(40 if rule == 'cold' else 3)}"
            arguments = (request_class, quota_plan, extent, slot, rng.choice((0.5, 1.0, 2.0, 4.0)), remaining_ms)
        elif name == "node":
            node_event = "restart" if rule == "cold" else rng.choice(NODE_EVENTS)
            arguments = (0 if rule == "cold" else rng.randrange(NODE_COUNT), node_event, rng.uniform(5.0, 400.0))
        elif name == "list":
            arguments = (rng.choice(("whole", "changes", "cached", "failed", "stale")),)
        else:
            arguments = (rng.random(), rng.random() < 0.5)
        events.append((wait_ms, name, gateway, *arguments))
    return events


def random_attempt_end(seed: int, rule: str, trace: str, number: int) -> tuple[random.Random, Outcome, float]:
    """Returns how an attempt ends: a random generator for more draws, the outcome, and the duration in milliseconds.

    It depends on the attempt's trace id and number alone, so it stays the same when events are left out of a run.
    """
    rng = random.Random(f"{seed}/{trace}/{number}")
    weights = OUTCOME_WEIGHTS["well" if rule in ("limits", "cold") else "usual"]
    outcome = rng.choices(list(weights), list(weights.values()))[0]
    return rng, outcome, rng.choice((2.0, 20.0, 60.0, 250.0))


class Incarnation:
    """One life of a gateway's process.

    Attributes:
        scheduler: Its scheduler.
        settings: The scheduler's present settings.
        wake_up_ms: When the scheduler has to be woken up, None for never.
        wake_ups_delayed_until_ms: Before this time it is not woken up.
        requests: All requests submitted to it, by id.
        slots: Slot of each node by the last endpoint list that it got.
    """

    def __init__(self, scheduler: Any, settings: Settings) -> None:
        self.scheduler, self.settings, self.wake_up_ms, self.wake_ups_delayed_until_ms = scheduler, settings, None, 0.0
        self.requests: dict[int, Request] = {}
        self.slots: dict[str, int] = {}
