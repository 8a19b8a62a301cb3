"""What a transfer sees of its module: the interface between transfers, directory logs and module stores."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from pebblehinge.rsync.partial_uploads import PartialUploads
from pebblehinge.rsync.transfer_scheduler import TransferScheduler
from pebblehinge.rsync.tree import Directory, DirectoryEntry
from pebblehinge.settings.schema import ModuleBlock

EntryChange = Callable[[Directory], DirectoryEntry | None]
"""Returns the entry to commit to a directory as it stands, or None if nothing is to be done."""


class Answer(Protocol):
    """How one request ended.

    Attributes:
        final: The word of the final answer.
        retry_after_ms: How long to wait before the next request, in milliseconds (Retry-After).
        reason: Why it did not succeed, or "".
        data: The answer's bytes.
    """

    final: str
    retry_after_ms: float
    reason: str
    data: bytes


Request = Callable[..., Awaitable[Answer]]
"""Makes one request of the gateway; its arguments are those in `Transfer`."""


class LogTransfer(Protocol):
    """A transfer, as a directory's log uses it; its attributes are those of `Transfer`."""

    loop: asyncio.AbstractEventLoop
    trace: str

    async def read(self, extent: str, offset: int, length: int) -> bytes:
        """Returns up to `length` bytes of an extent."""


class Log(Protocol):
    """A directory's log, as a transfer uses it."""

    async def refresh(self, transfer: LogTransfer) -> Directory:
        """Reads what was appended since; returns the directory."""

    async def change(self, transfer: LogTransfer, make: EntryChange) -> DirectoryEntry | None:
        """Commits what `make` returns."""


class ModuleState(Protocol):
    """What all transfers of one module share; its attributes are those of `ModuleStore`."""

    name: str
    block: ModuleBlock
    slots: list[int]
    max_units: float
    scheduler: TransferScheduler
    request: Request
    partial_uploads: PartialUploads
    committed: int
    uncertain: int
    appends: int

    def log(self, path: bytes) -> Log:
        """Returns the log of a directory."""
