"""Scene `pools`: connections and descriptors for all pairs of gateway and node, computed from the pools' rules.

In service (service/node_connection.py, connection_pools.py) an attempt takes the most recently used connection, or
dials. A connection idle for IDLE_CLOSE_FRACTION of the node's idle timeout is closed, and at the cap the one idle
longest. On the framed protocol (gateway/node_link.py) all attempts to a node share one permanent connection.
Arrivals of a pair are modelled as Poisson. The k-th connection of a pair is used by arrivals that find k-1 or more
attempts in flight; the number in flight is Poisson, too (M/G/infinity)."""

from __future__ import annotations

import math
from typing import Any

from decisions_fleet import GATEWAY_COUNT, NODE_COUNT, REQUESTS_PER_S

from pebblehinge.service.connection_pools import IDLE_CLOSE_FRACTION
from pebblehinge.service.server import NODE_SOCKET_FRACTION, RESERVED_SOCKETS

NODE_IDLE_TIMEOUTS_S = (5.0, 30.0)  # of a storage node: a short timeout, and the one in the tests' settings
ATTEMPT_DURATION_S = 0.015
GATEWAY_DESCRIPTORS = 1_024  # descriptors of a gateway: a usual limit of a process
CLIENTS = 4_200_000


def pair_connections(rate_s: float, idle_timeout_s: float, attempt_s: float) -> tuple[float, float]:
    """Returns the mean number of open connections of one pair, and its dials a second.

    The k-th connection is used by arrivals that find k-1 or more attempts in flight. It is closed, and dialled again
    by the next such arrival, when none came for `idle_timeout_s`.
    """
    connections = dials_per_s = 0.0
    mean_in_flight = rate_s * attempt_s
    tail_probability = 1.0  # that k-1 or more attempts are in flight
    point_probability = math.exp(-mean_in_flight)
    for k in range(1, 20):
        rate = rate_s * tail_probability  # of arrivals that use the k-th connection
        if rate < 1e-9:
            break
        probability_idle = math.exp(-rate * idle_timeout_s)
        connections += 1.0 - probability_idle  # open if an arrival came within the idle timeout
        dials_per_s += rate * probability_idle
        tail_probability -= point_probability
        point_probability *= mean_in_flight / k
    return connections, dials_per_s


def node_shares(shape: str, count: int) -> list[float]:
    weights = [1.0 / (n + 1) if shape == "zipf" else 1.0 for n in range(count)]
    return [weight / sum(weights) for weight in weights]


def service_figures(
    gateway_count: int, shape: str, node_idle_timeout_s: float, descriptors: int | None
) -> dict[str, float]:
    """Returns the connections and dials of a gateway in service at the planned request rate of one gateway.

    `shape` is the demand over the nodes. At the cap the least recently used connections are closed: the effective
    idle timeout is the one at which the mean number of open connections equals the cap (Che's approximation).
    """
    requests_per_gateway = REQUESTS_PER_S / GATEWAY_COUNT
    rates = [requests_per_gateway * share for share in node_shares(shape, NODE_COUNT)]

    def totals(idle_timeout_s: float) -> tuple[float, float]:
        pairs = [pair_connections(rate, idle_timeout_s, ATTEMPT_DURATION_S) for rate in rates]
        return sum(connections for connections, _ in pairs), sum(dials_per_s for _, dials_per_s in pairs)

    idle_timeout_s = IDLE_CLOSE_FRACTION * node_idle_timeout_s
    connections, dials_per_s = totals(idle_timeout_s)
    max_connections = int(descriptors * NODE_SOCKET_FRACTION) if descriptors else math.inf
    if connections > max_connections:
        low, high = 0.0, idle_timeout_s
        for _ in range(20):
            middle = (low + high) / 2
            low, high = (middle, high) if totals(middle)[0] < max_connections else (low, middle)
        idle_timeout_s = low
        connections, dials_per_s = totals(low)
    return {
        "head_connections": round(connections),
        "shelf_connections": round(connections * gateway_count / NODE_COUNT),
        "head_dials_s": round(dials_per_s, 2),
        "fleet_dials_s": round(dials_per_s * gateway_count),
        "dials_an_access": round(dials_per_s / requests_per_gateway, 4),
        "kept_s": round(idle_timeout_s, 2),
        "head_descriptors": round(connections) + CLIENTS // GATEWAY_COUNT + RESERVED_SOCKETS,
    }


def points(gateway_count: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """Returns all cases; the seed has no effect, as nothing is random."""
    result = []
    for shape in ("even", "zipf"):
        for node_idle_timeout_s in NODE_IDLE_TIMEOUTS_S:
            for descriptors in (None, GATEWAY_DESCRIPTORS):
                x = {
                    "heads": gateway_count,
                    "shape": shape,
                    "idle_s": node_idle_timeout_s,
                    "sockets": descriptors or 0,
                    "kind": "in service",
                }
                result.append({"x": x, "y": service_figures(gateway_count, shape, node_idle_timeout_s, descriptors)})
    y = {
        "head_connections": NODE_COUNT,
        "shelf_connections": gateway_count,
        "fleet_dials_s": 0,
        "head_descriptors": NODE_COUNT + CLIENTS // GATEWAY_COUNT,
    }
    return [*result, {"x": {"heads": gateway_count, "kind": "framed"}, "y": y}]
