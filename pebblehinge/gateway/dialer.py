"""The dialer of a link to a storage node, which makes one connection attempt at a time, with a deadline."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock

MAX_DEADLINE_EXTENSIONS = 3
"""How often the deadline of a dial is extended because the event loop of this process was late."""

MIN_LATE_SHARE = 0.25
"""The least lateness of the event loop that extends the deadline, as a share of the connect timeout."""


class Dialer:
    """Dials one address, and reports a failed dial.

    Attributes:
        dial_task: The task of the dial in progress, None for none.
        failure_reason: Why the last connection or dial failed, empty if unknown.
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
        """Creates a dialer.

        Args:
            loop: The event loop.
            clock: Returns the clock time in milliseconds.
            address: The address to dial, host:port.
            limits: Settings that include the connect timeout.
            make_peer: Creates the peer of a new connection.
            on_failure: Called when a dial has failed.
        """
        self.loop = loop
        self.clock = clock
        self.address = address
        self.limits = limits
        self.make_peer = make_peer
        self.on_failure = on_failure
        self.dial_task: asyncio.Task[None] | None = None
        self.failure_reason = ""
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._deadline_ms = 0.0
        self._extensions_left = 0

    def connect(self) -> None:
        """Starts a dial unless one is in progress."""
        if self.dial_task is not None:
            return
        self.failure_reason = ""
        self.dial_task = self.loop.create_task(self._dial())
        self._extensions_left = MAX_DEADLINE_EXTENSIONS
        self._set_deadline()

    def close(self) -> None:
        """Cancels the dial in progress, if any."""
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def on_connected(self) -> None:
        """Ends the dial, as its connection is established and the greeting is complete."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self.dial_task = None

    def fail(self, reason: str) -> None:
        """Ends the dial in progress, if any, as failed; an earlier `failure_reason` of this dial is kept."""
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
        self._deadline_timer = self.loop.call_later(self.limits.connect / 1000.0, self._time_out)

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
        """Fails a dial without a connection, or without a greeting on it, at its deadline.

        The greeting is required because the kernel accepts connections for a process that is stopped. If this gateway
        was late itself (a burst of thousands of connections, a stop by a signal), an answer of the storage node may
        not have been read yet, so the deadline is extended a few times.
        """
        loop_lag_ms = self.clock() - self._deadline_ms
        if loop_lag_ms > self.limits.connect * MIN_LATE_SHARE and self._extensions_left > 0:
            self._extensions_left -= 1
            self._set_deadline()
            return
        self.fail("no greeting in time")
