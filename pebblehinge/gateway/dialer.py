"""Connecting to a storage node: one dial at a time, and how long it may take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock

MAX_DEADLINE_EXTENSIONS = 3
"""How often the time to connect is given again if this process was late itself."""

MIN_LATE_SHARE = 0.25
"""The part of the time to connect by which this process must be late for that."""


class Dialer:
    """Dials one address, and reports a dial that failed.

    Attributes:
        connecting: The dial that is under way.
        refusal: Why the last connection failed, where that is known.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        address: str,
        limits: LimitsBlock,
        make_peer: Callable[[], Peer],
        on_failure: Callable[[], None],
    ) -> None:
        """Connects peers that `make_peer` makes; `connect_failed` is called when a dial fails."""
        self.loop = loop
        self.clock = clock
        self.address = address
        self.limits = limits
        self.make_peer = make_peer
        self.on_failure = on_failure
        self.dial_task: asyncio.Task[None] | None = None
        self.failure_reason = ""
        self._deadline: asyncio.TimerHandle | None = None
        self._deadline_ms = 0.0
        self._extensions_left = 0

    def connect(self) -> None:
        """Begins a dial, if none is under way."""
        if self.dial_task is not None:
            return
        self.failure_reason = ""
        self.dial_task = self.loop.create_task(self._dial())
        self._extensions_left = MAX_DEADLINE_EXTENSIONS
        self._set_deadline()

    def close(self) -> None:
        """Cancels the dial that is under way."""
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self._deadline is not None:
            self._deadline.cancel()

    def on_connected(self) -> None:
        """The connection is established, its greeting is over."""
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        self.dial_task = None

    def fail(self, reason: str) -> None:
        """Ends the dial that is under way, if any."""
        task = self.dial_task
        if task is None:
            return
        self.on_connected()
        if not task.done():
            task.cancel()
        self.failure_reason = self.failure_reason or reason
        self.on_failure()

    def _set_deadline(self) -> None:
        self._deadline_ms = self.clock() + self.limits.connect
        self._deadline = self.loop.call_later(self.limits.connect / 1000.0, self._time_out)

    async def _dial(self) -> None:
        peer: Peer | None = None
        try:
            host, port = parse_address(self.address)
            _, peer = await self.loop.create_connection(self.make_peer, host, port)
        except (OSError, ValueError) as error:
            self.fail(str(error))
        except asyncio.CancelledError:
            if peer is not None:
                peer.abort()
            raise

    def _time_out(self) -> None:
        """No connection, or no greeting on it: a stopped process may well have its connections accepted.

        If this gateway itself was late (a burst of thousands, a stop by signal), the storage node had no fair chance to
        be heard: the time is given again, a few times.
        """
        loop_lag_ms = self.clock() - self._deadline_ms
        if loop_lag_ms > self.limits.connect * MIN_LATE_SHARE and self._extensions_left > 0:
            self._extensions_left -= 1
            self._set_deadline()
            return
        self.fail("no greeting in time")
