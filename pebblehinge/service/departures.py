"""Nodes that discovery reported to leave, so that an older list does not bring them back. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from pebblehinge.interface import EndpointState
from pebblehinge.service.node_list import NodeListUpdate

MAX_DEPARTURES = 8192  # nodes that left; the first to leave is forgotten first


@dataclass(slots=True, frozen=True)
class Departure:
    """The version that reported a process to leave, and the start of that process in ms."""

    version: int
    started_ms: float


NO_DEPARTURE = Departure(-1, 0.0)


class Departures:
    """Departures by node, in their order."""

    __slots__ = ("by_node",)

    def __init__(self) -> None:
        self.by_node: dict[str, Departure] = {}

    def apply(self, update: NodeListUpdate) -> None:
        """Record the departures of an update, and mark as draining what an older version has as ready again.

        Only a new start of the process, or a later version, says that it is ready again.
        """
        for index, entry in enumerate(update.entries):
            known = self.by_node.get(entry.node_name, NO_DEPARTURE)
            if entry.state is not EndpointState.READY:
                self.by_node.pop(entry.node_name, None)
                self.by_node[entry.node_name] = Departure(max(known.version, update.version), entry.started_ms)
            elif update.version < known.version and entry.started_ms == known.started_ms:
                update.entries[index] = replace(entry, state=EndpointState.DRAINING)
            else:
                self.by_node.pop(entry.node_name, None)
        while len(self.by_node) > MAX_DEPARTURES:
            del self.by_node[next(iter(self.by_node))]
