"""The captured load as arrays: arrival, volume, cost and placement of each request.

Rejected requests are included. Retries of a client are not, since the simulated clients of trials retry by themselves.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

import numpy as np
import numpy.typing as npt

from pebblehinge.capacity_planner.errors import CapturedLoadError
from pebblehinge.capture import CapturedRequest
from pebblehinge.capture.format import SUCCEEDED_OUTCOME
from pebblehinge.settings import Config

Floats: TypeAlias = npt.NDArray[np.float64]
Integers: TypeAlias = npt.NDArray[np.int64]
Booleans: TypeAlias = npt.NDArray[np.bool_]
MergedRequest: TypeAlias = tuple[float, str, CapturedRequest]
"""Arrival of a request in ms from the start of all captures, the name of its gateway, and its captured record."""

MIN_REQUESTS = 60
"""The smallest number of requests for which a plan is computed."""

MIN_REQUESTS_FOR_NARROW_BOUNDS = 2000
"""With fewer requests, the bounds of a plan are wide."""

CACHED_EXTENT_MS = 2_000.0
"""An extent counts as cached at its storage node if its last request was less than this time ago."""

WHOLE_LOAD_FACTOR = 1.25
"""A load of at most this factor times the window's duration is planned for as a whole."""

REQUESTS_PER_NODE = 50
"""With more requests per storage node, at least half of the nodes must occur in the capture."""

TENTHS_PER_SECOND = 10
"""The factor from units in a tenth of a second to units a second."""

TENTH_SPIKE_FACTOR = 3
"""A tenth of a second is a spike if its rate is above this factor times that of the busiest second."""

NO_PREVIOUS_REQUEST_MS = -1e12


@dataclass(slots=True)
class Demand:
    """The load. Its arrays hold one element per request, in order of arrival.

    Attributes:
        arrival_ms: The arrival, in ms from 0.
        volume: Index in `volumes`.
        quota_plan: Index in `quota_plans`.
        request_class: Index in `request_classes`.
        slot: The placement slot, by its number in the settings.
        units: The cost, in units.
        is_write: Whether the request was a write.
        is_cached: Whether the extent counts as cached at its storage node.
        attempt_ms: The duration of the last attempt, in ms; 0 if no attempt succeeded.
        first_attempt_succeeded: Whether the request succeeded at its first attempt.
        volumes: Names of the volumes, sorted.
        quota_plans: Names of the quota plans, sorted.
        request_classes: Names of the request classes, sorted.
        slots: All slots that occur, in ascending order.
    """

    arrival_ms: Floats
    volume: Integers
    quota_plan: Integers
    request_class: Integers
    slot: Integers
    units: Floats
    is_write: Booleans
    is_cached: Booleans
    attempt_ms: Floats
    first_attempt_succeeded: Booleans
    volumes: list[str]
    quota_plans: list[str]
    request_classes: list[str]
    slots: list[int]

    @property
    def seconds(self) -> int:
        """Returns the number of seconds that the load spans, including the last, partial one."""
        return int(self.arrival_ms[-1] / 1000.0) + 1

    @property
    def second(self) -> Integers:
        """Returns the second of arrival of each request, from 0."""
        return (self.arrival_ms / 1000.0).astype(int)

    def units_by_second(self) -> Floats:
        """Returns the requested units in each second."""
        units: Floats = np.bincount(self.second, self.units, self.seconds).astype(float, copy=False)
        return units

    def peak_requests(self) -> float:
        """Returns the number of requests in the second with the most requests."""
        return float(np.bincount(self.second).max())

    def busiest_window(self, window_s: int) -> tuple[float, float]:
        """Returns begin and end (ms) of the window with the most units: a plan is for the peak, not the mean."""
        by_second = self.units_by_second()
        if len(by_second) <= WHOLE_LOAD_FACTOR * window_s:
            return 0.0, float(self.arrival_ms[-1]) + 1.0
        sums = np.convolve(by_second, np.ones(window_s), "valid")
        begin = int(np.argmax(sums))
        return begin * 1000.0, (begin + window_s) * 1000.0


