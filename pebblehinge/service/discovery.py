"""The watch of discovery's node list: a connection that is replaced when it ends, fails or becomes silent.

A gateway must know a change of the list within 6 s after discovery had the change and was reachable, whatever failed
before. Therefore all timeouts are short. In the worst case discovery never answers on a connection
(SILENCE_RECONNECT_S), the next one never opens (CONNECT_TIMEOUT_S), and the longest backoff precedes each; the sum,
`max_list_delay_s`, is well under 6 s.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.http1 import HttpError, ResponseStream, write_request
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.context import Log
from pebblehinge.service.departures import Departures
from pebblehinge.service.node_list import JsonObjectStream, NodeListUpdate

# Discovery sends an empty line every 2 s. After SILENCE_RECONNECT_S without bytes, another connection is opened; after
# SILENCE_CLOSE_S, the silent one is closed.
SILENCE_RECONNECT_S = 2.5
SILENCE_CLOSE_S = 5.0
CONNECT_TIMEOUT_S = 1.0
BACKOFF_RANGE_S = (0.05, 0.5)  # The first and the longest delay between attempts to connect; it doubles each time.
JITTER_RANGE = (0.5, 1.5)  # Each backoff is multiplied by a random factor from this range.
FAULT_LOG_INTERVAL_S = 5.0  # Minimum time between log lines about faults.
STREAM_TARGET = b"/registry/instances?stream=1"


def max_list_delay_s() -> float:
    """Returns the longest time from the moment at which discovery becomes reachable to a list, in seconds.

    In the worst case, a connection opened just before stays silent, the next one never opens, and the longest backoff
    precedes each.
    """
    return SILENCE_RECONNECT_S + CONNECT_TIMEOUT_S + 2 * BACKOFF_RANGE_S[1] * JITTER_RANGE[1]


class _WatchConnection(asyncio.Protocol):
    """One connection to discovery, on which one request asks for the stream of updates."""

    def __init__(self, watch: DiscoveryWatch, address: tuple[str, int]) -> None:
        self.watch = watch
        self.address = address
        self.transport: Any = None
        self.last_received_s = watch.loop.time()
        self.body_pieces: list[bytes] = []
        self.object_stream = JsonObjectStream()
        self.response_stream = ResponseStream(self.body_pieces.append)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.last_received_s = self.watch.loop.time()
        self.watch.add_connection(self)  # This precedes the first read, as the first list would be lost otherwise.
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
            is_complete = self.response_stream.next() is not None
            if self.response_stream.status not in (0, 200):
                raise HttpError(502, f"discovery answered with status {self.response_stream.status}")
            body = b"".join(self.body_pieces)
            self.body_pieces.clear()
            for text in self.object_stream.feed(body):
                self.watch.receive_object(self, text)
            if is_complete:
                self.transport.abort()
        except (HttpError, PlatformSettingsError) as error:
            self.watch.log_fault("invalid message from discovery", error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch.remove_connection(self)


class DiscoveryWatch:
    """Watches the node list, and resumes the watch after the last received version.

    An old connection stays open until a newer one has delivered an update, so that no update is lost in between.

    Attributes:
        resume_version: The version after which the watch is resumed; None requests the complete list.
        newest_version: The last received version, -1 before the first.
        departures: The nodes that discovery reported as leaving.
        connections: The open connections, the newest last.
        connect_task: Task that opens a connection, or None.
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
        """Opens the first connection."""
        self._connect_after(0.0)

    def change_address(self, address: tuple[str, int]) -> None:
        """Opens a connection to another address; does nothing if the address has not changed."""
        if address == self.address:
            return
        self.address = address
        self.backoff_s = BACKOFF_RANGE_S[0]
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        self._connect_after(0.0)

    def stop(self) -> None:
        """Closes all connections and opens no others."""
        self.is_stopped = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        for connection in self.connections:
            connection.transport.abort()

    def check_silence(self) -> None:
        """Opens another connection if the newest is silent, and closes one that stays silent; called periodically."""
        now = self.loop.time()
        for connection in list(self.connections):
            silent_s = now - connection.last_received_s
            if silent_s > SILENCE_CLOSE_S:
                connection.transport.abort()
            elif silent_s > SILENCE_RECONNECT_S and connection is self.connections[-1]:
                self._connect_after(0.0)

    # ---- calls by the connections

    def receive_object(self, connection: _WatchConnection, text: bytes) -> None:
        """Applies an update from a connection; raises an error if it is invalid or the list went back in version."""
        update = NodeListUpdate(text)
        if connection not in self.connections:
            return
        if update.version < self.newest_version:
            if connection is not self.connections[-1]:
                return  # A newer connection has already delivered a later version.
            if self.resume_version is not None:  # The complete list is requested next, and accepted at any version.
                self.resume_version = None
                raise HttpError(502, f"the node list went back from version {self.newest_version} to {update.version}")
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
        """Logs a fault, at most once per FAULT_LOG_INTERVAL_S."""
        if self.loop.time() - self.last_fault_log_s >= FAULT_LOG_INTERVAL_S:
            self.last_fault_log_s = self.loop.time()
            self.log(event, error=str(error)[:200])

    def add_connection(self, connection: _WatchConnection) -> None:
        """Adds a connection that has been established."""
        self.connections.append(connection)

    def remove_connection(self, connection: _WatchConnection) -> None:
        """Removes a connection that has ended; schedules a new one if it was the newest."""
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
        if connection not in self.connections:  # The connection has already ended.
            self._connect_after(self._next_backoff())

    async def _open_connection(self) -> _WatchConnection | None:
        """Returns a new connection to the current address, or None if it fails or exceeds CONNECT_TIMEOUT_S."""
        address = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(lambda: _WatchConnection(self, address), *address)
        except OSError:  # This includes TimeoutError.
            return None
        return connection
