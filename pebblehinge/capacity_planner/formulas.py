"""A first answer by queueing formulas, in a second or two for a million requests.

Each storage node is c cores before one queue. Second by second and node by node the demand's load (work over what the
cores can do) gives the part that is answered in time: below saturation by the waiting time of M/G/c (Allen and
Cunneen's form of Erlang C, with an exponential tail), above it by what the node can do at all, since the gateways
reject the rest at once. Neighbouring seconds share their backlog through what is carried over. `docs/planner.md`
says where this is off and by how much; trials confirm what is near a boundary.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats, Integers
from pebblehinge.capacity_planner.fleet import NodeCapacities
from pebblehinge.capacity_planner.quota import admitted_fractions
from pebblehinge.settings import Config

SATURATED_IN_TIME_FRACTION = 0.90
"""The part of a saturated node's work that ends in time; gateways with a partial view admit too much for the rest."""

NEAR_SATURATION_UTILIZATION = 0.95
SERVICE_TIME_FACTOR = 1.6
"""The slack of a request is its objective less its mean service time by this factor."""

ARRIVAL_VARIABILITY = 1.6
"""Squared coefficient of variation of the gaps between arrivals: they come in runs, more uneven than Poisson."""

MIN_SERVICE_VARIABILITY = 0.05
MIN_VARIABILITY = 0.2
MAX_CARRIED_SECONDS = 0.35
"""A second's surplus is rejected within the latency objectives; about so much of it is held back until its deadline."""

MIN_MEAN_MS = 1e-6


@dataclass(slots=True)
class ServiceEstimate:
    """The service at one multiple of the load. Losses are parts of the value of all requests.

    Attributes:
        service: The part of the value that is served in time.
        by_quota_plan: The same by the name of a quota plan.
        lost_by_node: What is lost by the name of a storage node.
        lost_by_quota: What is lost to quotas by the name of a volume.
        utilization: The load of each node (row) in each second (column), 1 where it is saturated.
    """

    service: float
    by_quota_plan: dict[str, float]
    lost_by_node: dict[str, float]
    lost_by_quota: dict[str, float]
    utilization: Floats


def erlang_c(cores: int, load: float) -> float:
    """The probability that a request has to wait; `load` is the offered work in cores."""
    if load >= cores:
        return 1.0
    term = total = 1.0
    for k in range(1, cores):
        term *= load / k
        total += term
    term *= load / cores
    last = term * cores / (cores - load)
    return last / (total + last)


def fraction_in_time(cores: int, utilization: float, mean_ms: float, objective_ms: float, variability: float) -> float:
    """The part of requests whose wait and service end within the latency objective.

    Args:
        cores: Of the storage node.
        utilization: Offered work over what the cores can do.
        mean_ms: The mean service time.
        objective_ms: The latency objective.
        variability: Half the sum of the squared coefficients of variation of arrivals and service times.
    """
    slack_ms = objective_ms - SERVICE_TIME_FACTOR * mean_ms
    if slack_ms <= 0:
        return max(0.0, 1.0 - math.exp(-objective_ms / max(mean_ms, MIN_MEAN_MS)))
    if utilization >= 1.0:
        return SATURATED_IN_TIME_FRACTION / utilization
    waits = erlang_c(cores, utilization * cores)
    tail = math.exp(
        -cores * (1.0 - utilization) * slack_ms / max(mean_ms, MIN_MEAN_MS) / max(MIN_VARIABILITY, variability)
    )
    # Near saturation the tail says less than the gateways' own rejections: never below what a saturated node does.
    floor = SATURATED_IN_TIME_FRACTION / max(utilization, 1.0) if utilization > NEAR_SATURATION_UTILIZATION else 0.0
    return max(1.0 - waits * tail, floor)