def build_demand(
    rows: Sequence[MergedRequest], config: Config, min_requests: int = MIN_REQUESTS, complete: bool = True
) -> Demand:
    """Builds the arrays from captured requests.

    Args:
        rows: The requests of all gateways in order of arrival.
        config: The fleet's settings.
        min_requests: The smallest accepted number of requests.
        complete: Whether `rows` holds the whole captures, so that most slots of the fleet must occur in it.

    Raises:
        CapturedLoadError: There are too few requests, or they do not match the fleet.
    """
    if len(rows) < min_requests:
        raise CapturedLoadError(f"{len(rows)} accesses are captured: under {min_requests} are too few for a plan")
    requests = [request for _, _, request in rows]
    volumes = sorted({request.volume for request in requests})
    quota_plans = sorted({request.quota_plan for request in requests})
    request_classes = sorted({request.request_class for request in requests})
    slots = sorted({request.slot for request in requests})
    _check_known("volume", volumes, config.volume)
    _check_known("plan", quota_plans, config.plan)
    _check_known("profile", request_classes, config.profile)
    _check_slots(slots, config, len(rows), complete)
    return Demand(
        arrival_ms=np.array([arrival_ms for arrival_ms, _, _ in rows]),
        volume=_indices(volumes, (request.volume for request in requests)),
        quota_plan=_indices(quota_plans, (request.quota_plan for request in requests)),
        request_class=_indices(request_classes, (request.request_class for request in requests)),
        slot=np.array([request.slot for request in requests]),
        units=np.array([request.units for request in requests]),
        is_write=np.array([request.write for request in requests]),
        is_cached=_cached_extents(rows),
        attempt_ms=np.array([r.last_attempt_ms if r.outcome == SUCCEEDED_OUTCOME else 0.0 for r in requests]),
        first_attempt_succeeded=np.array([r.outcome == SUCCEEDED_OUTCOME and r.attempts == 1 for r in requests]),
        volumes=volumes,
        quota_plans=quota_plans,
        request_classes=request_classes,
        slots=slots,
    )


def describe_window(demand: Demand, begin_ms: float, end_ms: float) -> list[str]:
    """Returns notes for the operator on the window of the load that the plan is made for."""
    by_second = demand.units_by_second()
    mean, peak = float(by_second.mean()), float(by_second.max())
    notes = [
        f"planned for the busiest {(end_ms - begin_ms) / 1000:.0f} s, from {begin_ms / 1000:.0f} s on: the busiest "
        f"second asks {peak:.0f} units, {peak / max(1e-9, mean):.1f} times the mean"
    ]
    by_tenth = np.bincount((demand.arrival_ms / 100.0).astype(int), demand.units)
    if by_tenth.size and by_tenth.max() * TENTHS_PER_SECOND > TENTH_SPIKE_FACTOR * peak:
        rate = by_tenth.max() * TENTHS_PER_SECOND
        notes.append(f"a spike shorter than a second: {rate:.0f} units a second for a tenth of one")
    if len(demand.arrival_ms) < MIN_REQUESTS_FOR_NARROW_BOUNDS:
        notes.append(f"{len(demand.arrival_ms)} accesses are few: bounds are wide")
    return notes


def _check_known(field: str, names: list[str], known: dict[str, Any]) -> None:
    missing = [name for name in names if name not in known]
    if missing:
        raise CapturedLoadError(f"the capture has {field} {missing[0]!r}, which the fleet's settings do not know")


def _check_slots(slots: list[int], config: Config, request_count: int, complete: bool) -> None:
    known = {node.slot for node in config.shelf.values()}
    unknown = [slot for slot in slots if slot not in known]
    if unknown:
        raise CapturedLoadError(f"the capture names slot {unknown[0]}, which no shelf of the fleet holds")
    absent = known - set(slots)
    if complete and request_count > REQUESTS_PER_NODE * len(known) and len(absent) > len(known) / 2:
        raise CapturedLoadError(
            f"{len(absent)} of {len(known)} shelfs are not in the capture: it may be of another fleet"
        )


def _indices(names: list[str], values: Iterable[str]) -> Integers:
    index = {name: number for number, name in enumerate(names)}
    return np.array([index[value] for value in values])


def _cached_extents(rows: Sequence[MergedRequest]) -> Booleans:
    """Returns for each request whether its extent was requested within CACHED_EXTENT_MS before it."""
    last_ms: dict[str, float] = {}
    cached = np.zeros(len(rows), bool)
    for number, (arrival_ms, _, request) in enumerate(rows):
        key = f"{request.volume}/{request.extent}"
        cached[number] = arrival_ms - last_ms.get(key, NO_PREVIOUS_REQUEST_MS) < CACHED_EXTENT_MS
        last_ms[key] = arrival_ms
    return cached
