"""The lab's hand on a stand-in: one CONTROL frame, one answer."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from pebblehinge.net import Peer, parse_address
from pebblehinge.wire import Kind, Session


class ControlPeer(Peer):
    """A connection with the role that may bring troubles."""

    ACCEPTED_KINDS = frozenset({Kind.CONTROLLED})

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, Session("lab", "lab", 1 << 20, 64, dialed=True), 5000.0)
        self.waiting: dict[int, asyncio.Future[str]] = {}
        self.tokens = itertools.count(1)
        self.why = "closed"

    def on_rejection(self, reason: str) -> None:
        self.why = reason

    def on_disconnect(self, exc: Exception | None) -> None:
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionError(self.why))

    def on_controlled(self, token: int, said: str) -> None:
        future = self.waiting.pop(token, None)
        if future is not None and not future.done():
            future.set_result(said)

    async def do(self, verb: str, values: dict[str, Any]) -> str:
        token = next(self.tokens)
        self.waiting[token] = self.loop.create_future()
        self.send(Kind.CONTROL, token, verb, values)
        return await self.waiting[token]


async def control(address: str, verb: str, values: dict[str, Any], loop: asyncio.AbstractEventLoop) -> str:
    """Has a stand-in do something; raises OSError where it can't be reached within two seconds."""
    host, port = parse_address(address)
    async with asyncio.timeout(2.0):
        _, hand = await loop.create_connection(lambda: ControlPeer(loop), host, port)
        try:
            return await hand.do(verb, values)
        finally:
            hand.close()
