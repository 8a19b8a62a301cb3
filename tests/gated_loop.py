"""A loop whose connections are handed over only when a test lets them, and settings for the orders that it forces."""

from __future__ import annotations

import asyncio
from typing import Any


class GatedLoop:
    """Stands before a loop: a connection that has come up waits here until the gate opens."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.release_event, self.dial_count = loop, asyncio.Event(), 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        self.dial_count += 1
        made = await self.loop.create_connection(factory, host, port)
        try:
            await self.release_event.wait()
        except asyncio.CancelledError:  # as the loop itself does
            made[0].abort()
            raise
        return made
