"""Ends client connections to free descriptors or memory, those of which it costs sound clients the least first."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.connection_groups import ConnectionGroups
from pebblehinge.service.reasons import ClientCloseReason, RefusalReason

CLOSING_RECLAIM_MS = 20.0  # A connection that has been closing for this time is the first to be reclaimed.
INCOMPLETE_RECLAIM_MS = 100.0  # One without a complete request for this time comes next.
IDLE_RECLAIM_MS = 1000.0  # One that has been idle for this time comes after that,
YOUNG_RECLAIM_MS = 50.0  # then one without a complete request for this time, then any idle or incomplete one.
INCOMPLETE_REFUSE_MS = 50.0  # To free memory, incomplete requests of this age are refused before younger ones.
UNREAD_RECLAIM_MS = 300.0  # To free memory, answers are dropped of which the client has read nothing for this time.
MIN_RECLAIM_BYTES = 1024  # Connections that hold less free too little memory to be ended for it.
MAX_EXAMINED = 32  # Connections of a group that are looked at for one that can be aborted.
MAX_REFUSED_AT_ONCE = 32
PASS_INTERVAL_MS = 10.0  # Time between passes over all connections that free too little memory.
FREED_SHARE = 0.1  # Of the budget: freed beyond what is needed, as choosing whom to end takes time.


class ConnectionReclaimer:
    """Chooses the connections to end; the registry's groups are ordered by the time since which they are in them.

    Attributes:
        next_pass_ms: Clock time before which memory is not looked for among all connections again.
    """

    def __init__(self, registry: ConnectionGroups) -> None:
        self.registry = registry
        self.next_pass_ms = 0.0

    # ---- descriptors

    def free_descriptor(self, now: float) -> bool:
        """Aborts one connection without an open request to make room for another; returns whether there was one.

        Closing connections come first, then those without a complete request for a while, then the longest idle.
        """
        registry = self.registry
        preferences = (
            (registry.closing_group, CLOSING_RECLAIM_MS),
            (registry.incomplete_group, INCOMPLETE_RECLAIM_MS),
            (registry.idle_group, IDLE_RECLAIM_MS),
            (registry.incomplete_group, YOUNG_RECLAIM_MS),
            (registry.idle_group, 0.0),
            (registry.incomplete_group, 0.0),
        )
        for group, min_age_ms in preferences:
            for conn in itertools.islice(group, MAX_EXAMINED):
                if now - conn.timeout_start_ms < min_age_ms:
                    break
                if conn.transport.get_write_buffer_size() or not (conn.output_ended or not conn.has_unread_data()):
                    continue
                registry.unserved_count += group is registry.incomplete_group
                registry.reclaimed_count += 1
                conn.abort(ClientCloseReason.DESCRIPTORS)
                return True
        for conn in self._leaving_answers_unread(now):
            if conn.pending is None:
                conn.abort(ClientCloseReason.DESCRIPTORS)
                return True
        self._refuse_oldest_incomplete(now)
        return False

    def _refuse_oldest_incomplete(self, now: float) -> None:
        """Refuses requests that go on arriving for a while; their connections can be reclaimed soon after."""
        for conn in list(itertools.islice(self.registry.incomplete_group, MAX_REFUSED_AT_ONCE)):
            if now - conn.timeout_start_ms < INCOMPLETE_RECLAIM_MS:
                return
            self.registry.refuse_incomplete(conn, RefusalReason.DESCRIPTORS, ClientCloseReason.DESCRIPTORS)

    # ---- memory

    def free_memory(self, now: float, reader: ClientConnection | None) -> None:
        """Ends what bad clients hold until the budget is kept, if it is exceeded.

        Incomplete requests are refused first, the largest of those that are not quite new, then bytes that were sent
        ahead of an answer are dropped, then answers that are not read. For a while after that was not enough, only
        `reader`, the connection that has just read more, gives way.
        """
        if now < self.next_pass_ms:
            if reader is not None:
                self._give_way(reader)
            return
        self._free(now)
        if self.registry.memory_budget.is_exceeded:
            self.next_pass_ms = now + PASS_INTERVAL_MS

    def _give_way(self, conn: ClientConnection) -> None:
        if conn.group is self.registry.incomplete_group and conn.memory.held_bytes > MIN_RECLAIM_BYTES:
            self.registry.refuse_incomplete(conn, RefusalReason.MEMORY, ClientCloseReason.MEMORY)
        elif conn.is_sent_ahead and len(conn.input.parser.buffer) > MIN_RECLAIM_BYTES:
            self._drop_sent_ahead(conn)

    def _drop_sent_ahead(self, conn: ClientConnection) -> None:
        conn.input.drop_sent_ahead()
        self.registry.charge(conn)

    def _free(self, now: float) -> None:
        budget = self.registry.memory_budget
        target_bytes = (1.0 - FREED_SHARE) * budget.budget_bytes
        for conn in self._incomplete(now):
            if budget.held_bytes <= target_bytes:
                return
            self.registry.refuse_incomplete(conn, RefusalReason.MEMORY, ClientCloseReason.MEMORY)
        for conn in self._sending_ahead():
            if budget.held_bytes <= target_bytes:
                return
            self._drop_sent_ahead(conn)
        for conn in self._leaving_answers_unread(now):
            if budget.held_bytes <= target_bytes:
                return
            conn.abort(ClientCloseReason.MEMORY_UNREAD)

    def _incomplete(self, now: float) -> Iterator[ClientConnection]:
        """Yields connections with an incomplete request: older ones, then younger ones, the largest first in both."""
        large = [conn for conn in self.registry.incomplete_group if conn.memory.held_bytes > MIN_RECLAIM_BYTES]
        large.sort(key=lambda conn: (now - conn.timeout_start_ms < INCOMPLETE_REFUSE_MS, -conn.memory.held_bytes))
        return iter(large)

    def _sending_ahead(self) -> Iterator[ClientConnection]:
        """Yields connections with many bytes that wait for an answer to an earlier request, the largest first."""
        groups = (self.registry.active_group, self.registry.idle_group)
        large = [conn for group in groups for conn in group if len(conn.input.parser.buffer) > MIN_RECLAIM_BYTES]
        large.sort(key=lambda conn: -len(conn.input.parser.buffer))
        return (conn for conn in large if conn.is_sent_ahead)

    def _leaving_answers_unread(self, now: float) -> Iterator[ClientConnection]:
        """Yields connections whose client has read nothing of its answers for a while, the largest first."""
        for conn in list(self.registry.unwritten_group):
            self.registry.charge(conn)
        stalled = [
            conn for conn in self.registry.unwritten_group if now - conn.memory.write_progress_ms > UNREAD_RECLAIM_MS
        ]
        stalled.sort(key=lambda conn: -conn.memory.unwritten_bytes)
        return iter(stalled)
