"""One client's transfer over a module: its requests, and the directory entries that it reads and commits.

It decides nothing: `request_scheduler` says when a request goes and whether again, the gateway all else about it. The
loop, the clock and `request`, which makes one request and returns its answer, are handed in by the module's store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec

from pebblehinge.rsync.errors import EXIT_FILE_IO, EXIT_TIMEOUT, RequestRejectedError, RsyncError
from pebblehinge.rsync.module_state import Answer, ModuleState
from pebblehinge.rsync.operations import AppendAnswer, Operation
from pebblehinge.rsync.request_scheduler import ABANDONED, REJECTED, SUCCEEDED
from pebblehinge.rsync.tree import (
    KIND_DIRECTORY,
    KIND_REMOVED,
    Directory,
    DirectoryEntry,
    commit_label,
    slot_of,
    split_path,
)
from pebblehinge.wire.frames import APPEND, APPEND_RESULT, READ, WRITE

T = TypeVar("T")

DIRECTORY_MODE = 0o755
"""Permissions of a directory that nobody stated."""


def top_directory() -> DirectoryEntry:
    """Returns the entry of a module's top, which has no record."""
    return DirectoryEntry(KIND_DIRECTORY, b"", mode=DIRECTORY_MODE)


def _is_same(a: DirectoryEntry, b: DirectoryEntry) -> bool:
    """Whether `b` says nothing that `a` does not; a directory without a time says nothing of time and mode."""
    if a.kind == KIND_DIRECTORY and b.kind == KIND_DIRECTORY:
        return not b.mtime or (a.mtime, a.mode) == (b.mtime, b.mode)
    return (a.kind, a.size, a.mtime, a.mode, a.digest, a.data) == (b.kind, b.size, b.mtime, b.mode, b.digest, b.data)


