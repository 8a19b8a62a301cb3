"""A client's request that is answered from the gateway's journal instead of a storage node."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebblehinge.core import FinalStatus


class BufferedOrigin(Protocol):
    """The client connection that a buffered request was received on."""

    def deliver_buffered_answer(
        self, id_: int, final: FinalStatus, retry_after_ms: float, reason: str, slot: int, data: bytes
    ) -> None:
        """Sends the final answer to the request with this number."""


class BufferedRequest:
    """A read, write, barrier or flush of a buffered volume, until it is answered.

    Attributes:
        origin: The connection that receives the answer.
        id: Number of the request, unique among the open ones of its origin.
        slot: Slot of placement that the request named.
        trace_id: Identifies the request in records.
        timer: Fails the request when its client's time limit has passed.
        answered: Whether the request has its final answer.
        volume: Name of the volume, set for a flush only.
        up_to: Number of the last write that a flush waits for.
    """

    __slots__ = ("origin", "id", "slot", "trace_id", "timer", "answered", "volume", "up_to")

    def __init__(self, origin: BufferedOrigin, id_: int, slot: int, trace_id: str) -> None:
        self.origin = origin
        self.id = id_
        self.slot = slot
        self.trace_id = trace_id
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False
        self.volume = ""
        self.up_to = 0
