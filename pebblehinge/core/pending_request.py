"""The record of a request that the request table keeps, from its arrival until its last event."""

from __future__ import annotations

import math
from typing import Any

from pebblehinge.decide import Request


class PendingRequest:
    """One request that this gateway has accepted. A frontend derives a class with the data that its attempts need.

    Attributes:
        key: Number of the request in the request table, counted from 1.
        origin: The object of the frontend that sent the request and receives its answer, such as a connection.
        id: The client's id of the request.
        handle: The scheduler's handle, None until the request table has accepted the request.
        volume: Name of the request's volume.
        units: Cost of the request in units.
        data: The payload, empty once it can't be sent any more.
        arrived_ms: Clock time at which the request arrived.
        answered: Whether the request has its final answer, or its client is gone.
        attempt: The frontend's record of the attempt in flight, or None.
        attempt_count: Number of attempts sent.
        node: Name of the storage node of the last attempt.
        sent_ms: Clock time at which the last attempt was sent.
        begin_by_ms: Clock time after which the last attempt must not begin.
        last_attempt_ms: Duration of the last attempt whose outcome the frontend reported.
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
