"""Limits that trials in virtual time do not show, and limits of guarantees rather than of the load."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats
from pebblehinge.capacity_planner.fleet import NodeCapacities
from pebblehinge.capacity_planner.formulas import estimate_service
from pebblehinge.settings import Config

GATEWAY_UTILIZATION = 0.6
"""The fraction of a core that a gateway may use and still answer in time."""

RESERVABLE_FRACTION = 0.9
"""The fraction of the storage nodes' capacity that quota plans may reserve."""

REQUEST_OPEN_S = 0.2
"""The assumed time for which a request is open at a gateway."""

MAX_IN_FLIGHT_PER_GATEWAY = 4
"""The largest number of requests that a gateway has in flight at one storage node."""

GATEWAY_CPU = "head CPU"
STREAMS = "streams"
OPEN_REQUESTS = "accesses"

GATEWAY_LIMITS = (GATEWAY_CPU, STREAMS, OPEN_REQUESTS)
"""The limits that more gateways raise, by their names in the printed plan."""


@dataclass(slots=True)
class Limit:
    """A limit of the fleet.

    Attributes:
        name: The limited quantity.
        location: The part of the fleet that the limit applies to.
        at_multiple: The multiple of the captured load at which the limit is reached.
        reason: The supporting figures, for the operator.
    """

    name: str
    location: str
    at_multiple: float
    reason: str


def other_limits(demand: Demand, config: Config, nodes: NodeCapacities, gateway_cost_ms: float) -> list[Limit]:
    """Returns the limits of a fleet, nearest first; `gateway_cost_ms` is the CPU time of a request at a gateway."""
    peak = demand.peak_requests()
    gateways = max(1, len(config.head))
    utilization = estimate_service(demand, config, nodes).utilization.max(axis=1)
    limits = [
        _cpu_limit(peak, gateways, gateway_cost_ms),
        *_reserve_limits(config, nodes),
        *_open_request_limits(config, peak, gateways),
        _queue_limit(nodes, int(np.argmax(utilization)), utilization),
        Limit(
            "slot bound",
            "all heads",
            float((MAX_IN_FLIGHT_PER_GATEWAY * float(gateways) / nodes.cores).min())
            / max(1e-9, float(utilization.max())),
            f"{gateways} heads keep at most {MAX_IN_FLIGHT_PER_GATEWAY * gateways} accesses out at a shelf",
        ),
    ]
    return sorted(limits, key=lambda limit: limit.at_multiple)


def _cpu_limit(peak: float, gateways: int, gateway_cost_ms: float) -> Limit:
    return Limit(
        GATEWAY_CPU,
        f"{gateways} heads",
        GATEWAY_UTILIZATION * 1000.0 * gateways / max(1e-9, peak * gateway_cost_ms),
        f"a second of {peak:.0f} accesses at {gateway_cost_ms * 1000:.0f} us over {gateways} heads may use "
        f"{GATEWAY_UTILIZATION:.0%} of a core",
    )


def _reserve_limits(config: Config, nodes: NodeCapacities) -> list[Limit]:
    """Returns the limit on the rate that quota plans reserve, or no limit if they reserve nothing."""
    capacity = float((nodes.cores * nodes.speed / nodes.unit_work).sum() * 1000.0)
    reserved_rate = sum(config.plan[volume.plan].reserve for volume in config.volume.values())
    if not reserved_rate:
        return []
    reason = f"reserves of {reserved_rate:.0f} units a second against {RESERVABLE_FRACTION:g} of {capacity:.0f}"
    return [Limit("reserves", "all plans", RESERVABLE_FRACTION * capacity / reserved_rate, reason)]


def _open_request_limits(config: Config, peak: float, gateways: int) -> list[Limit]:
    """Returns the limits on concurrently open requests, for a connection and for a gateway."""
    max_streams, max_requests = config.limits.streams, config.limits.accesses
    open_requests = peak * REQUEST_OPEN_S / gateways
    return [
        Limit(
            STREAMS,
            "a client's connection",
            max_streams / max(1e-9, open_requests),
            f"{open_requests:.0f} accesses open at a head, {max_streams} allowed on a connection",
        ),
        Limit(
            OPEN_REQUESTS,
            "a head",
            max_requests / max(1e-9, open_requests),
            f"{open_requests:.0f} accesses open at a head, {max_requests} allowed",
        ),
    ]


def _queue_limit(nodes: NodeCapacities, busiest: int, utilization: Floats) -> Limit:
    return Limit(
        "queue",
        nodes.names[busiest],
        float(nodes.queue_limit[busiest] / max(1e-9, utilization[busiest] * nodes.cores[busiest])),
        f"its queue of {nodes.queue_limit[busiest]:.0f} against what its busiest second brings",
    )
