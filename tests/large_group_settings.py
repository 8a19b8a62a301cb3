"""Random settings of a group with hundreds of gateways."""

from __future__ import annotations

import random

MEMBER_NAMES = [f"g{n}" for n in range(1, 6)]
PLANS_BY_VOLUME = {"even": "wide", "some": "narrow"}
LIMIT_CHOICES = (60.0, 150.0, 400.0, 1000.0)  # units per second
SETTINGS_TEMPLATE = """
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan wide {{
    rate 5/s
    limit {wide_limit}/s
    burst 2000
    slack 0
}}
plan narrow {{
    rate 5/s
    limit {narrow_limit}/s
    burst 2000
    slack 0
}}
volume even {{
    plan wide
    heads {gateway_count}
}}
volume some {{
    plan narrow
    heads {serving_count}
    through {serving_names}
}}
group {{
    lease 2s
    drift 5%
    floor 20%
    renew 300ms
    tick 40ms
}}
"""


def random_settings_text(rng: random.Random, gateway_count: int) -> str:
    """Returns settings with random limits, and random gateways that serve the volume `some`."""
    names = [f"h{n}" for n in range(1, gateway_count + 1)]
    serving_names = sorted(rng.sample(names, rng.randint(2, min(30, gateway_count))))
    text = SETTINGS_TEMPLATE.format(
        wide_limit=rng.choice(LIMIT_CHOICES),
        narrow_limit=rng.choice(LIMIT_CHOICES),
        gateway_count=gateway_count,
        serving_count=len(serving_names),
        serving_names=" ".join(serving_names),
    )
    text += "".join(f"head {h} {{\n    listen 127.0.0.1:{7000 + i}\n}}\n" for i, h in enumerate(names))
    return text + "".join(f"member {m} {{\n    listen 127.0.0.1:{6000 + i}\n}}\n" for i, m in enumerate(MEMBER_NAMES))
