"""The causes to which waiting time is charged, with their labels and descriptions for the console."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CauseKind(StrEnum):
    """The kind of a cause of waiting; its value is the label in reports."""

    NODE = "shelf"  # a storage node took longer than an attempt typically takes
    GATEWAY = "head"  # queued at this gateway while no attempt was in flight at the node
    OWN_WORK = "own work"  # the first attempt of the request itself, up to the typical duration
    RETRIES = "further trips"  # the retries of the request itself, up to the typical duration
    VOLUME = "volume"  # attempts of a volume; it may be the volume of the request itself
    OTHERS = "others"  # small causes that were merged to save memory


class WaitCause(NamedTuple):
    """A cause of waiting: its kind, and the name of the node or volume, or "" for the other kinds."""

    kind: CauseKind
    name: str = ""

    @classmethod
    def node(cls, name: str) -> WaitCause:
        """Returns the cause for the storage node with this name."""
        return cls(CauseKind.NODE, name)

    @classmethod
    def volume(cls, name: str) -> WaitCause:
        """Returns the cause for the attempts of the volume with this name."""
        return cls(CauseKind.VOLUME, name)

    @property
    def label(self) -> str:
        """The label of the cause in reports, which also orders causes of the same size."""
        if self.kind is CauseKind.VOLUME:
            return self.name
        return f"{self.kind} {self.name}" if self.name else str(self.kind)

    def describe(self, waiter: str) -> str:
        """Returns a description of the cause for the console.

        Args:
            waiter: Name of the volume whose requests waited.
        """
        if self.kind is CauseKind.NODE:
            return f"{self.label}, beyond what such trips usually take"
        if self.kind is CauseKind.VOLUME:
            own = self.name == waiter
            return "waiting behind its own accesses" if own else f"waiting behind volume {self.name}"
        return _DESCRIPTIONS[self.kind]


GATEWAY = WaitCause(CauseKind.GATEWAY)
OWN_WORK = WaitCause(CauseKind.OWN_WORK)
RETRIES = WaitCause(CauseKind.RETRIES)
OTHERS = WaitCause(CauseKind.OTHERS)

_DESCRIPTIONS = {
    CauseKind.OWN_WORK: "its own work at its shelfs, as long as such work usually takes",
    CauseKind.RETRIES: "its own further trips",
    CauseKind.GATEWAY: "held here with nothing out: its plan's limit, a cold shelf, or a slot that was kept",
    CauseKind.OTHERS: "waiting behind others",
}
