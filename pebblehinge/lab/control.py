"""Control client of the laboratory: sends a stand-in one CONTROL frame and awaits its response."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from pebblehinge.net import Peer, parse_address
from pebblehinge.wire import Kind, Session


class ControlPeer(Peer):
    """A connection in the role `lab`, which may inject faults."""

    ACCEPTED_KINDS = frozenset({Kind.CONTROLLED})

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, Session("lab", "lab", 1 << 20, 64, dialed=True), 5000.0)
        self.pending: dict[int, asyncio.Future[str]] = {}
        self.tokens = itertools.count(1)
        self.close_reason = "closed"

    def on_rejection(self, reason: str) -> None:
        self.close_reason = reason

    def on_disconnect(self, exc: Exception | None) -> None:
        for future in self.pending.values():
            if not future.done():
                future.set_exception(ConnectionError(self.close_reason))

    def on_controlled(self, token: int, response: str) -> None:
        future = self.pending.pop(token, None)
        if future is not None and not future.done():
            future.set_result(response)

    async def request(self, verb: str, values: dict[str, Any]) -> str:
        token = next(self.tokens)
        self.pending[token] = self.loop.create_future()
        self.send(Kind.CONTROL, token, verb, values)
        return await self.pending[token]


async def control(address: str, verb: str, values: dict[str, Any], loop: asyncio.AbstractEventLoop) -> str:
    """Sends a control command to a stand-in and returns its response.

    Raises:
        OSError: The stand-in can't be reached within two seconds.
    """
    host, port = parse_address(address)
    async with asyncio.timeout(2.0):
        _, peer = await loop.create_connection(lambda: ControlPeer(loop), host, port)
        try:
            return await peer.request(verb, values)
        finally:
            peer.close()
