"""What the fixtures hold: values by place, in stored and sent words."""

from __future__ import annotations

from typing import Any

from exchange import version

from pebblehinge.decide import Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.settings import Config

# The number of each kind of frame, and values for it; some kinds twice, for what is optional.
FRAMES: list[tuple[int, tuple[Any, ...]]] = [
    (1, ("pebblehinge", 1, 1, "client", "c-1", 1 << 20, 64)),
    (2, ("HELLO says 'x': expected 'pebblehinge'",)),
    (3, (7,)),
    (4, (7,)),
    (5, ("SIGTERM",)),
    (16, (9, "c-9.0", "vol-1", "x1", "look", "gold", 3, 2.5, 1500.0, None, None, 0, 0, 4096, b"")),
    (16, (1 << 40, "c-10.1", "vol-2", None, "save", "capped", -1, 1.0, 0.5, True, "label", 1, 512, 2, b"\x00\xff")),
    (17, (9,)),
    (18, (9, 1, 250.0, "its deadline is too near", 2, b"")),
    (18, (9, 0, 0.0, "", 1, b"bytes")),
    (32, (4, "c-9.0", 1, "x1", 0, 0, 4096, 2.5, None, 900.0, b"")),
    (32, (5, "c-10.1", 0, "x2", 4, 512, 2, 1.0, "label", 0.0, b"\x80")),
    (33, (4,)),
    (34, (4, 0, "", b"bytes")),
    (34, (4, 2, "queue full", b"")),
    (48, (17,)),
    (50, (18, "whole", [["s1", "127.0.0.1:7201", "ready", 0, -1.0], ["s2", "127.0.0.1:7202", "draining", 1, 20.5]])),
    (51, ("s1", "127.0.0.1:7201", 0, "ready", -1.0)),
    (52, ("draining",)),
    (64, (1, "slow", {"slow": 3.0, "word": "x"})),
    (65, (1, "")),
    (80, (b"\x9aappend",)),
    (81, (3, "h1", 2, 3, 1, "a")),
    (82, (3, 2000.0, 2, "text 2", 3, "text 3", {"v": [10.0, 4.5]}, "")),
    (82, (4, 0.0, 0, "", 0, "", {}, "127.0.0.1:6001")),
    (83, (5, "propose", {"text": "profile", "base": 2, "session": "s", "serial": 1})),
    (84, (5, False, "it is based on version 1, the newest is 2: look again", "")),
    (85, (3,)),
]

# Batches of records: writes, barriers, done.
JOURNAL: list[list[tuple[Any, ...]]] = [
    [
        ("w", 1, "vol-1", "x1", 0, 0, b"first" * 9, "l-1", "save", 1.5),
        ("w", 2, "vol-1", "x2", 1, 4096, b"\x00\x80", "", "save", 2.0),
    ],
    [("b", 3, "vol-1")],
    [("w", 4, "vol-1", "x1", 0, 5, b"second" * 20, "l-4", "save", 0.5), ("b", 5, "vol-2")],
    [("d", [2])],
    [("w", 6, "vol-2", "x3", 1, 0, b"third" * 70, "l-6", "mark", 3.0)],
    [("w", 7, "vol-2", "x3", 1, 350, b"fourth", "l-7", "mark", 1.0), ("b", 8, "vol-2")],
    [("w", 9, "vol-2", "x4", 0, 0, b"", "l-9", "mark", 1.0)],
]

# Of a memory file: wall clock, time since the machine's start, which start, whether all was sent.
MEMORY = (1_700_000_000_000.0, 86_400_000.0, "boot-1", True)

# Of a head's kept version: active, its text, what is set aside, pending, its text.
KEPT = (3, version(100), {"v": (10.0, 4.5)}, 4, version(80))

# Of a capture: t, volume, plan, profile, extent, slot, units, write, again, bytes, final, took, last attempt, attempts.
ROWS: list[tuple[Any, ...]] = [
    (1000.25, "vol-1", "gold", "look", "x1", 0, 2.5, False, False, 4096, 0, 12.5, 11.75, 1),
    (1003.5, "vol-2", "capped", "save", "x2", -1, 1.0, True, True, 17, 1, 400.0, 0.0, 0),
    (1004.125, "vol-1", "gold", "mark", "", 3, 0.5, True, False, 0, 2, 900.5, 88.0, 3),
    (1900.0, "vol-1", "gold", "look", "x1", 0, 2.5, False, False, 4096, 3, 3.25, 2.5, 2),
]


def _fleet() -> list[EndpointEntry]:
    return [EndpointEntry("s1", EndpointState.READY, 0, 0.0), EndpointEntry("s2", EndpointState.READY, 1, 800.0)]


def learned(config: Config) -> Scheduler:
    """A decision module that has learned latencies, think times, what a limit has left and retries."""
    head = Scheduler(config.scheduler_settings(config.head["h1"]), 1, 0.0)
    head.start(0.0)
    head.apply_endpoint_list(0.0, ListKind.WHOLE, _fleet())
    for n in range(40):
        slot, at = n % 2, 1000.0 + 45.0 * n
        plan, volume = ("basico", "archive") if n % 3 else ("premium", "office")
        handle, _ = head.submit(at, n, f"x{n % 5}", "doc-read", plan, volume, 2, slot, 2.0, at + 2500.0)
        for number, _ in enumerate(handle.drain()[0]):
            outcome = Outcome.SERVER_ERROR if n in (11, 23) else Outcome.SUCCEEDED
            took = 18.0 + 30.0 * slot
            handle.on_attempt_end(at + took, number, outcome, outcome is Outcome.SUCCEEDED, took)
            for again, _ in enumerate(handle.drain()[0], number + 1):
                handle.on_attempt_end(at + 2 * took, again, Outcome.SUCCEEDED, True, took)
    return head


def rebuilt(config: Config, state: dict[str, Any]) -> Scheduler:
    """A later life that took up what was kept."""
    head = Scheduler(config.scheduler_settings(config.head["h1"]), 2, 8_000.0)
    head.restore(8_000.0, state, 1_000.0, True)
    head.apply_endpoint_list(8_000.0, ListKind.WHOLE, _fleet())
    return head
