"""Connecting to a shelf: one attempt at a time, and how long it may take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock

EXTRA = 3  # how often the time to connect is given again where this process was late itself


class Dialer:
    """`peer()` makes the connection's protocol; `not connected()` is called where an attempt fails."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        address: str,
        limits: LimitsBlock,
        peer: Callable[[], Peer],
        connect_failed: Callable[[], None],
    ) -> None:
        self.loop, self.clock, self.address, self.limits = loop, clock, address, limits
        self.peer, self.connect_failed = peer, connect_failed
        self.connecting: asyncio.Task | None = None
        self.deadline: asyncio.TimerHandle | None = None
        self.refusal, self.patience, self.deadline_ms = "", 0, 0.0

    def connect(self) -> None:
        if self.connecting is not None:
            return
        self.refusal = ""
        self.connecting = self.loop.create_task(self._try())
        self.patience = EXTRA
        self._allow()

    def close(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        if self.deadline is not None:
            self.deadline.cancel()

    def _allow(self) -> None:
        self.deadline_ms = self.clock() + self.limits.connect
        self.deadline = self.loop.call_later(self.limits.connect / 1000.0, self._too_long)

    async def _try(self) -> None:
        peer = None
        try:
            host, port = parse_address(self.address)
            _, peer = await self.loop.create_connection(self.peer, host, port)
        except (OSError, ValueError) as error:
            self.fail(str(error))
        except asyncio.CancelledError:
            if peer is not None:
                peer.abort()
            raise

    def _too_long(self) -> None:
        """No connection, or no greeting on it: a stopped process may well have its connections accepted.

        Where this head itself was late (a burst of thousands, a stop by signal), the shelf had no fair chance
        to be heard: the time is given again, a few times."""
        if self.clock() - self.deadline_ms > self.limits.connect / 4 and self.patience > 0:
            self.patience -= 1
            self._allow()
            return
        self.fail("no greeting in time")

    def connected(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        self.connecting = None

    def fail(self, why: str) -> None:
        """Ends the attempt that is under way, if any."""
        task = self.connecting
        if task is None:
            return
        self.connected()
        if not task.done():
            task.cancel()
        self.refusal = self.refusal or why
        self.connect_failed()
