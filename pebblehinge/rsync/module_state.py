"""What a transfer sees of its module: the interface that breaks the circle between transfers, logs and modules."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from pebblehinge.rsync.sharing import Keeping
from pebblehinge.rsync.stream import RsyncError
from pebblehinge.rsync.tree import Entry, Folder
from pebblehinge.rsync.turns import Turns
from pebblehinge.settings.schema import ModuleBlock


class Answer(Protocol):
    """How one access ended."""

    final: str
    stay_ms: float
    reason: str
    data: bytes


Access = Callable[..., Awaitable[Answer]]


class Refused(RsyncError):
    """An access got no better answer in the transfer's time; the text says which and why."""


class Log(Protocol):
    """A directory's log, as a transfer uses it."""

    async def refresh(self, transfer: Any) -> Folder: ...
    async def change(self, transfer: Any, make: Callable[[Folder], Entry | None]) -> Entry | None: ...


class ModuleState(Protocol):
    """What all transfers of one module share."""

    name: str
    block: ModuleBlock
    slots: list[int]
    most_units: float
    turns: Turns
    access: Access
    keeping: Keeping
    landed: int
    unsure: int
    appends: int

    def log(self, path: bytes) -> Log: ...
