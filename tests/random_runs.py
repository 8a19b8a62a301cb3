"""Runs of events for the module's properties, drawn from fixed seeds: who, what, with numbers drawn beforehand."""

from __future__ import annotations

import random
from typing import Any

from test_rule_violations import BASE_CONFIG

from pebblehinge.decide import Request
from pebblehinge.interface import Outcome, Settings
from pebblehinge.settings.load import loads

RUNS_PER_RULE = 200  # a rule
GRACE_MS = 80.0  # a wake may be late by so much
MARK = "profile mark {\nimportance 2\nexpected 300ms\npatience 1s\nrepeat labelled\ngroup cell\nwindow 700ms\n}\n"
CONFIG_TEXT = BASE_CONFIG.replace("drain-grace", "answer-grace 90ms\ndrain-grace").replace("heads 2", "heads 3") + MARK
RUNNING = (Outcome.SERVER_ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED, Outcome.SUCCEEDED)
CONFIG = loads(CONFIG_TEXT)
SLOW_START_CONFIG = loads(
    CONFIG_TEXT.replace("cold-share 30%", "cold-share 12%").replace("multiple 2x", "multiple 1.4x")
)
REQUEST_CLASS_NAMES, VOLUMES, NODE_COUNT, HEADS = (
    ("look", "save", "line", "mark"),
    ("gold", "capped"),
    4,
    ("h1", "h2", "h3"),
)
OUTCOMES = {
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
WHAT = ("restart", "restart", "drain", "gone", "back", "moved", "earlier", "unstated", "future")


def random_events(seed: int, rule: str, count: int = 150) -> list[tuple[Any, ...]]:
    """One run: pairs of milliseconds to wait and what happens then."""
    rng = random.Random(f"{seed}/{rule}")
    pace = {"limits": 6.0, "cold": 4.0, "order": 10.0}.get(rule, 14.0)
    weights = {"take": 70, "shelf": 5, "tell": 4, "left": 4, "kill": 2, "adopt": 1, "early": 3, "deaf": 3, "twice": 8}
    if rule in ("limits", "cold"):
        weights |= {"take": 200, "kill": 4}
    found: list[tuple[Any, ...]] = [(0.0, "tell", head, "whole") for head in HEADS]
    for _ in range(count * (2 if rule in ("limits", "cold") else 1)):
        wait, head = rng.expovariate(1.0 / pace), rng.choice(HEADS)
        what = rng.choices(list(weights), list(weights.values()))[0]
        if what == "take":
            odd = rng.random()
            left = rng.choice((-50.0, 0.0, 1.0, 5.0, 40.0, 390.0, 410.0)) if odd < 0.15 else rng.uniform(300.0, 1500.0)
            slot = -1 if rng.random() < 0.05 else rng.randrange(NODE_COUNT + (rng.random() < 0.1))
            profile = "line" if rule == "order" and odd > 0.3 else rng.choice(REQUEST_CLASS_NAMES)
            volume = "capped" if rule == "limits" and odd > 0.2 else rng.choice(VOLUMES)
            slot = 0 if rule == "cold" and odd > 0.3 else slot
            extent = f"x{rng.randrange(40 if rule == 'cold' else 3)}"
            rest = (profile, volume, extent, slot, rng.choice((0.5, 1.0, 2.0, 4.0)), left)
        elif what == "shelf":
            done = "restart" if rule == "cold" else rng.choice(WHAT)
            rest = (0 if rule == "cold" else rng.randrange(NODE_COUNT), done, rng.uniform(5.0, 400.0))
        elif what == "tell":
            rest = (rng.choice(("whole", "changes", "cached", "failed", "stale")),)
        else:
            rest = (rng.random(), rng.random() < 0.5)
        found.append((wait, what, head, *rest))
    return found


def end_of(seed: int, rule: str, trace: str, n: int) -> tuple[random.Random, Outcome, float]:
    """How an attempt ends and after how many ms, by what it is, so that a run that is cut down keeps it."""
    rng = random.Random(f"{seed}/{trace}/{n}")
    weights = OUTCOMES["well" if rule in ("limits", "cold") else "usual"]
    outcome = rng.choices(list(weights), list(weights.values()))[0]
    return rng, outcome, rng.choice((2.0, 20.0, 60.0, 250.0))


class Life:
    """One head's process."""

    def __init__(self, head: Any, settings: Settings) -> None:
        self.head, self.settings, self.wake, self.deaf_until = head, settings, None, 0.0
        self.open: dict[int, Request] = {}
        self.slots: dict[str, int] = {}  # as the list told it
