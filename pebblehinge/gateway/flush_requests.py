"""Flushes of buffered volumes: each waits until all that was confirmed before it is committed."""

from __future__ import annotations

from collections.abc import Callable

from pebblehinge.gateway.buffered_request import BufferedRequest
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.records import Write


class FlushRequests:
    """The flushes that wait."""

    def __init__(self, committer: Committer, dirty: DirtyWrites, succeed: Callable[[BufferedRequest], None]) -> None:
        """Calls `succeed` for a flush that waits for nothing any more."""
        self.committer = committer
        self.dirty = dirty
        self.succeed = succeed
        self.waiting: list[BufferedRequest] = []

    def add(self, request: BufferedRequest) -> None:
        """Adds a flush, with its volume and the number of the last write that it waits for."""
        self.waiting.append(request)

    def check(self) -> None:
        """Answers the flushes that wait for nothing any more."""
        still_waiting = []
        for request in self.waiting:
            if self._waits(request) and not request.answered:
                still_waiting.append(request)
            else:
                self.succeed(request)
        self.waiting = still_waiting

    def _waits(self, request: BufferedRequest) -> bool:
        is_unconfirmed = any(
            row.record.volume == request.volume and row.record.number <= request.up_to
            for row in self.committer.pending
            if isinstance(row.record, Write)
        )
        return is_unconfirmed or self.committer.is_running or not self.dirty.is_clean(request.volume, request.up_to)
