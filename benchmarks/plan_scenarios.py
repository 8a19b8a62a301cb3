"""Scenarios drawn by seed: a fleet's settings with its load, and a goal. Used by `plan_check.py`."""

from __future__ import annotations

import random

FLEET = """
rules {{
    cold-share 35%
    warm 6s
    fall-multiple 2x
    mean-units 2.5
    most-units 6
}}
log {{
    level error
}}
profile look {{
    importance 2
    expected 400ms
    patience 2s
    late-share 10%
    repeat redoable
}}
profile save {{
    importance 2
    expected 500ms
    patience 3s
    late-share 10%
    repeat irreversible
}}
profile bulk {{
    importance 1
    expected 2s
    patience 6s
    late-share 20%
    repeat redoable
}}
plan low {{
    rate {low}/s
    {limit}
}}
plan high {{
    rate {high}/s
    reserve {reserve}/s
    weight 2
    worth 1.2x
}}
volumes low {lows} {{
    plan low
    heads {through}
    spread {spread}
}}
volumes high {highs} {{
    plan high
    heads {through}
    spread {spread}
}}
{hot}
kind fast {{
    cores 2
    speed 1.3x..1.5x
    unit-work 18ms
    cold 6s
}}
kind plain {{
    cores 3
    speed 0.9x..1x
    unit-work 18ms
    cold 6s
    pause {pause}ms
}}
mix look {{
    share 55%
    units 1x..4x
    run 1x..{run}x
}}
mix save {{
    share 30%
    write yes
    units 1x..4x
    run 1x..2x
}}
mix bulk {{
    share 15%
    units 2x..6x
    run 1x..{run}x
}}
load {{
    rate {rate}/s
    processes 1
    retries 1
    surge-every {surge}ms
    surge 3x..6x
    surge-for 1s..3s
    ramp {ramp}x
}}
fleet {{
    heads {heads}
    shelfs {shelfs}
    kinds {kinds}
    racks a b c
    zones z1 z2
}}
day d {{
    length {length}s
    settle 2500ms
    {at}
}}
"""


SHAPES = ("steady", "surges", "ramp", "spike", "hot", "limit")


def scenario(number: int) -> tuple[str, str, float]:
    """Name, settings and goal of a scenario."""
    rng = random.Random(f"plan-check/{number}")
    shape = SHAPES[number % len(SHAPES)]
    big = number >= 12
    shelfs = 30 if big else rng.choice([5, 6, 8, 10])
    heads = 20 if big else rng.choice([2, 3, 4])
    lows, highs = shelfs * 2, max(3, shelfs // 2)
    rate = rng.uniform(24.0, 34.0) * shelfs
    goal = rng.choice([0.85, 0.9, 0.95])
    text = FLEET.format(
        length=14 if big else 24,
        low=4,
        high=12,
        reserve=8,
        lows=lows,
        highs=highs,
        through=min(heads, rng.choice([1, 2, 3])),
        spread=min(shelfs, rng.choice([2, 3, 4])),
        pause=rng.choice([0, 60, 100]),
        run=rng.choice([2, 3, 5]),
        rate=f"{rate:.0f}",
        surge=rng.choice([6000, 9000]) if shape == "surges" else 0,
        ramp=1.7 if shape == "ramp" else 1,
        heads=heads,
        shelfs=shelfs,
        kinds=rng.choice(["fast plain", "fast", "plain plain fast"]),
        at="at 11s burst by 2.2x for 800ms" if shape == "spike" else "",
        limit="limit 9/s\n    burst 14\n    slack 3" if shape == "limit" else "",
        hot=""
        if shape != "hot"
        else f"plan hot {{\n    rate {5.2 * shelfs + 14:.0f}/s\n    reserve 20/s\n}}\n"
        f"volume hot {{\n    plan hot\n    heads {min(heads, 2)}\n    slots 0 1\n}}",
    )
    return f"{number}-{shape}{'-big' if big else ''}", text, goal
