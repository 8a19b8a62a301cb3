"""Flushes of buffered volumes: each waits until all that was confirmed before it is committed."""

from __future__ import annotations

from collections.abc import Callable

from pebblehinge.gateway.buffered_request import BufferedRequest
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.records import Write


class FlushRequests:
    """The flushes that wait."""

    def __init__(self, committer: Committer, dirty: DirtyWrites, on_flushed: Callable[[BufferedRequest], None]) -> None:
        """Calls `succeed` for a flush that waits for nothing any more."""
        self.committer = committer
        self.dirty = dirty
        self.on_flushed = on_flushed
        self.pending_flushes: list[BufferedRequest] = []

    def add(self, request: BufferedRequest) -> None:
        """Adds a flush, with its volume and the number of the last write that it waits for."""
        self.pending_flushes.append(request)

    def answer_completed(self) -> None:
        """Answers the flushes that wait for nothing any more."""
        remaining = []
        for request in self.pending_flushes:
            if self._is_waiting(request) and not request.answered:
                remaining.append(request)
            else:
                self.on_flushed(request)
        self.pending_flushes = remaining

    def _is_waiting(self, request: BufferedRequest) -> bool:
        has_unconfirmed = any(
            pending.record.volume == request.volume and pending.record.number <= request.up_to
            for pending in self.committer.pending
            if isinstance(pending.record, Write)
        )
        return has_unconfirmed or self.committer.is_running or not self.dirty.is_clean(request.volume, request.up_to)
