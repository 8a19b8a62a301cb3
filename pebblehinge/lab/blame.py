"""Days on which one shelf is slow, or one tenant noisy, or both at once: does the account name the right cause?"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from pebblehinge.lab.simulated_fleet import SimulatedFleet, play
from pebblehinge.settings.load import loads
from pebblehinge.settings.schema import ScheduledFault
from pebblehinge.wait_accounting import OWN_WORK, WaitCause

DAY = """
rules {
    warm 2s
    fall-multiple 8x
    mean-units 2
    most-units 6
}
log {
    level error
}
profile look {
    importance 1
    expected 900ms
    patience 3s
    late-share 50%
    repeat redoable
}
plan quiet {
    rate 6/s
    reserve 6/s
}
plan loud {
    rate NOISEunits
    reserve 1/s
}
volumes calm 6 {
    plan quiet
    spread 4
}
volume noisy {
    plan loud
    slots 0 1 2 3
}
mix look {
    share 100%
    units 2x..2x
    run 1x..1x
}
load {
    rate LOAD/s
    processes 1
    surge-every 0
}
kind k {
    cores 1
    unit-work 8ms
    noise 10%
    flush 10m
    queue 300
}
fleet {
    heads 1
    shelfs 4
    kinds k
}
day blame {
    length 8s
    settle 1s
}
"""


def play_one(seed: int, slow: str, noise: bool, by: float = 8.0) -> tuple[list[str], SimulatedFleet]:
    """The causes of the calm volumes' waiting, the largest first; their own work and each other's apart."""
    text = DAY.replace("NOISEunits", "200/s" if noise else "1/s").replace("LOAD", "190" if noise else "38")
    config = loads(text)
    config.head["h1"].accounts = True
    if slow:
        at = [ScheduledFault(at=500.0, name="slow", target=[slow], by=by, last=7_000.0)]
        config.day["blame"] = msgspec.structs.replace(config.day["blame"], at=at)
    village, _ = play(config, "blame", seed)
    total: dict[str, float] = {}
    for (volume, cause), ms in village.servers["h1"].core.wait_accounting.waits.items():
        if volume.startswith("calm") and cause != OWN_WORK and not cause.label.startswith("calm"):
            total[cause.label] = total.get(cause.label, 0.0) + ms
    return sorted(total, key=lambda cause: -total[cause]), village


def drawn(seed: int) -> dict[str, Any]:
    """One day by seed: what was wrong, and what the account names first."""
    rng = random.Random(f"{seed}/blame")
    kind = rng.choice(["shelf", "noisy", "both"])
    slow = f"s{rng.randint(1, 4)}" if kind != "noisy" else ""
    named, _ = play_one(seed, slow, kind != "shelf", rng.uniform(4.0, 12.0))
    wanted = (
        {WaitCause.node(slow).label}
        if kind == "shelf"
        else {"noisy"}
        if kind == "noisy"
        else {WaitCause.node(slow).label, "noisy"}
    )
    return {
        "seed": seed,
        "kind": kind,
        "wanted": sorted(wanted),
        "named": named[: len(wanted)],
        "right": set(named[: len(wanted)]) == wanted,
    }
