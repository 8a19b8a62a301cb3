"""The watch of discovery's node list: a connection that is made anew when it ends, fails or falls silent.

A change counts as notified 6 s after discovery had it and could be reached, whatever failed before. So every wait is
short: the longest way from there to a list is a connection that discovery never answered on (SILENCE_RECONNECT_S), the
longest backoff and a connection that never came up (CONNECT_TIMEOUT_S), and together they are well under 6 s
(`max_list_delay_s`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.http1 import HttpError, ResponseStream, write_request
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.context import Log
from pebblehinge.service.departures import Departures
from pebblehinge.service.node_list import JsonObjectStream, NodeListUpdate

SILENCE_RECONNECT_S = 2.5  # an empty line arrives every 2 s: after this without one, a further connection is opened ...
SILENCE_CLOSE_S = 5.0  # ... and after this the silent one is closed
CONNECT_TIMEOUT_S = 1.0
BACKOFF_RANGE_S = (0.05, 0.5)  # between attempts to connect: the first, doubled each time, and the longest
JITTER_RANGE = (0.5, 1.5)  # each backoff is multiplied by a factor drawn from this range
FAULT_LOG_INTERVAL_S = 5.0  # between log lines of faults
STREAM_TARGET = b"/registry/instances?stream=1"


def max_list_delay_s() -> float:
    """Return the longest time from discovery's being reachable to a list, in seconds.

    On a connection made just before nothing ever comes, the next never comes up, and there is a backoff before each.
    """
    return SILENCE_RECONNECT_S + CONNECT_TIMEOUT_S + 2 * BACKOFF_RANGE_S[1] * JITTER_RANGE[1]


class _WatchConnection(asyncio.Protocol):
    """One connection to discovery, with one request for the stream of updates."""

    def __init__(self, watch: DiscoveryWatch, address: tuple[str, int]) -> None:
        self.watch = watch
        self.address = address
        self.transport: Any = None
        self.last_received_s = watch.loop.time()  # when bytes came last
        self.body_pieces: list[bytes] = []
        self.object_stream = JsonObjectStream()
        self.response_stream = ResponseStream(self.body_pieces.append)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.last_received_s = self.watch.loop.time()
        self.watch.add_connection(self)  # before anything can be read: a first list would be lost otherwise
        target = STREAM_TARGET
        if self.watch.resume_version is not None:
            target += b"&index=%d" % self.watch.resume_version
        host = f"{self.address[0]}:{self.address[1]}".encode()
        transport.write(write_request(b"GET", target, [(b"Host", host)], b"") + b"\r\n")

    def data_received(self, data: bytes) -> None:
        self.last_received_s = self.watch.loop.time()
        if self.transport.is_closing():
            return
        try:
            self.response_stream.feed(data)
            ended = self.response_stream.next() is not None
            if self.response_stream.status not in (0, 200):
                raise HttpError(502, f"discovery answers {self.response_stream.status}")
            raw = b"".join(self.body_pieces)
            self.body_pieces.clear()
            for value in self.object_stream.feed(raw):
                self.watch.receive_object(self, value)
            if ended:
                self.transport.abort()
        except (HttpError, PlatformSettingsError, msgspec.DecodeError, UnicodeDecodeError) as error:
            self.watch.log_fault("invalid message from discovery", error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch.remove_connection(self)


class DiscoveryWatch:
    """Keeps one watch open, from the last version received on.

    An old connection is kept until a new one has delivered an update, so that none is lost between them.

    Attributes:
        version: The watch is resumed from it; None asks for the complete list.
        newest: The last version received, -1 before the first.
        departures: Nodes that were reported to leave.
        connections: Open connections, the newest last.
        connecting: Makes a connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        rng: random.Random,
        on_update: Callable[[NodeListUpdate], None],
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = address
        self.rng = rng
        self.on_update = on_update
        self.log = log
        self.resume_version: int | None = None
        self.newest_version = -1
        self.departures = Departures()
        self.connections: list[_WatchConnection] = []
        self.connect_task: asyncio.Task[None] | None = None
        self.is_stopped = False
        self.backoff_s = BACKOFF_RANGE_S[0]
        self.last_fault_log_s = -FAULT_LOG_INTERVAL_S

    def start(self) -> None:
        """Connect."""
        self._connect_after(0.0)

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address, if it is another."""
        if address == self.address:
            return
        self.address = address
        self.backoff_s = BACKOFF_RANGE_S[0]
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        self._connect_after(0.0)

    def stop(self) -> None:
        """Close all connections for good."""
        self.is_stopped = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        for connection in self.connections:
            connection.transport.abort()

    def check_silence(self) -> None:
        """Open a further connection beside a silent one, and close that one later; called now and then."""
        now = self.loop.time()
        for connection in list(self.connections):
            silent_s = now - connection.last_received_s
            if silent_s > SILENCE_CLOSE_S:
                connection.transport.abort()
            elif silent_s > SILENCE_RECONNECT_S and connection is self.connections[-1]:
                self._connect_after(0.0)

    # ---- called by connections

    def receive_object(self, connection: _WatchConnection, value: Any) -> None:
        """Take an object from a connection; raises if it is no update or the list goes back."""
        update = NodeListUpdate(value)
        if connection not in self.connections:
            return
        if update.version < self.newest_version:
            if connection is not self.connections[-1]:
                return  # the newer connection has delivered more
            if self.resume_version is not None:  # the complete list is asked for, and then counts
                self.resume_version = None
                raise HttpError(502, f"the list goes back from version {self.newest_version} to {update.version}")
        self.departures.apply(update)
        self.backoff_s = BACKOFF_RANGE_S[0]
        for older in self.connections[: self.connections.index(connection)]:
            older.transport.abort()
        if update.entry_errors:
            self.log_fault(f"{len(update.entry_errors)} invalid entries in the node list", update.entry_errors[0])
        self.resume_version = update.version
        self.newest_version = update.version
        self.on_update(update)

    def log_fault(self, event: str, error: object) -> None:
        """Log a fault, at most one each FAULT_LOG_INTERVAL_S."""
        if self.loop.time() - self.last_fault_log_s >= FAULT_LOG_INTERVAL_S:
            self.last_fault_log_s = self.loop.time()
            self.log(event, error=str(error)[:200])

    def add_connection(self, connection: _WatchConnection) -> None:
        """Take in a connection that has come up."""
        self.connections.append(connection)

    def remove_connection(self, connection: _WatchConnection) -> None:
        """Forget a connection that has ended; the newest is made anew."""
        if connection in self.connections:
            was_newest = connection is self.connections[-1]
            self.connections.remove(connection)
            if was_newest:
                self._connect_after(self._next_backoff())

    # ---- connecting

    def _next_backoff(self) -> float:
        backoff_s = self.backoff_s * self.rng.uniform(*JITTER_RANGE)
        self.backoff_s = min(BACKOFF_RANGE_S[1], self.backoff_s * 2)
        return backoff_s

    def _connect_after(self, delay_s: float) -> None:
        if not self.is_stopped and self.connect_task is None:
            self.connect_task = self.loop.create_task(self._connect(delay_s))

    async def _connect(self, delay_s: float) -> None:
        while True:
            await asyncio.sleep(delay_s)
            connection = await self._open_connection()
            if connection is not None:
                break
            delay_s = self._next_backoff()
        self.connect_task = None
        if connection not in self.connections:  # it has ended already
            self._connect_after(self._next_backoff())

    async def _open_connection(self) -> _WatchConnection | None:
        """Return a connection to the present address, or None if it does not come up in time."""
        address = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(lambda: _WatchConnection(self, address), *address)
        except OSError:  # a time-out is one of these
            return None
        return connection
