"""Nodes that discovery reported to leave, so that an older list does not bring them back. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from pebblehinge.interface import EndpointState
from pebblehinge.service.node_list import NodeListUpdate

DEPARTED_LIMIT = 8192  # nodes that left; the first to leave is forgotten first


@dataclass(slots=True, frozen=True)
class Departure:
    """The version that reported a process to leave, and the start of that process in ms."""

    version: int
    started_ms: float


NEVER = Departure(-1, 0.0)


class Departures:
    """Departures by node, in their order."""

    __slots__ = ("nodes",)

    def __init__(self) -> None:
        self.nodes: dict[str, Departure] = {}

    def apply(self, update: NodeListUpdate) -> None:
        """Record the departures of an update, and mark as draining what an older version has as ready again.

        Only a new start of the process, or a later version, says that it is ready again.
        """
        for index, entry in enumerate(update.entries):
            known = self.nodes.get(entry.node_name, NEVER)
            if entry.state is not EndpointState.READY:
                self.nodes.pop(entry.node_name, None)
                self.nodes[entry.node_name] = Departure(max(known.version, update.version), entry.started_ms)
            elif update.version < known.version and entry.started_ms == known.started_ms:
                update.entries[index] = replace(entry, state=EndpointState.DRAINING)
            else:
                self.nodes.pop(entry.node_name, None)
        while len(self.nodes) > DEPARTED_LIMIT:
            del self.nodes[next(iter(self.nodes))]
