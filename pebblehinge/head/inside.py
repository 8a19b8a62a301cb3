"""Requests that a head makes itself: for rsync clients, and to bring confirmed writes to their shelfs."""

from __future__ import annotations

import asyncio

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.head.house import House

FINALS = ("honoured", "pushed back", "terminated")


class Answered:
    """How such a request ended."""

    __slots__ = ("final", "stay_ms", "reason", "data")

    def __init__(self, final: str, stay_ms: float, reason: str, data: bytes) -> None:
        self.final, self.stay_ms, self.reason, self.data = final, stay_ms, reason, data


class Inside:
    """To the head's core one more client. Its requests are taken while the head stops, too: what they belong to was let
    in before."""

    inside = True

    def __init__(self, server: House, client: str) -> None:
        self.server, self.client = server, client
        self.ids = 0
        self.waiting: dict[int, asyncio.Future[Answered]] = {}

    async def request(
        self,
        volume: str,
        *,
        op: int,
        extent: str,
        slot: int,
        profile: str,
        units: float,
        patience_ms: float,
        trace: str,
        again: bool,
        offset: int,
        length: int,
        data: bytes,
        label: str | None,
    ) -> Answered:
        """One request by the head's own core, like any client's. Called off, it is left."""
        server, future = self.server, self.server.loop.create_future()
        self.ids += 1
        id_ = self.ids
        self.waiting[id_] = future
        now = server.now = server.clock()
        server.note(now, "take", id=trace, client=self.client)
        pending = server.core.take(
            now,
            self,
            id_,
            trace,
            volume,
            None,
            profile,
            extent,
            slot,
            units,
            patience_ms,
            again,
            label,
            op,
            offset,
            length,
            data,
        )
        try:
            return await future
        except asyncio.CancelledError:
            self.waiting.pop(id_, None)
            if pending is not None and not pending.answered:
                server.now = server.clock()
                server.core.left(server.now, pending)
            raise

    def answered(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        future = self.waiting.pop(pending.id, None)
        if future is not None and not future.done():
            future.set_result(Answered(FINALS[final], stay_ms, reason, data))


__all__ = ["Answered", "Inside"]
