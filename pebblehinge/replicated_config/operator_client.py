"""The operator's way to the group: finds the leader, asks, and asks again where a leader went meanwhile."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from pebblehinge.net import Peer, dial
from pebblehinge.replicated_config.size_limits import FRAME
from pebblehinge.wire import Kind, Session


class _Wire(Peer):
    FRAMES = frozenset({Kind.TOLD})

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, Session("operator", "operator", FRAME, 64, greets=True), 5000.0)
        self.waiting: dict[int, asyncio.Future[tuple[bool, str, str]]] = {}
        self.tokens = itertools.count(1)

    def gone(self, exc: Exception | None) -> None:
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionError("the instance closed the connection"))

    def on_told(self, token: int, ok: bool, text: str, leader: str) -> None:
        future = self.waiting.pop(token, None)
        if future is not None and not future.done():
            future.set_result((ok, text, leader))

    async def ask(self, verb: str, values: dict[str, Any]) -> tuple[bool, str, str]:
        token = next(self.tokens)
        self.waiting[token] = self.loop.create_future()
        self.send(Kind.ASK, token, verb, values)
        return await self.waiting[token]


async def ask_one(
    loop: asyncio.AbstractEventLoop, address: str, verb: str, values: dict[str, Any], within_s: float = 3.0
) -> tuple[bool, str, str]:
    """One instance's answer; raises OSError or TimeoutError."""
    wire = _Wire(loop)
    async with asyncio.timeout(within_s):
        await dial(loop, wire, address)
        try:
            return await wire.ask(verb, values)
        finally:
            wire.close()


async def ask_group(
    loop: asyncio.AbstractEventLoop, addresses: list[str], verb: str, values: dict[str, Any], within_s: float = 10.0
) -> tuple[bool, str]:
    """The leader's answer. A proposal carries a session and serial, so that asking again applies it once."""
    until = loop.time() + within_s
    last = "no instance of the group can be reached"
    turn = itertools.cycle(addresses)
    address = next(turn)
    while loop.time() < until:
        try:
            ok, text, leader = await ask_one(loop, address, verb, values)
            again = not ok and any(said in text for said in ("ask whether it was done", "leads no more", "wait for it"))
            if not again and not (not ok and (leader or text == "no leader is known")):
                return ok, text
            last = text
            address = leader or next(turn)
        except (OSError, TimeoutError):
            address = next(turn)
        await asyncio.sleep(0.1)
    return False, last
