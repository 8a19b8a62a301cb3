"""Identification of the limit that causes the loss of service, from the losses per storage node and per quota."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from pebblehinge.capacity_planner.evidence import Evidence
from pebblehinge.capacity_planner.formulas import estimate_service

HOT_NODE_LOSS_FRACTION = 0.5
"""Fraction of the nodes' loss above which one storage node counts as hot, instead of all nodes as busy."""

HOT_NODE_FAIR_SHARES = 2.0
"""A hot node must also lose more than this many times the equal share of a node."""

HOT_PAIR_LOSS_FRACTION = 0.7
"""Fraction of the nodes' loss above which the two worst nodes count as hot, as those of one hot volume do."""

MAX_NODES_WITHOUT_HOT_NODE = 2
MAX_NODES_WITHOUT_HOT_PAIR = 4
"""With at most so many nodes, a concentrated loss does not indicate a hot node or a hot pair."""

# The bottleneck is read from so many trials at most, from this fraction of the crossing's multiple upwards.
MIN_CROSSING_FACTOR = 0.98
MAX_TRIALS_NEAR_CROSSING = 3

QUOTA = "plan limit"
HOT_NODE = "hot shelf"
NODE_TIME = "shelf time"
ALL_NODES = "all shelfs"


class Bottleneck(NamedTuple):
    """The cause of the lost service, in the words of the printed plan.

    Attributes:
        name: QUOTA, HOT_NODE or NODE_TIME.
        location: The name of a volume or of a storage node, or ALL_NODES.
        reason: The supporting figures, for the operator.
    """

    name: str
    location: str
    reason: str


def find_bottleneck(evidence: Evidence, multiple: float) -> Bottleneck:
    """Returns the bottleneck at the crossing `multiple`, from the trials nearest to it or else from the formulas."""
    nearest_results = sorted(
        (
            result
            for trial, result in evidence.results.items()
            if not trial.failure and trial.node_count is None and trial.multiple >= multiple * MIN_CROSSING_FACTOR
        ),
        key=lambda result: result.trial.multiple,
    )[:MAX_TRIALS_NEAR_CROSSING]
    nodes = len(evidence.nodes.slots)
    if not nearest_results:
        estimate = estimate_service(evidence.demand, evidence.config, evidence.nodes, multiple)
        return name_bottleneck(estimate.lost_by_node, estimate.lost_by_quota, nodes, multiple)
    by_node: dict[str, float] = defaultdict(float)
    by_quota: dict[str, float] = defaultdict(float)
    for result in nearest_results:
        for name, lost in result.lost_by_node.items():
            by_node[name] += lost / len(nearest_results)
        for name, lost in result.lost_by_quota.items():
            by_quota[name] += lost / len(nearest_results)
    return name_bottleneck(by_node, by_quota, nodes, multiple)


def name_bottleneck(by_node: dict[str, float], by_quota: dict[str, float], nodes: int, multiple: float) -> Bottleneck:
    """Returns the limit that causes the larger loss.

    Args:
        by_node: Losses by storage node name, as fractions of the value of all requests.
        by_quota: Losses to quotas by volume name, in the same unit.
        nodes: The number of storage nodes.
        multiple: The load at which the losses occur, in multiples of the captured load.
    """
    node_loss, quota_loss = sum(by_node.values()), sum(by_quota.values())
    total = max(1e-9, node_loss + quota_loss)
    load_text = f"at {multiple:.2f} times the captured load"
    if quota_loss > node_loss:
        name = max(by_quota, key=by_quota.__getitem__)
        fraction = quota_loss / total
        reason = f"{load_text} {fraction:.0%} of what is lost is asked beyond plans' limits, most by {name}"
        return Bottleneck(QUOTA, name, reason)
    if not by_node:
        return Bottleneck(NODE_TIME, ALL_NODES, f"nothing is lost up to {multiple:.2f} times the captured load")
    name = max(by_node, key=by_node.__getitem__)
    fraction = by_node[name] / max(1e-9, node_loss)
    if _is_hot(fraction, sum(sorted(by_node.values())[-2:]) / max(1e-9, node_loss), nodes):
        return Bottleneck(HOT_NODE, name, f"{load_text} {fraction:.0%} of what is lost is lost at {name}")
    reason = f"{load_text} the shelfs' time is used up in the busiest seconds; {name} loses most, {fraction:.0%} of it"
    return Bottleneck(NODE_TIME, ALL_NODES, reason)


def _is_hot(worst: float, worst_two: float, nodes: int) -> bool:
    """Returns whether the loss is concentrated, given the fractions that the worst node and the worst two lose."""
    if nodes <= MAX_NODES_WITHOUT_HOT_NODE:
        return False
    return worst > max(HOT_NODE_LOSS_FRACTION, HOT_NODE_FAIR_SHARES / nodes) or (
        nodes > MAX_NODES_WITHOUT_HOT_PAIR and worst_two > HOT_PAIR_LOSS_FRACTION
    )
