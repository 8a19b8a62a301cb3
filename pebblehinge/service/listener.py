"""The listening socket: accepts client connections up to a limit and leaves the others in the listen queue."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.context import Log
from pebblehinge.service.socket_state import is_readable

MAX_ACCEPTS_PER_ITERATION = 32
MIN_RECLAIMS_PER_ITERATION = 8  # The descriptors of reclaimed connections are closed after the iteration.
BACKLOG = 1024
ACCEPT_RETRY_INTERVAL_S = 0.01


class ListenerContext(Protocol):
    """The parts of the gateway that the listener uses.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        registry: The registry of client connections.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    registry: ConnectionRegistry

    @property
    def spare_descriptors(self) -> int:
        """Descriptors for connections to storage nodes that are not in use."""

    @property
    def log(self) -> Log:
        """The function that writes an event to the log."""


class Listener:
    """The listening socket of one gateway.

    Attributes:
        max_connections: Maximum number of client connections.
        socket: The listening socket, or None while closed.
        accept_paused: Whether accepting is paused; new connections then wait in the listen queue.
        accept_tasks: Tasks that create the transports of accepted connections.
    """

    def __init__(self, context: ListenerContext) -> None:
        self.context = context
        self.loop = context.loop
        self.max_connections = 0
        self.socket: socket.socket | None = None
        self.accept_paused = False
        self.accept_tasks: set[asyncio.Task[None]] = set()

    @property
    def is_open(self) -> bool:
        """Whether the socket is listening."""
        return self.socket is not None

    def open(self, address: tuple[str, int]) -> None:
        """Listens on an address; raises OSError if that fails."""
        listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.setblocking(False)
        listening_socket.bind(address)
        listening_socket.listen(BACKLOG)
        self.socket = listening_socket
        self.loop.add_reader(listening_socket.fileno(), self._accept)

    def accept_queued_connections(self) -> bool:
        """Accepts connections that wait in the listen queue; returns whether there were any."""
        has_queued = self.socket is not None and is_readable(self.socket.fileno())
        if has_queued:
            self._accept()
        return has_queued

    def close(self) -> None:
        """Closes the listening socket."""
        if self.socket is not None:
            self._pause()
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        reclaim_count = 0
        max_reclaims = MIN_RECLAIMS_PER_ITERATION + self.context.spare_descriptors // 2
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self.socket is None:
                return
            if self.context.registry.connection_count >= self.max_connections:
                if reclaim_count >= max_reclaims or not is_readable(self.socket.fileno()):
                    return
                if not self.context.registry.free_descriptor(self.context.clock()):
                    self._pause()  # Clients wait in the listen queue until there is room: none is closed unanswered.
                    return
                reclaim_count += 1
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.context.log("accept failed", error=error)
                self._pause()
                return
            self._set_up_connection(sock)

    def _set_up_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.context.registry.connection_count += 1
        task = self.loop.create_task(self._create_connection(sock))
        self.accept_tasks.add(task)
        task.add_done_callback(self.accept_tasks.discard)

    async def _create_connection(self, sock: socket.socket) -> None:
        conn = ClientConnection(self.context.registry, sock)
        try:
            await self.loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            self.context.registry.stop_counting(conn)
            sock.close()

    def _pause(self) -> None:
        """Stops accepting connections for ACCEPT_RETRY_INTERVAL_S."""
        if not self.accept_paused and self.socket is not None:
            self.accept_paused = True
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        self.accept_paused = False
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self._accept)
