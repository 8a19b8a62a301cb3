"""Settings of hundreds of heads and a group, with limits and the heads of a volume drawn."""

from __future__ import annotations

import random

MEMBER_NAMES = [f"g{n}" for n in range(1, 6)]
PLANS_BY_VOLUME = {"even": "wide", "some": "narrow"}  # volume -> its plan
LIMITS = (60.0, 150.0, 400.0, 1000.0)
SETTINGS_TEMPLATE = """
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan wide {{
    rate 5/s
    limit {wide}/s
    burst 2000
    slack 0
}}
plan narrow {{
    rate 5/s
    limit {narrow}/s
    burst 2000
    slack 0
}}
volume even {{
    plan wide
    heads {heads}
}}
volume some {{
    plan narrow
    heads {some}
    through {through}
}}
group {{
    lease 2s
    drift 5%
    floor 20%
    renew 300ms
    tick 40ms
}}
"""


def random_settings_text(rng: random.Random, heads: int) -> str:
    """Settings with limits, and heads that a volume comes through, drawn anew."""
    names = [f"h{n}" for n in range(1, heads + 1)]
    through = sorted(rng.sample(names, rng.randint(2, min(30, heads))))
    text = SETTINGS_TEMPLATE.format(
        wide=rng.choice(LIMITS), narrow=rng.choice(LIMITS), heads=heads, some=len(through), through=" ".join(through)
    )
    text += "".join(f"head {h} {{\n    listen 127.0.0.1:{7000 + i}\n}}\n" for i, h in enumerate(names))
    return text + "".join(f"member {m} {{\n    listen 127.0.0.1:{6000 + i}\n}}\n" for i, m in enumerate(MEMBER_NAMES))