def estimate_service(
    demand: Demand,
    config: Config,
    nodes: NodeCapacities,
    multiple: float = 1.0,
    failed_slots: Set[int] = frozenset(),
) -> ServiceEstimate:
    """What the fleet makes of the demand.

    Args:
        demand: The captured load.
        config: The fleet's settings.
        nodes: Its storage nodes.
        multiple: The load, in multiples of the captured one.
        failed_slots: Slots whose storage nodes answer nothing.
    """
    index = {slot: number for number, slot in enumerate(nodes.slots)}
    node = np.array([index[slot] for slot in demand.slot])
    second = np.minimum(demand.second, demand.seconds - 1)
    admitted = admitted_fractions(demand, config, multiple)
    work = demand.units * nodes.unit_work[node] * np.where(demand.is_cached, 1.0 - nodes.cache_saving[node], 1.0)
    utilization = _utilization(nodes, demand.seconds, node, second, work * admitted, multiple)
    in_time = _fractions_in_time(demand, config, nodes, node, work, utilization)
    failed = np.array([slot in failed_slots for slot in nodes.slots])
    in_time[:, failed, :] = 0.0
    served = in_time[demand.request_class, node, second]
    return _build_estimate(demand, config, nodes, node, admitted, served, utilization)


def _utilization(
    nodes: NodeCapacities, seconds: int, node: Integers, second: Integers, work: Floats, multiple: float
) -> Floats:
    """The offered work by node and second over what the node's cores can do."""
    count = len(nodes.slots)
    offered = np.bincount(node * seconds + second, work, count * seconds).reshape((count, seconds)) * multiple
    power = (nodes.cores * nodes.speed)[:, None] * 1000.0
    utilization: Floats = offered / power
    return utilization


def _with_backlog(utilization: Floats) -> Floats:
    """The utilization with what each second carries over to the next."""
    carried = np.zeros(utilization.shape[0])
    total = np.empty_like(utilization)
    for second in range(utilization.shape[1]):
        total[:, second] = utilization[:, second] + carried
        carried = np.clip(total[:, second] - 1.0, 0.0, MAX_CARRIED_SECONDS)
    return total


def _fractions_in_time(
    demand: Demand, config: Config, nodes: NodeCapacities, node: Integers, work: Floats, utilization: Floats
) -> Floats:
    """The part of requests that end in time, by request class, node and second."""
    count = len(nodes.slots)
    requests = np.maximum(1, np.bincount(node, minlength=count))
    mean_work = np.bincount(node, work, count) / requests
    mean_ms = mean_work / nodes.speed
    square = np.bincount(node, work**2, count) / requests
    service_variability = np.maximum(MIN_SERVICE_VARIABILITY, square / np.maximum(mean_work, 1e-9) ** 2 - 1.0)
    objectives = [config.profile[name].expected for name in demand.request_classes]
    total = _with_backlog(utilization)
    fractions = np.zeros((len(objectives), count, demand.seconds))
    for class_number, objective_ms in enumerate(objectives):
        for number in range(count):
            variability = (ARRIVAL_VARIABILITY + service_variability[number]) / 2
            cache: dict[float, float] = {}
            for second in range(demand.seconds):
                rounded = round(float(total[number, second]), 2)
                if rounded not in cache:
                    cores, mean = int(nodes.cores[number]), float(mean_ms[number])
                    cache[rounded] = fraction_in_time(cores, rounded, mean, float(objective_ms), variability)
                fractions[class_number, number, second] = cache[rounded]
    return fractions


def _build_estimate(
    demand: Demand,
    config: Config,
    nodes: NodeCapacities,
    node: Integers,
    admitted: Floats,
    served: Floats,
    utilization: Floats,
) -> ServiceEstimate:
    weights = [config.profile[name].importance for name in demand.request_classes]
    value = np.array(weights)[demand.request_class]
    total = float(value.sum()) or 1.0
    by_node = np.bincount(node, value * admitted * (1.0 - served), len(nodes.slots)) / total
    by_volume = np.bincount(demand.volume, value * (1.0 - admitted), len(demand.volumes)) / total
    lost_by_node = {nodes.names[number]: float(lost) for number, lost in enumerate(by_node) if lost > 0}
    lost_by_quota = {demand.volumes[number]: float(lost) for number, lost in enumerate(by_volume) if lost > 0}
    by_quota_plan = {}
    for number, name in enumerate(demand.quota_plans):
        of_plan = demand.quota_plan == number
        by_quota_plan[name] = float((value * admitted * served)[of_plan].sum() / max(1e-9, value[of_plan].sum()))
    lost = sum([*lost_by_node.values(), *lost_by_quota.values()])
    return ServiceEstimate(1.0 - lost, by_quota_plan, lost_by_node, lost_by_quota, utilization)
