"""Scene `pools`: connections and descriptors for all pairs of head and shelf, reckoned from the pools' rules.

In service (service/node_connection.py, connection_pools.py) an attempt takes the connection that was used last, or
dials; one that idles for IDLE_CLOSE_FRACTION of the shelf's own limit is closed, and at the cap the one that idled
longest is. Framed (gateway/node_link.py) there is one connection a shelf that all attempts share and that stays.
Arrivals of a pair are taken as Poisson. For the k-th connection of a pair the arrivals that find exactly k-1 attempts
out reach it; `in flight` is Poisson, too (M/G/infinity)."""

from __future__ import annotations

import math
from typing import Any

from decisions_fleet import HEADS, REQUESTS_S, SHELFS

from pebblehinge.service.connection_pools import IDLE_CLOSE_FRACTION
from pebblehinge.service.server import NODE_SOCKET_FRACTION, RESERVED_SOCKETS

IDLE_S = (5.0, 30.0)  # after which a shelf may close an idle connection: short, and that of the settings in tests
ATTEMPT_S = 0.015
SOCKETS = 1_024  # descriptors that a head is given, as an ordinary limit of a process
CLIENTS = 4_200_000


def pair(rate_s: float, kept_s: float, attempt_s: float) -> tuple[float, float]:
    """Of one pair: connections held in the mean, dials a second. The k-th connection is reached by arrivals that find
    k-1 or more out; it is dialled anew where none reached it for `kept_s`, and held meanwhile."""
    held = dials = 0.0
    busy = rate_s * attempt_s
    at_least = 1.0  # that so many are out or more
    term = math.exp(-busy)
    for k in range(1, 20):
        rate = rate_s * at_least  # of those that reach the k-th
        if rate < 1e-9:
            break
        fresh = math.exp(-rate * kept_s)
        held += 1.0 - fresh  # a point in time is covered if one came within kept_s before it
        dials += rate * fresh
        at_least -= term
        term *= busy / k
    return held, dials


def shares(shape: str, count: int) -> list[float]:
    rows = [1.0 / (n + 1) if shape == "zipf" else 1.0 for n in range(count)]
    return [row / sum(rows) for row in rows]


def in_service(heads: int, shape: str, idle_s: float, sockets: int | None) -> dict[str, float]:
    """The requests of the coming size's shelfs come through so many heads, each in even part; `shape` is over shelfs.
    Under a cap the least recently used go: what is kept is the time at which so many are held (Che's reckoning)."""
    per_head = REQUESTS_S / HEADS
    rates = [per_head * share for share in shares(shape, SHELFS)]

    def of(kept_s: float) -> tuple[float, float]:
        rows = [pair(rate, kept_s, ATTEMPT_S) for rate in rates]
        return sum(held for held, _ in rows), sum(dials for _, dials in rows)

    kept_s = IDLE_CLOSE_FRACTION * idle_s
    held, dials = of(kept_s)
    most = int(sockets * NODE_SOCKET_FRACTION) if sockets else math.inf
    if held > most:
        low, high = 0.0, kept_s
        for _ in range(20):
            middle = (low + high) / 2
            low, high = (middle, high) if of(middle)[0] < most else (low, middle)
        kept_s = low
        held, dials = of(low)
    return {
        "head_connections": round(held),
        "shelf_connections": round(held * heads / SHELFS),
        "head_dials_s": round(dials, 2),
        "fleet_dials_s": round(dials * heads),
        "dials_an_access": round(dials / per_head, 4),
        "kept_s": round(kept_s, 2),
        "head_descriptors": round(held) + CLIENTS // HEADS + RESERVED_SOCKETS,
    }


def points(heads: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """Nothing is drawn: the seed counts for nothing."""
    found = []
    for shape in ("even", "zipf"):
        for idle_s in IDLE_S:
            for sockets in (None, SOCKETS):
                x = {"heads": heads, "shape": shape, "idle_s": idle_s, "sockets": sockets or 0, "kind": "in service"}
                found.append({"x": x, "y": in_service(heads, shape, idle_s, sockets)})
    y = {
        "head_connections": SHELFS,
        "shelf_connections": heads,
        "fleet_dials_s": 0,
        "head_descriptors": SHELFS + CLIENTS // HEADS,
    }
    return [*found, {"x": {"heads": heads, "kind": "framed"}, "y": y}]
