"""Carries out what `sharing` grants: transfers wait here for their turns to use the fleet.

The loop and clock are handed in.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblehinge.rsync.sharing import Share, Sharing, Turn


class Turns:
    """Carries out what `Sharing` grants."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], sharing: Sharing) -> None:
        self.loop, self.clock, self.sharing = loop, clock, sharing
        self.timer: asyncio.TimerHandle | None = None

    async def turn(self, share: Share, units: float) -> Turn:
        future = self.loop.create_future()
        turn = self.sharing.ask(share, units, future)
        return await self._granted(turn)

    async def again(self, turn: Turn, wait_ms: float) -> Turn:
        await self.sleep(wait_ms)
        turn.what = self.loop.create_future()
        self.sharing.again(turn)
        return await self._granted(turn)

    async def _granted(self, turn: Turn) -> Turn:
        self.grant()
        try:
            await turn.what
        except asyncio.CancelledError:
            if turn.granted_ms >= 0 and turn.what.done() and not turn.what.cancelled():
                self.ended(turn, "left", 0.0)  # it was granted as its transfer ended: nothing went out
            elif turn in turn.transfer.waiting:
                turn.transfer.waiting.remove(turn)
            raise
        return turn

    def ended(self, turn: Turn, final: str, stay_ms: float) -> None:
        self.sharing.ended(self.clock(), turn, final, stay_ms)
        self.grant()

    def grant(self) -> None:
        now = self.clock()
        for turn in self.sharing.grants(now):
            if turn.what.cancelled():
                self.sharing.ended(now, turn, "left", 0.0)
            else:
                turn.what.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.sharing.wake_ms(now)
        if at < float("inf"):
            self.timer = self.loop.call_later(max(0.5, at - now) / 1000.0, self.grant)

    async def sleep(self, ms: float) -> None:
        if ms > 0:
            future = self.loop.create_future()
            handle = self.loop.call_later(ms / 1000.0, lambda: future.done() or future.set_result(None))
            try:
                await future
            finally:
                handle.cancel()
