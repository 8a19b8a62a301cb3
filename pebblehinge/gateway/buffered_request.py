"""A client's request that the journal of a gateway answers."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebblehinge.core import FinalStatus


class BufferedOrigin(Protocol):
    """The connection that a buffered request came by."""

    def deliver_buffered_answer(
        self, id_: int, final: FinalStatus, retry_after_ms: float, reason: str, slot: int, data: bytes
    ) -> None:
        """Sends the final answer."""


class BufferedRequest:
    """One client's buffered write, barrier or flush, until it is answered.

    Attributes:
        conn: Where it came from.
        id: Its number there.
        slot: The placement slot that it named.
        trace: Names it in all logs.
        timer: Ends it when its client's patience is over.
        answered: Whether it has its final answer.
        volume: For a flush: the volume.
        up_to: For a flush: the number of the last write that it waits for.
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
