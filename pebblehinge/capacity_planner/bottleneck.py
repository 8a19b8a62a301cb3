"""The limit that takes the service, named from what was lost where."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from pebblehinge.capacity_planner.evidence import Evidence
from pebblehinge.capacity_planner.formulas import estimate_service

HOT_NODE_LOSS_FRACTION = 0.5
"""From this part of the loss on, one storage node is hot rather than all of them busy."""

HOT_NODE_FAIR_SHARES = 2.0
"""A hot node's loss is more than this many fair shares as well."""

HOT_PAIR_LOSS_FRACTION = 0.7
"""From this part of the loss on, the two worst nodes are hot, as those of one hot volume are."""

MAX_NODES_WITHOUT_HOT_NODE = 2
MAX_NODES_WITHOUT_HOT_PAIR = 4
"""With no more nodes a concentrated loss says nothing."""

MIN_CROSSING_FACTOR = 0.98
MAX_TRIALS_NEAR_CROSSING = 3

QUOTA = "plan limit"
HOT_NODE = "hot shelf"
NODE_TIME = "shelf time"
ALL_NODES = "all shelfs"


class Bottleneck(NamedTuple):
    """What takes the service; the words are those of the printed plan.

    Attributes:
        name: QUOTA, HOT_NODE or NODE_TIME.
        location: A volume, a storage node, or ALL_NODES.
        reason: The figures behind it, for the operator.
    """

    name: str
    location: str
    reason: str


def find_bottleneck(evidence: Evidence, multiple: float) -> Bottleneck:
    """What takes the service where it falls below the goal: from the trials nearest to it, else from the formulas."""
    near = sorted(
        (
            result
            for trial, result in evidence.results.items()
            if not trial.failure and trial.node_count is None and trial.multiple >= multiple * MIN_CROSSING_FACTOR
        ),
        key=lambda result: result.trial.multiple,
    )[:MAX_TRIALS_NEAR_CROSSING]
    nodes = len(evidence.nodes.slots)
    if not near:
        estimate = estimate_service(evidence.demand, evidence.config, evidence.nodes, multiple)
        return name_bottleneck(estimate.lost_by_node, estimate.lost_by_quota, nodes, multiple)
    by_node: dict[str, float] = defaultdict(float)
    by_quota: dict[str, float] = defaultdict(float)
    for result in near:
        for name, lost in result.lost_by_node.items():
            by_node[name] += lost / len(near)
        for name, lost in result.lost_by_quota.items():
            by_quota[name] += lost / len(near)
    return name_bottleneck(by_node, by_quota, nodes, multiple)


def name_bottleneck(by_node: dict[str, float], by_quota: dict[str, float], nodes: int, multiple: float) -> Bottleneck:
    """The limit that takes the service.

    Args:
        by_node: What is lost by the name of a storage node, as parts of the value of all requests.
        by_quota: The same by the name of a volume whose quota plan has a limit.
        nodes: How many storage nodes there are.
        multiple: The load at which it is lost, in multiples of the captured one.
    """
    of_nodes, of_quotas = sum(by_node.values()), sum(by_quota.values())
    total = max(1e-9, of_nodes + of_quotas)
    load = f"at {multiple:.2f} times the captured load"
    if of_quotas > of_nodes:
        name = max(by_quota, key=by_quota.__getitem__)
        part = of_quotas / total
        reason = f"{load} {part:.0%} of what is lost is asked beyond plans' limits, most by {name}"
        return Bottleneck(QUOTA, name, reason)
    if not by_node:
        return Bottleneck(NODE_TIME, ALL_NODES, f"nothing is lost up to {multiple:.2f} times the captured load")
    name = max(by_node, key=by_node.__getitem__)
    part = by_node[name] / max(1e-9, of_nodes)
    if _is_hot(part, sum(sorted(by_node.values())[-2:]) / max(1e-9, of_nodes), nodes):
        return Bottleneck(HOT_NODE, name, f"{load} {part:.0%} of what is lost is lost at {name}")
    reason = f"{load} the shelfs' time is used up in the busiest seconds; {name} loses most, {part:.0%} of it"
    return Bottleneck(NODE_TIME, ALL_NODES, reason)


def _is_hot(worst: float, worst_two: float, nodes: int) -> bool:
    """Whether the loss is concentrated; `worst` and `worst_two` are the parts of the worst node and the worst two."""
    if nodes <= MAX_NODES_WITHOUT_HOT_NODE:
        return False
    return worst > max(HOT_NODE_LOSS_FRACTION, HOT_NODE_FAIR_SHARES / nodes) or (
        nodes > MAX_NODES_WITHOUT_HOT_PAIR and worst_two > HOT_PAIR_LOSS_FRACTION
    )
