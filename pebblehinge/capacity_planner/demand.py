"""Captured load as arrays: who asked for how much, when, and where.

Requests that were rejected count; a client's retries don't, since the lab's clients retry by themselves.
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
"""When a request came, in ms from the start of all captures; the gateway that took it; what was captured of it."""

MIN_REQUESTS = 60
"""Fewer requests give no plan."""

MIN_REQUESTS_FOR_NARROW_BOUNDS = 2000
"""Fewer requests give a plan with wide bounds."""

CACHED_EXTENT_MS = 2_000.0
"""A request for an extent that was asked for within this time finds it cached at its storage node."""

WHOLE_LOAD_FACTOR = 1.25
"""A load that isn't longer than the window by this factor is planned for as a whole."""

REQUESTS_PER_NODE = 50
"""From so many requests per storage node on, most of them ought to appear in the capture."""

TENTHS_PER_SECOND = 10
"""Tenths of a second in a second."""

TENTH_SPIKE_FACTOR = 3
"""A tenth of a second is a spike if its rate exceeds that of the busiest second by this factor."""

NO_PREVIOUS_REQUEST_MS = -1e12


@dataclass(slots=True)
class Demand:
    """The load; its arrays hold one row per request, in order of time.

    Attributes:
        arrival_ms: When the request came, in ms from 0.
        volume: Index of `volumes`.
        quota_plan: Index of `quota_plans`.
        request_class: Index of `request_classes`.
        slot: The placement slot, as the settings number it.
        units: The cost in units of work.
        is_write: Whether it was a write.
        is_cached: Whether its storage node surely had the extent cached.
        attempt_ms: The duration of the attempt; 0 where no attempt succeeded.
        first_attempt_succeeded: Whether it succeeded at its first attempt.
        volumes: Names.
        quota_plans: Names.
        request_classes: Names.
        slots: All slots that occur.
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
        """The number of seconds that the load lasts, also those begun."""
        return int(self.arrival_ms[-1] / 1000.0) + 1

    @property
    def second(self) -> Integers:
        """The second in which each request came, from 0."""
        return (self.arrival_ms / 1000.0).astype(int)

    def units_by_second(self) -> Floats:
        """The units asked for in each second."""
        units: Floats = np.bincount(self.second, self.units, self.seconds).astype(float, copy=False)
        return units

    def peak_requests(self) -> float:
        """The number of requests in the second with most of them."""
        return float(np.bincount(self.second).max())

    def busiest_window(self, window_s: int) -> tuple[float, float]:
        """Begin and end (ms) of the window of so many seconds with most units: the design case, never the mean."""
        by_second = self.units_by_second()
        if len(by_second) <= WHOLE_LOAD_FACTOR * window_s:
            return 0.0, float(self.arrival_ms[-1]) + 1.0
        sums = np.convolve(by_second, np.ones(window_s), "valid")
        begin = int(np.argmax(sums))
        return begin * 1000.0, (begin + window_s) * 1000.0


def build_demand(
    rows: Sequence[MergedRequest], config: Config, min_requests: int = MIN_REQUESTS, complete: bool = True
) -> Demand:
    """Arrays from captured requests.

    Args:
        rows: The requests of all gateways in order of time.
        config: The fleet.
        min_requests: How many there have to be.
        complete: Whether `rows` is all of the captures, so that it is checked whether they are this fleet's.

    Raises:
        CapturedLoadError: The requests are too few or don't fit the fleet.
    """
    if len(rows) < min_requests:
        raise CapturedLoadError(f"{len(rows)} accesses are captured: under {min_requests} no answer would be honest")
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
        arrival_ms=np.array([at_ms for at_ms, _, _ in rows]),
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
    """Notes for the operator on the window of the load that the plan is made for."""
    by_second = demand.units_by_second()
    mean, top = float(by_second.mean()), float(by_second.max())
    notes = [
        f"planned for the busiest {(end_ms - begin_ms) / 1000:.0f} s, from {begin_ms / 1000:.0f} s on: the busiest "
        f"second asks {top:.0f} units, {top / max(1e-9, mean):.1f} times the mean"
    ]
    by_tenth = np.bincount((demand.arrival_ms / 100.0).astype(int), demand.units)
    if by_tenth.size and by_tenth.max() * TENTHS_PER_SECOND > TENTH_SPIKE_FACTOR * top:
        rate = by_tenth.max() * TENTHS_PER_SECOND
        notes.append(f"a spike shorter than a second: {rate:.0f} units a second for a tenth of one")
    if len(demand.arrival_ms) < MIN_REQUESTS_FOR_NARROW_BOUNDS:
        notes.append(f"{len(demand.arrival_ms)} accesses are few: bounds are wide")
    return notes


def _check_known(what: str, names: list[str], known: dict[str, Any]) -> None:
    missing = [name for name in names if name not in known]
    if missing:
        raise CapturedLoadError(f"the capture has {what} {missing[0]!r}, which the fleet's settings do not know")


def _check_slots(slots: list[int], config: Config, requests: int, complete: bool) -> None:
    known = {node.slot for node in config.shelf.values()}
    unknown = [slot for slot in slots if slot not in known]
    if unknown:
        raise CapturedLoadError(f"the capture names slot {unknown[0]}, which no shelf of the fleet holds")
    absent = known - set(slots)
    if complete and requests > REQUESTS_PER_NODE * len(known) and len(absent) > len(known) / 2:
        raise CapturedLoadError(f"{len(absent)} of {len(known)} shelfs are not in the capture: is it this fleet's?")


def _indices(names: list[str], values: Iterable[str]) -> Integers:
    index = {name: number for number, name in enumerate(names)}
    return np.array([index[value] for value in values])


def _cached_extents(rows: Sequence[MergedRequest]) -> Booleans:
    """For each request whether its extent was asked for shortly before."""
    last_ms: dict[str, float] = {}
    cached = np.zeros(len(rows), bool)
    for number, (at_ms, _, request) in enumerate(rows):
        key = f"{request.volume}/{request.extent}"
        cached[number] = at_ms - last_ms.get(key, NO_PREVIOUS_REQUEST_MS) < CACHED_EXTENT_MS
        last_ms[key] = at_ms
    return cached
