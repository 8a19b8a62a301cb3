"""A client's request that the journal of a head answers."""

from __future__ import annotations

import asyncio
from typing import Any


class BufferedRequest:
    """One client's buffered write, barrier or flush, until it is answered."""

    __slots__ = ("conn", "id", "slot", "trace", "timer", "answered", "volume", "up_to")

    def __init__(self, conn: Any, id_: int, slot: int, trace: str) -> None:
        self.conn, self.id, self.slot, self.trace = conn, id_, slot, trace
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False
        self.volume, self.up_to = "", 0
