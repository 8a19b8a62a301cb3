"""Helpers that make captured requests for tests, on the fleet of the shipped scenario `quiet`."""

from __future__ import annotations

from typing import Any

import numpy as np
from command_line import DAYS_FOLDER

from pebblehinge.capture import CapturedRequest
from pebblehinge.settings import load

CONFIG = load(DAYS_FOLDER / "quiet.conf")


VOLUMES = list(CONFIG.volume)


def captured_request(time_ms: float, **overrides: Any) -> CapturedRequest:
    """Returns a captured request with default values for the fields that are not given."""
    defaults: dict[str, Any] = dict(
        time_ms=time_ms,
        volume="premium-1",
        quota_plan="premium",
        request_class="doc-read",
        extent=f"e{time_ms}",
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
    return CapturedRequest(**{**defaults, **overrides})


def captured_requests(
    count: int, duration_s: float = 10.0, **overrides: Any
) -> list[tuple[float, str, CapturedRequest]]:
    """Returns requests at random times over a duration, in order, each with its time in ms and its gateway `h1`."""
    rng = np.random.default_rng(1)
    times = np.sort(rng.uniform(0, duration_s * 1000.0, count))
    return [
        (
            float(time_ms),
            "h1",
            captured_request(
                float(time_ms),
                slot=i % 8,
                volume=VOLUMES[i % 20],
                quota_plan=VOLUMES[i % 20].partition("-")[0],
                **overrides,
            ),
        )
        for i, time_ms in enumerate(times)
    ]
