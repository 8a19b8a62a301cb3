"""The causes to which waiting time is charged, with their words on the console's page."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CauseKind(StrEnum):
    """What kind of thing kept a request waiting; the value is its word in reports."""

    NODE = "shelf"  # a storage node took longer than such attempts usually do
    GATEWAY = "head"  # queued here with nothing in flight at the node
    OWN_WORK = "own work"  # its own first attempt, as long as such an attempt usually takes
    RETRIES = "further trips"  # its own retries, likewise
    VOLUME = "volume"  # requests of a volume, its own among them
    OTHERS = "others"  # small causes that were merged


class WaitCause(NamedTuple):
    """One cause: its kind and, for a node or a volume, the name; "" for the others."""

    kind: CauseKind
    name: str = ""

    @classmethod
    def node(cls, name: str) -> WaitCause:
        """The storage node of this name."""
        return cls(CauseKind.NODE, name)

    @classmethod
    def volume(cls, name: str) -> WaitCause:
        """The requests of the volume of this name."""
        return cls(CauseKind.VOLUME, name)

    @property
    def label(self) -> str:
        """The cause in a word or two, for reports and as the order of causes of the same size."""
        if self.kind is CauseKind.VOLUME:
            return self.name
        return f"{self.kind} {self.name}" if self.name else str(self.kind)

    def describe(self, waiter: str) -> str:
        """The cause in a sentence, as the console shows it to people.

        Args:
            waiter: Name of the volume that waited.
        """
        if self.kind is CauseKind.NODE:
            return f"{self.label}, beyond what such trips usually take"
        if self.kind is CauseKind.VOLUME:
            own = self.name == waiter
            return "waiting behind its own accesses" if own else f"waiting behind volume {self.name}"
        return _SENTENCES[self.kind]


GATEWAY = WaitCause(CauseKind.GATEWAY)
OWN_WORK = WaitCause(CauseKind.OWN_WORK)
RETRIES = WaitCause(CauseKind.RETRIES)
OTHERS = WaitCause(CauseKind.OTHERS)

_SENTENCES = {
    CauseKind.OWN_WORK: "its own work at its shelfs, as long as such work usually takes",
    CauseKind.RETRIES: "its own further trips",
    CauseKind.GATEWAY: "held here with nothing out: its plan's limit, a cold shelf, or a slot that was kept",
    CauseKind.OTHERS: "waiting behind others",
}
