"""The evidence of a plan: the estimates by formulas, the results of trials, and the curve through the results."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats
from pebblehinge.capacity_planner.errors import ObjectiveError
from pebblehinge.capacity_planner.fleet import default_failures, node_capacities
from pebblehinge.capacity_planner.formulas import estimate_service
from pebblehinge.capacity_planner.speeds import fit_speeds
from pebblehinge.capacity_planner.trial import Trial, TrialResult
from pebblehinge.settings import Config

MIN_MULTIPLE = 0.02
MAX_MULTIPLE = 16.0
"""The range of multiples of the captured load that the formulas search."""

MIN_GROWTH = 0.05
MAX_GROWTH = 100.0
BISECTION_STEPS = 12
MIN_NOISE = 0.005

DEFAULT_NOISE = 0.01
"""The assumed range of service between trials that differ only in their seed, if no trial was repeated."""


class Crossing(NamedTuple):
    """The multiple of the captured load at which the service falls below the goal, with its lower and upper bound."""

    multiple: float
    low: float
    high: float


class Evidence:
    """The estimates and trial results for one capture and one fleet.

    Args:
        demand: The load to plan for.
        config: The fleet's settings.
        goal: The required service, between 0 and 1.
        growth: The required load, in multiples of the captured load.
        failures: The failures to examine, in the form of `Trial.failure`; None for `default_failures`.
        gateway_cost_ms: The CPU time of a request at a gateway, in milliseconds.
        notes: Notes for the operator.
        speed_demand: The load that the storage nodes' speeds are fitted to; None for `demand`.

    Raises:
        ObjectiveError: The goal or the growth is out of range.

    Attributes:
        nodes: The storage nodes with their fitted speeds.
        results: The results of trials, by trial.
        estimated_crossing: The multiple at which the service falls below the goal, according to the formulas.
        estimated_node_count: The number of storage nodes that meets the goal at the growth, according to the formulas.
    """

    def __init__(
        self,
        demand: Demand,
        config: Config,
        goal: float = 0.95,
        growth: float = 1.0,
        failures: list[str] | None = None,
        gateway_cost_ms: float = 0.1,
        notes: Iterable[str] = (),
        speed_demand: Demand | None = None,
    ) -> None:
        if not 0.0 < goal < 1.0:
            raise ObjectiveError(f"a goal of {goal:g}: expected a service between 0 and 1")
        if not MIN_GROWTH <= growth <= MAX_GROWTH:
            raise ObjectiveError(f"a growth of {growth:g}: expected {MIN_GROWTH:g} to {MAX_GROWTH:g}")
        self.demand = demand
        self.config = config
        self.goal = goal
        self.growth = growth
        self.gateway_cost_ms = gateway_cost_ms
        self.notes = list(notes)
        self.speeds = fit_speeds(speed_demand or demand, config)
        self.nodes = node_capacities(config, self.speeds)
        self.failures = default_failures(config) if failures is None else failures
        self.results: dict[Trial, TrialResult] = {}
        self.estimated_crossing = self._estimate_crossing()
        self.estimated_node_count = self._estimate_node_count()

    def estimated_service(self, multiple: float) -> float:
        """Returns the service at a multiple of the captured load, according to the formulas."""
        return estimate_service(self.demand, self.config, self.nodes, multiple).service

    def add_results(self, results: Iterable[TrialResult]) -> None:
        """Adds the results of trials."""
        for result in results:
            self.results[result.trial] = result

    def service_by_multiple(self, node_count: int | None = None) -> list[tuple[float, float]]:
        """Returns ascending multiples with their mean service over seeds, without failures, on `node_count` nodes."""
        services: dict[float, list[float]] = defaultdict(list)
        for trial, result in self.results.items():
            if not trial.failure and trial.node_count == node_count:
                services[trial.multiple].append(result.service)
        return [(multiple, float(np.mean(values))) for multiple, values in sorted(services.items())]

    def crossing_bracket(self) -> tuple[float, float]:
        """Returns the closest known multiples between which the service falls below the goal."""
        curve = self.service_by_multiple()
        passing = [multiple for multiple, service in curve if service >= self.goal]
        failing = [multiple for multiple, service in curve if service < self.goal]
        if not curve:
            return self.estimated_crossing * 0.75, self.estimated_crossing * 1.33
        if not passing:
            return max(MIN_MULTIPLE, min(failing) * 0.3), min(failing)
        if not failing:
            return max(passing), min(MAX_MULTIPLE * 2, max(passing) * 2.5)
        high = min((multiple for multiple in failing if multiple > max(passing)), default=max(failing))
        low = max((multiple for multiple in passing if multiple < high), default=min(passing))
        return low, max(high, low * 1.01)

    def crossing(self) -> Crossing | None:
        """Returns the multiple at which the service falls below the goal, or None if no trial was run."""
        curve = self.service_by_multiple()
        if not curve:
            return None
        # Apart from noise, the service never rises with the load: the fit removes the rises that noise causes.
        multiples = np.array([multiple for multiple, _ in curve])
        fitted_services = non_increasing_fit(np.array([service for _, service in curve]))
        noise = self.noise()
        return Crossing(
            _crossing_at(multiples, fitted_services, self.goal),
            _crossing_at(multiples, fitted_services, self.goal + noise),
            _crossing_at(multiples, fitted_services, self.goal - noise),
        )

    def noise(self) -> float:
        """Returns the mean range of service between trials that differ only in their seed, at least MIN_NOISE."""
        services: dict[tuple[float, int | None, str], list[float]] = defaultdict(list)
        for trial, result in self.results.items():
            services[trial.multiple, trial.node_count, trial.failure].append(result.service)
        ranges = [np.ptp(values) for values in services.values() if len(values) > 1]
        return max(MIN_NOISE, float(np.mean(ranges)) if ranges else DEFAULT_NOISE)

    def node_count_bracket(self) -> tuple[int, int]:
        """Returns the closest known node counts between which the service at the growth reaches the goal."""
        services = self.service_by_node_count()
        passing = [count for count, service in services if service >= self.goal]
        failing = [count for count, service in services if service < self.goal]
        if not passing:
            largest_count = max(failing, default=self.estimated_node_count)
            return largest_count + 1, math.ceil(largest_count * 1.6) + 1
        low = max((count for count in failing if count < min(passing)), default=max(1, min(passing) // 2))
        return low, min(passing)

    def service_by_node_count(self) -> list[tuple[int, float]]:
        """Returns pairs of node count and mean service over seeds at the growth, in ascending order of count."""
        services: dict[int, list[float]] = defaultdict(list)
        for trial, result in self.results.items():
            if trial.node_count is not None and not trial.failure and trial.multiple == self.growth:
                services[trial.node_count].append(result.service)
        return [(count, float(np.mean(values))) for count, values in sorted(services.items())]

    def _estimate_crossing(self) -> float:
        low, high = MIN_MULTIPLE, MAX_MULTIPLE
        if self.estimated_service(high) >= self.goal:
            return MAX_MULTIPLE
        for _ in range(BISECTION_STEPS):
            middle = math.sqrt(low * high)
            if self.estimated_service(middle) >= self.goal:
                low = middle
            else:
                high = middle
        return math.sqrt(low * high)

    def _estimate_node_count(self) -> int:
        """Returns the node count in proportion to the load: the present nodes carry `estimated_crossing`."""
        return max(1, math.ceil(len(self.nodes.slots) * self.growth / max(0.05, self.estimated_crossing)))


def non_increasing_fit(values: Floats) -> Floats:
    """Returns the nearest non-increasing sequence (pool adjacent violators algorithm)."""
    blocks: list[tuple[float, int]] = []  # Mean and length of each block.
    for value in values:
        mean, length = float(value), 1
        while blocks and blocks[-1][0] < mean:
            previous_mean, previous_length = blocks.pop()
            mean = (previous_mean * previous_length + mean * length) / (previous_length + length)
            length += previous_length
        blocks.append((mean, length))
    return np.array([mean for mean, length in blocks for _ in range(length)])


def _crossing_at(multiples: Floats, fitted_services: Floats, goal: float) -> float:
    """Returns the multiple at which a falling curve reaches a goal, limited to the range of the curve."""
    if fitted_services[-1] >= goal:
        return float(multiples[-1])
    if fitted_services[0] < goal:
        return float(multiples[0])
    first_below = int(np.argmax(fitted_services < goal))
    above, below = fitted_services[first_below - 1], fitted_services[first_below]
    fraction = (above - goal) / max(1e-9, above - below)
    return float(multiples[first_below - 1] + fraction * (multiples[first_below] - multiples[first_below - 1]))
