"""Flush requests of buffered volumes, which are answered once all writes before them are written back."""

from __future__ import annotations

from collections.abc import Callable

from pebblehinge.gateway.buffered_request import BufferedRequest
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.records import Write


class FlushRequests:
    """The flush requests that are not answered yet."""

    def __init__(self, committer: Committer, dirty: DirtyWrites, on_flushed: Callable[[BufferedRequest], None]) -> None:
        """Creates an empty collection.

        Args:
            committer: The committer of the journal.
            dirty: The dirty writes.
            on_flushed: Called for a flush once all writes that it waits for are written back.
        """
        self.committer = committer
        self.dirty = dirty
        self.on_flushed = on_flushed
        self.pending_flushes: list[BufferedRequest] = []

    def add(self, request: BufferedRequest) -> None:
        """Adds a flush request, whose `volume` and `up_to` must be set."""
        self.pending_flushes.append(request)

    def answer_completed(self) -> None:
        """Removes the flushes that wait for no write any more or are answered, and calls `on_flushed` for them."""
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
