"""The record of an attempt that is in flight to a storage node."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.reasons import NodeCloseReason


class AttemptConnection(Protocol):
    """The connection on which an attempt is sent.

    Attributes:
        attempt: The attempt in flight on the connection, or None.
    """

    attempt: NodeAttempt | None

    def abort(self, reason: NodeCloseReason) -> None:
        """Closes the connection at once."""


class NodeAttempt:
    """An attempt in flight; its times are clock times in milliseconds.

    Attributes:
        pending: The request.
        number: Number of the attempt within the request, counted from 0.
        node: The `StorageNode` to which the attempt is sent.
        deadline_ms: Time at which the attempt times out.
        begin_by_ms: Time by which its last byte must be sent; if it is not, the attempt ends as `NOT_SENT`.
        conn: The connection on which the attempt is sent, or None before that.
        deadline_timer: Timer of the deadline, None once the attempt has ended.
        connect_task: Task that opens a connection for the attempt, or None.
        start_ms: Time at which the attempt started.
        is_written: Whether its last byte has been passed to the kernel.
    """

    __slots__ = (
        "pending",
        "number",
        "node",
        "deadline_ms",
        "begin_by_ms",
        "conn",
        "deadline_timer",
        "connect_task",
        "start_ms",
        "is_written",
    )

    def __init__(self, pending: ClientRequest, number: int, node: Any, deadline_ms: float, now: float) -> None:
        self.pending = pending
        self.number = number
        self.node = node
        self.deadline_ms = deadline_ms
        self.start_ms = now
        self.begin_by_ms = pending.begin_by_ms
        self.conn: AttemptConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.is_written = False
