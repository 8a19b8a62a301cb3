"""The storage nodes of a fleet as arrays, and the failures to examine by default."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.demand import Floats
from pebblehinge.capacity_planner.speeds import SpeedEstimate
from pebblehinge.settings import Config

MAX_FAILURE_DOMAINS = 6
"""The largest number of zones, and of racks, whose failure is examined."""


@dataclass(slots=True)
class NodeCapacities:
    """The capacities of the storage nodes: arrays and lists in the order of `slots`.

    Attributes:
        slots: The placement slots in ascending order.
        cores: Number of cores.
        speed: Speed of a core, in multiples of the standard core.
        unit_work: Milliseconds of a standard core per unit of work.
        cache_saving: The fraction of the work that a cached extent saves.
        queue_limit: The largest number of queued requests.
        names: Names of the storage nodes.
    """

    slots: list[int]
    cores: Floats
    speed: Floats
    unit_work: Floats
    cache_saving: Floats
    queue_limit: Floats
    names: list[str]


def node_capacities(config: Config, speeds: Mapping[int, SpeedEstimate]) -> NodeCapacities:
    """Returns the capacities of a fleet; a slot missing from `speeds` gets the middle of its kind's speed range."""
    nodes = sorted(config.shelf.items(), key=lambda item: item[1].slot)
    kinds = [config.kind[node.kind] for _, node in nodes]
    return NodeCapacities(
        slots=[node.slot for _, node in nodes],
        cores=np.array([kind.cores for kind in kinds], float),
        speed=np.array(
            [
                speeds[node.slot].speed if node.slot in speeds else sum(kind.speed) / 2
                for (_, node), kind in zip(nodes, kinds, strict=True)
            ]
        ),
        unit_work=np.array([kind.unit_work for kind in kinds]),
        cache_saving=np.array([kind.seek if kind.remembers else 0.0 for kind in kinds]),
        queue_limit=np.array([kind.queue * kind.cores for kind in kinds], float),
        names=[name for name, _ in nodes],
    )


def default_failures(config: Config) -> list[str]:
    """Returns the failures to examine: zones and racks that are not the whole fleet, one storage node, one gateway."""
    nodes = config.shelf.values()
    domains = {"zone": sorted({node.zone for node in nodes}), "rack": sorted({node.rack for node in nodes})}
    failures = []
    for domain, names in domains.items():
        if len(names) > 1:
            failures += [f"{domain} {name}" for name in names[:MAX_FAILURE_DOMAINS]]
    for members in (list(config.shelf), list(config.head)):
        if len(members) > 1:
            failures.append(members[0])
    return failures
