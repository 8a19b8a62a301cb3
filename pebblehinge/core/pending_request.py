"""A request from its arrival until its last event, as the request table keeps it."""

from __future__ import annotations

import math
from typing import Any

from pebblehinge.decide import Request


class PendingRequest:
    """One request that this gateway has accepted. A front derives a class with what its attempts need.

    Attributes:
        key: Its number in the request table, counted from 1.
        conn: The front's connection to its client.
        id: The client's id of the request.
        request: The scheduler's handle, None until the request table has accepted the request.
        volume: Name of its volume.
        units: Size in units of work.
        data: The payload, empty once nothing more can be sent of it.
        came_ms: When it arrived, on the clock of the loop.
        answered: Whether it has its final answer, or its client is gone.
        attempt: What the front keeps of the attempt in flight, None where there is none.
        attempts: How many attempts were sent.
        shelf: Name of the storage node of the last attempt.
        sent_ms: When the last attempt was sent.
        begin_by_ms: Clock time past which the last attempt may not begin any more.
        attempt_ms: How long the last attempt took that ended with an outcome of its node.
    """

    __slots__ = (
        "key",
        "origin",
        "id",
        "handle",
        "volume",
        "units",
        "data",
        "arrived_ms",
        "answered",
        "attempt",
        "attempt_count",
        "node",
        "sent_ms",
        "begin_by_ms",
        "last_attempt_ms",
    )

    def __init__(self) -> None:
        self.key: int = 0
        self.origin: Any = None
        self.id: Any = 0
        self.handle: Request | None = None
        self.volume: str = ""
        self.units: float = 0.0
        self.data: bytes = b""
        self.arrived_ms: float = 0.0
        self.answered: bool = False
        self.attempt: Any = None
        self.attempt_count: int = 0
        self.node: str = ""
        self.sent_ms: float = 0.0
        self.begin_by_ms: float = math.inf
        self.last_attempt_ms: float = 0.0
