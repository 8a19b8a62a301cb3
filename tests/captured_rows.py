"""Rows of a capture made up for tests, on the fleet of the shipped day `quiet`."""

from __future__ import annotations

from typing import Any

import numpy as np
from command_line import DAYS

from pebblehinge.capture import CapturedRequest
from pebblehinge.settings import load

CONFIG = load(DAYS / "quiet.conf")


VOLUMES = list(CONFIG.volume)


def captured_request(t: float, **more: Any) -> CapturedRequest:
    usual: dict[str, Any] = dict(
        time_ms=t,
        volume="premium-1",
        quota_plan="premium",
        request_class="doc-read",
        extent=f"e{t}",
        slot=0,
        units=2.0,
        write=False,
        retry=False,
        length=100,
        outcome=0,
        latency_ms=30.0,
        last_attempt_ms=28.0,
        attempts=1,
    )
    return CapturedRequest(**{**usual, **more})


def captured_requests(count: int, seconds: float = 10.0, **more: Any) -> list[tuple[float, str, CapturedRequest]]:
    rng = np.random.default_rng(1)
    times = np.sort(rng.uniform(0, seconds * 1000.0, count))
    return [
        (
            float(t),
            "h1",
            captured_request(
                float(t), slot=i % 8, volume=VOLUMES[i % 20], quota_plan=VOLUMES[i % 20].partition("-")[0], **more
            ),
        )
        for i, t in enumerate(times)
    ]
