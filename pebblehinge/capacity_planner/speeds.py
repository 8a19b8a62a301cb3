"""The speed of each storage node's cores, from the durations of captured attempts.

The quickest attempts for their size met no others and drew the least work that the noise allows. With noise of +-n the
work of a part q of undisturbed attempts is under 1 - n + 2nq of its mean; a few per cent from the top that is the same
whether half of all attempts had to wait or none. Attempts on cached extents are far quicker than any speed explains,
and are left out. A slot with few attempts leans on what the settings state for its kind.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from pebblehinge.capacity_planner.demand import Booleans, Demand, Floats
from pebblehinge.settings import Config
from pebblehinge.settings.stand_ins import KindBlock

NETWORK_MS = 0.3
"""The part of an attempt's duration that the network of one site takes."""

MIN_ATTEMPTS = 8
MIN_PLAUSIBLE_ATTEMPTS = 4
"""Slots with fewer attempts, or fewer of a plausible pace, get the speed that their kind states."""

MAX_PLAUSIBLE_PACE_FACTOR = 1.25
"""An attempt quicker than the kind's best speed allows by this factor was served from a cache."""

PACE_QUANTILE = 0.95
QUANTILE_CORRECTION = 2.2
ATTEMPTS_OF_EQUAL_WEIGHT = 20.0
"""With so many attempts, what was seen and what is stated weigh the same."""

MIN_STATED_ERROR = 0.05
MIN_FITTED_ERROR = 0.02
SAMPLING_ERROR = 0.1
"""The relative error of a fit from one attempt; it falls with the root of their number."""

MIN_SPEED_FACTOR = 0.97
MAX_SPEED_FACTOR = 1.03
"""How far beyond the kind's stated range a fit may lie, as factors of its bounds."""


class SpeedEstimate(NamedTuple):
    """The speed of one slot's cores, in multiples of the standard core, and its relative error."""

    speed: float
    relative_error: float


def fit_speeds(demand: Demand, config: Config) -> dict[int, SpeedEstimate]:
    """The speed of every slot's cores, from successful reads that met an idle storage node."""
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
    pace = _plausible_paces(demand, attempts, kind)
    if len(pace) < MIN_PLAUSIBLE_ATTEMPTS:
        return SpeedEstimate(stated, max(stated_error, MIN_STATED_ERROR))
    noise_factor = 1.0 - kind.noise + 2 * kind.noise * (1.0 - PACE_QUANTILE) * QUANTILE_CORRECTION
    seen = float(np.quantile(pace, PACE_QUANTILE)) * noise_factor
    weight = count / (count + ATTEMPTS_OF_EQUAL_WEIGHT)
    # A capture taken during a fault shows a node slower than it is: what its kind states bounds the fit.
    speed = min(max(weight * seen + (1 - weight) * stated, MIN_SPEED_FACTOR * low), MAX_SPEED_FACTOR * high)
    error = max(MIN_FITTED_ERROR, stated_error * (1 - weight) + SAMPLING_ERROR / np.sqrt(count))
    return SpeedEstimate(speed, error)


def _plausible_paces(demand: Demand, attempts: Booleans, kind: KindBlock) -> Floats:
    """Work per millisecond of the larger half of the attempts, in which the network counts for less."""
    large = attempts & (demand.units >= np.median(demand.units[attempts]))
    pace = demand.units[large] * kind.unit_work / np.maximum(0.1, demand.attempt_ms[large] - NETWORK_MS)
    return pace[pace < MAX_PLAUSIBLE_PACE_FACTOR * kind.speed[1] / (1.0 - kind.noise)]
