"""Remembers nodes that discovery reported as leaving, so that an older list does not restore them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from pebblehinge.interface import EndpointState
from pebblehinge.service.node_list import NodeListUpdate

MAX_DEPARTURES = 8192  # Beyond this number the oldest departure is dropped.


@dataclass(slots=True, frozen=True)
class Departure:
    """The report that a storage node leaves.

    Attributes:
        version: The latest version of the node list that reported it.
        started_ms: Clock time at which the node's process started, in milliseconds.
    """

    version: int
    started_ms: float


NO_DEPARTURE = Departure(-1, 0.0)


class Departures:
    """The departures by the name of the node, the oldest first."""

    __slots__ = ("by_node",)

    def __init__(self) -> None:
        self.by_node: dict[str, Departure] = {}

    def apply(self, update: NodeListUpdate) -> None:
        """Records the departures in an update; marks a node as draining that an older version reports as ready.

        Only a later version, or a new start of the node's process, makes a departed node ready again.
        """
        for index, entry in enumerate(update.entries):
            departure = self.by_node.get(entry.node_name, NO_DEPARTURE)
            if entry.state is not EndpointState.READY:
                self.by_node.pop(entry.node_name, None)
                self.by_node[entry.node_name] = Departure(max(departure.version, update.version), entry.started_ms)
            elif update.version < departure.version and entry.started_ms == departure.started_ms:
                update.entries[index] = replace(entry, state=EndpointState.DRAINING)
            else:
                self.by_node.pop(entry.node_name, None)
        while len(self.by_node) > MAX_DEPARTURES:
            del self.by_node[next(iter(self.by_node))]
