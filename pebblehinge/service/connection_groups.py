"""The client connections as the parts that close or reclaim some of them see them."""

from __future__ import annotations

from typing import Protocol

from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.context import ServiceContext
from pebblehinge.service.memory_budget import MemoryBudget
from pebblehinge.service.reasons import ClientCloseReason, RefusalReason

Group = dict[ClientConnection, None]  # An ordered set: the connection that entered the group first comes first.


class ConnectionGroups(Protocol):
    """The part of `ConnectionRegistry` that they use, where each attribute is explained."""

    READ_TIMEOUT_MS: float
    UNREAD_GRACE_MS: float
    IDLE_TIMEOUT_MS: float
    CLOSE_TIMEOUT_MS: float
    STALL_TIMEOUT_MS: float
    MAX_PERSISTENT_FRACTION: float
    context: ServiceContext
    memory_budget: MemoryBudget
    incomplete_group: Group
    idle_group: Group
    active_group: Group
    closing_group: Group
    unwritten_group: Group
    unserved_count: int
    reclaimed_count: int
    is_draining: bool

    def charge(self, conn: ClientConnection) -> None:
        """Charges what a connection holds now to the memory budget."""

    def refuse_incomplete(
        self, conn: ClientConnection, refusal: RefusalReason, close_reason: ClientCloseReason
    ) -> None:
        """Refuses a request that is not complete, to free what it holds."""
