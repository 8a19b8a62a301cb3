"""Limits that trials in virtual time do not show, or that are promises rather than load."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats
from pebblehinge.capacity_planner.fleet import NodeCapacities
from pebblehinge.capacity_planner.formulas import estimate_service
from pebblehinge.settings import Config

GATEWAY_UTILIZATION = 0.6
"""The part of a core that a gateway may use and still answer in time."""

RESERVABLE_FRACTION = 0.9
"""The part of the storage nodes' power that quota plans may reserve."""

REQUEST_OPEN_S = 0.2
"""For how long a request is taken to be open at a gateway."""

MAX_IN_FLIGHT_PER_GATEWAY = 4
"""How many requests a gateway has in flight at one storage node at most."""

GATEWAY_CPU = "head CPU"
STREAMS = "streams"
OPEN_REQUESTS = "accesses"

GATEWAY_LIMITS = (GATEWAY_CPU, STREAMS, OPEN_REQUESTS)
"""The limits that more gateways raise; the words are those of the printed plan."""


@dataclass(slots=True)
class Limit:
    """One limit.

    Attributes:
        name: What is limited.
        location: The part of the fleet that it holds for.
        at_multiple: The multiple of the captured load at which it is reached.
        reason: The figures behind it, for the operator.
    """

    name: str
    location: str
    at_multiple: float
    reason: str


def other_limits(demand: Demand, config: Config, nodes: NodeCapacities, gateway_cost_ms: float) -> list[Limit]:
    """The limits of a fleet, the nearest first; `gateway_cost_ms` is the CPU time of a request at a gateway."""
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
    """What quota plans reserve against what the storage nodes can do; none if nothing is reserved."""
    power = float((nodes.cores * nodes.speed / nodes.unit_work).sum() * 1000.0)
    reserved = sum(config.plan[volume.plan].reserve for volume in config.volume.values())
    if not reserved:
        return []
    reason = f"reserves of {reserved:.0f} units a second against {RESERVABLE_FRACTION:g} of {power:.0f}"
    return [Limit("reserves", "all plans", RESERVABLE_FRACTION * power / reserved, reason)]


def _open_request_limits(config: Config, peak: float, gateways: int) -> list[Limit]:
    """The bounds on requests that are open at once on a connection and at a gateway."""
    streams, requests = config.limits.streams, config.limits.accesses
    are_open = peak * REQUEST_OPEN_S / gateways
    return [
        Limit(
            STREAMS,
            "a client's connection",
            streams / max(1e-9, are_open),
            f"{are_open:.0f} accesses open at a head, {streams} allowed on a connection",
        ),
        Limit(
            OPEN_REQUESTS,
            "a head",
            requests / max(1e-9, are_open),
            f"{are_open:.0f} accesses open at a head, {requests} allowed",
        ),
    ]


def _queue_limit(nodes: NodeCapacities, busiest: int, utilization: Floats) -> Limit:
    return Limit(
        "queue",
        nodes.names[busiest],
        float(nodes.queue_limit[busiest] / max(1e-9, utilization[busiest] * nodes.cores[busiest])),
        f"its queue of {nodes.queue_limit[busiest]:.0f} against what its busiest second brings",
    )
