"""Estimation of the service by queueing formulas, in a second or two for a million requests.

Each storage node is modelled as c cores with a single queue. For each node and second, the utilization (offered work
over the capacity of the cores) gives the fraction of requests that are answered in time. Below saturation it follows
from the waiting time of M/G/c (Allen and Cunneen's form of Erlang C, with an exponential tail); above, from the
node's capacity, since the gateways reject the rest at once. A second's backlog is carried over to the next second.
`docs/planner.md` states the errors of this model; trials confirm results that are near a boundary.
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
"""The fraction of a saturated node's capacity that ends in time: gateways see a part of the load and admit too much."""

NEAR_SATURATION_UTILIZATION = 0.95
SERVICE_TIME_FACTOR = 1.6
"""The slack of a request is its latency objective minus this factor times the mean service time."""

ARRIVAL_VARIABILITY = 1.6
"""Squared coefficient of variation of interarrival times: arrivals come in bursts, with more variance than Poisson."""

MIN_SERVICE_VARIABILITY = 0.05
MIN_VARIABILITY = 0.2
MAX_BACKLOG_S = 0.35
"""The largest backlog of a second, held until its deadline; further excess is rejected within the objectives."""

MIN_MEAN_MS = 1e-6


@dataclass(slots=True)
class ServiceEstimate:
    """The service at one multiple of the load. Losses are fractions of the value of all requests.

    Attributes:
        service: The fraction of the value that is served in time.
        by_quota_plan: The service by quota plan name.
        lost_by_node: Losses by storage node name.
        lost_by_quota: Losses to quotas, by volume name.
        utilization: The utilization of each node (row) in each second (column); from 1 on the node is saturated.
    """

    service: float
    by_quota_plan: dict[str, float]
    lost_by_node: dict[str, float]
    lost_by_quota: dict[str, float]
    utilization: Floats


def erlang_c(cores: int, load: float) -> float:
    """Returns the probability that a request has to wait; `load` is the offered load in cores (erlangs)."""
    if load >= cores:
        return 1.0
    term = total = 1.0
    for k in range(1, cores):
        term *= load / k
        total += term
    term *= load / cores
    wait_term = term * cores / (cores - load)
    return wait_term / (total + wait_term)


def fraction_in_time(cores: int, utilization: float, mean_ms: float, objective_ms: float, variability: float) -> float:
    """Returns the fraction of requests whose waiting and service time is within the latency objective.

    Args:
        cores: The number of cores of the storage node.
        utilization: The offered work over the capacity of the cores.
        mean_ms: The mean service time, in ms.
        objective_ms: The latency objective, in ms.
        variability: Half the sum of the squared coefficients of variation of arrivals and service times.
    """
    slack_ms = objective_ms - SERVICE_TIME_FACTOR * mean_ms
    if slack_ms <= 0:
        return max(0.0, 1.0 - math.exp(-objective_ms / max(mean_ms, MIN_MEAN_MS)))
    if utilization >= 1.0:
        return SATURATED_IN_TIME_FRACTION / utilization
    wait_probability = erlang_c(cores, utilization * cores)
    tail = math.exp(
        -cores * (1.0 - utilization) * slack_ms / max(mean_ms, MIN_MEAN_MS) / max(MIN_VARIABILITY, variability)
    )
    # Near saturation the gateways' rejections outweigh the tail: a node serves no less than a saturated one.
    floor = SATURATED_IN_TIME_FRACTION / max(utilization, 1.0) if utilization > NEAR_SATURATION_UTILIZATION else 0.0
    return max(1.0 - wait_probability * tail, floor)


def estimate_service(
    demand: Demand,
    config: Config,
    nodes: NodeCapacities,
    multiple: float = 1.0,
    failed_slots: Set[int] = frozenset(),
) -> ServiceEstimate:
    """Estimates the service that the fleet gives to the demand.

    Args:
        demand: The captured load.
        config: The fleet's settings.
        nodes: The capacities of the fleet's storage nodes.
        multiple: The load, in multiples of the captured load.
        failed_slots: Slots whose storage nodes answer no request.
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
    """Returns the offered work over the capacity of the cores, by node and second."""
    count = len(nodes.slots)
    offered = np.bincount(node * seconds + second, work, count * seconds).reshape((count, seconds)) * multiple
    capacity = (nodes.cores * nodes.speed)[:, None] * 1000.0
    utilization: Floats = offered / capacity
    return utilization


def _with_backlog(utilization: Floats) -> Floats:
    """Returns the utilization including the backlog that each second carries over to the next."""
    backlog = np.zeros(utilization.shape[0])
    total = np.empty_like(utilization)
    for second in range(utilization.shape[1]):
        total[:, second] = utilization[:, second] + backlog
        backlog = np.clip(total[:, second] - 1.0, 0.0, MAX_BACKLOG_S)
    return total


def _fractions_in_time(
    demand: Demand, config: Config, nodes: NodeCapacities, node: Integers, work: Floats, utilization: Floats
) -> Floats:
    """Returns the fraction of requests that end in time, by request class, node and second."""
    count = len(nodes.slots)
    requests = np.maximum(1, np.bincount(node, minlength=count))
    mean_work = np.bincount(node, work, count) / requests
    mean_ms = mean_work / nodes.speed
    mean_squared_work = np.bincount(node, work**2, count) / requests
    service_variability = np.maximum(
        MIN_SERVICE_VARIABILITY, mean_squared_work / np.maximum(mean_work, 1e-9) ** 2 - 1.0
    )
    objectives = [config.profile[name].expected for name in demand.request_classes]
    total = _with_backlog(utilization)
    fractions = np.zeros((len(objectives), count, demand.seconds))
    for class_number, objective_ms in enumerate(objectives):
        for number in range(count):
            variability = (ARRIVAL_VARIABILITY + service_variability[number]) / 2
            cache: dict[float, float] = {}
            for second in range(demand.seconds):
                rounded_utilization = round(float(total[number, second]), 2)
                if rounded_utilization not in cache:
                    cores, mean = int(nodes.cores[number]), float(mean_ms[number])
                    cache[rounded_utilization] = fraction_in_time(
                        cores, rounded_utilization, mean, float(objective_ms), variability
                    )
                fractions[class_number, number, second] = cache[rounded_utilization]
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
    lost_by_node = {nodes.names[number]: float(loss) for number, loss in enumerate(by_node) if loss > 0}
    lost_by_quota = {demand.volumes[number]: float(loss) for number, loss in enumerate(by_volume) if loss > 0}
    by_quota_plan = {}
    for number, name in enumerate(demand.quota_plans):
        in_plan = demand.quota_plan == number
        by_quota_plan[name] = float((value * admitted * served)[in_plan].sum() / max(1e-9, value[in_plan].sum()))
    loss = sum([*lost_by_node.values(), *lost_by_quota.values()])
    return ServiceEstimate(1.0 - loss, by_quota_plan, lost_by_node, lost_by_quota, utilization)
