"""The speed of each storage node's cores, from the durations of captured attempts.

The fastest attempts for their size did not wait for others and had the least work that the noise allows. With noise
of +-n, a fraction q of the attempts without waiting has work below 1 - n + 2nq of the mean. A few per cent from the
top, this holds about equally whether half of all attempts had to wait or none. Attempts on cached extents are far
faster than any speed explains and are excluded. For a slot with few attempts, the stated speed of its kind dominates.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from pebblehinge.capacity_planner.demand import Booleans, Demand, Floats
from pebblehinge.settings import Config
from pebblehinge.settings.stand_ins import KindBlock

NETWORK_MS = 0.3
"""The time of an attempt that is spent in the network of one site."""

MIN_ATTEMPTS = 8
MIN_PLAUSIBLE_ATTEMPTS = 4
"""Slots with fewer attempts, or fewer attempts of a plausible pace, get the speed stated for their kind."""

MAX_PLAUSIBLE_PACE_FACTOR = 1.25
"""An attempt with a pace above this factor times the kind's highest counts as served from a cache."""

PACE_QUANTILE = 0.95
QUANTILE_CORRECTION = 2.2
ATTEMPTS_OF_EQUAL_WEIGHT = 20.0
"""With so many attempts, the measured and the stated speed have equal weight."""

MIN_STATED_ERROR = 0.05
MIN_FITTED_ERROR = 0.02
SAMPLING_ERROR = 0.1
"""The relative error of a fit from one attempt; it decreases with the square root of the number of attempts."""

MIN_SPEED_FACTOR = 0.97
MAX_SPEED_FACTOR = 1.03
"""Factors of the bounds of the kind's stated range that limit a fit."""


class SpeedEstimate(NamedTuple):
    """The speed of one slot's cores, in multiples of the standard core, and its relative error."""

    speed: float
    relative_error: float


def fit_speeds(demand: Demand, config: Config) -> dict[int, SpeedEstimate]:
    """Returns the speed of the cores by slot, fitted to successful first attempts of reads on uncached extents."""
    usable = demand.first_attempt_succeeded & ~demand.is_cached & ~demand.is_write & (demand.attempt_ms > 0)
    return {
        node.slot: _fit_speed(demand, (demand.slot == node.slot) & usable, config.kind[node.kind])
        for node in config.shelf.values()
    }


def _fit_speed(demand: Demand, attempts: Booleans, kind: KindBlock) -> SpeedEstimate:
    low, high = kind.speed
    stated = (low + high) / 2
    stated_error = (high - low) / (low + high) / 2
    count = int(attempts.sum())
    if count < MIN_ATTEMPTS:
        return SpeedEstimate(stated, max(stated_error, MIN_STATED_ERROR))
    paces = _plausible_paces(demand, attempts, kind)
    if len(paces) < MIN_PLAUSIBLE_ATTEMPTS:
        return SpeedEstimate(stated, max(stated_error, MIN_STATED_ERROR))
    noise_factor = 1.0 - kind.noise + 2 * kind.noise * (1.0 - PACE_QUANTILE) * QUANTILE_CORRECTION
    measured = float(np.quantile(paces, PACE_QUANTILE)) * noise_factor
    weight = count / (count + ATTEMPTS_OF_EQUAL_WEIGHT)
    # A capture taken during a fault shows a node slower than it is, so the stated range of its kind bounds the fit.
    speed = min(max(weight * measured + (1 - weight) * stated, MIN_SPEED_FACTOR * low), MAX_SPEED_FACTOR * high)
    error = max(MIN_FITTED_ERROR, stated_error * (1 - weight) + SAMPLING_ERROR / np.sqrt(count))
    return SpeedEstimate(speed, error)


def _plausible_paces(demand: Demand, attempts: Booleans, kind: KindBlock) -> Floats:
    """Returns the plausible paces (work per ms) of the larger half of the attempts, which the network distorts less."""
    large = attempts & (demand.units >= np.median(demand.units[attempts]))
    paces = demand.units[large] * kind.unit_work / np.maximum(0.1, demand.attempt_ms[large] - NETWORK_MS)
    return paces[paces < MAX_PLAUSIBLE_PACE_FACTOR * kind.speed[1] / (1.0 - kind.noise)]
