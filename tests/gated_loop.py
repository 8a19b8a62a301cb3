"""An event loop that holds back new connections until the test releases them."""

from __future__ import annotations

import asyncio
from typing import Any


class GatedLoop:
    """Wraps an event loop; a connection is returned only once `release_event` is set."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.release_event, self.dial_count = loop, asyncio.Event(), 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        self.dial_count += 1
        connection = await self.loop.create_connection(factory, host, port)
        try:
            await self.release_event.wait()
        except asyncio.CancelledError:  # The wrapped loop also closes the connection in this case.
            connection[0].abort()
            raise
        return connection