class Transfer:
    """One client's transfer over a module.

    Attributes:
        store: The module.
        block: The module's settings.
        scheduler: Schedules its requests.
        trace: Its name in traces.
        loop: Runs its tasks.
        clock: Returns the time in milliseconds.
    """

    def __init__(self, store: ModuleState, trace: str, time_limit_ms: float) -> None:
        self.store = store
        self.block = store.block
        self.scheduler = store.scheduler
        self.trace = trace
        self.loop = self.scheduler.loop
        self.clock = self.scheduler.clock
        self._share = self.scheduler.requests.begin(self.clock(), time_limit_ms)
        self._request_count = 0
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def end(self) -> None:
        """Cancels whatever is left of the transfer."""
        for task in list(self._tasks):
            task.cancel()
        for request in self.scheduler.requests.end(self._share):
            request.waiter.cancel()
        self.scheduler.grant()

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Runs a coroutine as a task that ends with the transfer."""
        task = self.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled():
            task.exception()  # whoever awaits it sees it; one that is awaited by none any more was cancelled with it

    # ---- requests

    async def _request(self, operation: Operation, idempotent: bool) -> Answer:
        """Makes one request with its retries; returns the last answer."""
        units = max(1.0, min(operation.length / self.block.unit, self.store.max_units))
        request = await self.scheduler.request(self._share, units)
        while True:
            final, retry_after_ms = ABANDONED, 0.0
            try:
                answer = await self._attempt(operation, units, is_retry=request.retries > 0)
                final, retry_after_ms = answer.final, answer.retry_after_ms
            finally:
                self.scheduler.complete(request, final, retry_after_ms)
            wait_ms = self.scheduler.requests.retry_delay_ms(self.clock(), request, final, retry_after_ms, idempotent)
            if wait_ms is None:
                return answer
            request = await self.scheduler.retry(request, wait_ms)

    async def _attempt(self, operation: Operation, units: float, is_retry: bool) -> Answer:
        budget_ms = self.scheduler.requests.time_budget_ms(self.clock(), self._share, self.block.patience)
        if not budget_ms:
            raise RequestRejectedError("the transfer's time is over", EXIT_TIMEOUT)
        self._request_count += 1
        return await self.store.request(
            op=operation.op,
            extent=operation.extent,
            slot=slot_of(operation.extent, self.store.slots),
            request_class=operation.profile,
            units=units,
            time_limit_ms=budget_ms,
            trace_id=f"{self.trace}.{self._request_count}",
            is_retry=is_retry,
            offset=operation.offset,
            length=operation.length,
            data=operation.data,
            idempotency_key=operation.label,
        )

    async def read(self, extent: str, offset: int, length: int) -> bytes:
        """Returns up to `length` bytes of an extent; raises RequestRejectedError if no storage node served them."""
        answer = await self._request(Operation(READ, extent, self.block.read, offset, length), idempotent=True)
        if answer.final != SUCCEEDED:
            text = f"a read was {answer.final}: {answer.reason or 'no shelf could serve it in time'}"
            raise RequestRejectedError(text, EXIT_TIMEOUT)
        return answer.data

    async def write(self, extent: str, data: bytes) -> None:
        """Writes a block: idempotent, as the same bytes go to the same place."""
        answer = await self._request(Operation(WRITE, extent, self.block.write, 0, len(data), data), idempotent=True)
        if answer.final != SUCCEEDED:
            text = f"a write was {answer.final}: {answer.reason or 'no shelf could serve it in time'}"
            raise RequestRejectedError(text, EXIT_TIMEOUT)

    async def append(self, extent: str, end: int, data: bytes, label: str) -> AppendAnswer:
        """Appends to an extent that is `end` bytes long; retried only where it was rejected."""
        operation = Operation(APPEND, extent, self.block.commit, end, len(data), data, label or None)
        answer = await self._request(operation, idempotent=False)
        if answer.final == REJECTED:
            text = f"a save was pushed back: {answer.reason or 'no shelf could take it in time'}"
            raise RequestRejectedError(text, EXIT_TIMEOUT)
        if answer.final != SUCCEEDED:
            return AppendAnswer(answer.final, None)
        appended, _length = APPEND_RESULT.unpack(answer.data)
        return AppendAnswer(answer.final, bool(appended))

    # ---- files

    async def read_directory(self, path: bytes) -> Directory:
        """Returns a directory as it stands."""
        return await self.store.log(path).refresh(self)

    async def find_entry(self, path: bytes) -> DirectoryEntry | None:
        """Returns what stands at a path; the top is a directory."""
        if not path:
            return top_directory()
        parent, name = split_path(path)
        return (await self.read_directory(parent)).entries.get(name)

    async def commit(self, path: bytes, entry: DirectoryEntry) -> bool:
        """Makes an entry hold under its path by one record, appended once; False where it held already."""
        parent, name = split_path(path)

        def make(directory: Directory) -> DirectoryEntry | None:
            replaced = directory.entries.get(name)
            if replaced is not None and _is_same(replaced, entry):
                return None  # an earlier attempt at this commit, or another's commit of the same
            label = commit_label(path, entry, replaced.label if replaced is not None else "")
            return msgspec.structs.replace(entry, name=name, label=label)

        return await self.store.log(parent).change(self, make) is not None

    async def remove(self, path: bytes) -> bool:
        """Removes the entry at a path; False where there is none."""
        parent, name = split_path(path)

        def make(directory: Directory) -> DirectoryEntry | None:
            replaced = directory.entries.get(name)
            if replaced is None:
                return None
            removed = DirectoryEntry(KIND_REMOVED, name)
            return msgspec.structs.replace(removed, label=commit_label(path, removed, replaced.label))

        return await self.store.log(parent).change(self, make) is not None

    async def make_directories(self, path: bytes) -> None:
        """Makes a directory with all above it; raises RsyncError where something else stands."""
        parts = path.split(b"/") if path else []
        for count in range(1, len(parts) + 1):
            ancestor = b"/".join(parts[:count])
            known = await self.find_entry(ancestor)
            if known is None:
                await self.commit(ancestor, top_directory())
            elif not known.is_directory:
                raise RsyncError(f"{ancestor[:80]!r} is no directory", EXIT_FILE_IO)
