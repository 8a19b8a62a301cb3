"""The listening socket: how many clients are accepted, and what waits in its queue."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.context import Log
from pebblehinge.service.socket_state import is_readable

ACCEPTS_PER_TURN = 16
BACKLOG = 1024
RETRY_S = 0.02  # until accepting is tried again


class ListenerContext(Protocol):
    """What the listener needs of the gateway.

    Attributes:
        loop: The event loop.
        clock: Returns the time in ms.
        registry: Takes the connections.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    registry: ConnectionRegistry

    @property
    def log(self) -> Log:
        """Writes an event to the log."""


class Listener:
    """The listening socket of one gateway.

    Attributes:
        max_connections: Bound of the clients' connections.
        socket: None while closed.
        paused: Nothing is accepted for now: those that come wait in the listen queue.
    """

    def __init__(self, context: ListenerContext) -> None:
        self.context = context
        self.loop = context.loop
        self.max_connections = 0
        self.socket: socket.socket | None = None
        self.paused = False
        self.accepting: set[asyncio.Task[None]] = set()

    @property
    def is_open(self) -> bool:
        """Whether it listens."""
        return self.socket is not None

    def open(self, address: tuple[str, int]) -> None:
        """Listen on an address; raises OSError if that is not possible."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind(address)
        listening.listen(BACKLOG)
        self.socket = listening
        self.loop.add_reader(listening.fileno(), self._accept)

    def accept_waiting(self) -> bool:
        """Accept what waits in the queue; return whether anything did."""
        waiting = self.socket is not None and is_readable(self.socket.fileno())
        if waiting:
            self._accept()
        return waiting

    def close(self) -> None:
        """Listen no more."""
        if self.socket is not None:
            self._pause()
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        registry = self.context.registry
        for accepted in range(ACCEPTS_PER_TURN):
            if self.socket is None or (accepted and registry.count >= self.max_connections):
                return
            if registry.count >= self.max_connections and not registry.reclaim_one(self.context.clock()):
                self._pause()  # nothing is closed unanswered: clients wait in the queue until there is capacity
                return
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.context.log("accept failed", error=error)
                self._pause()
                return
            self._begin(sock)

    def _begin(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.context.registry.count += 1
        task = self.loop.create_task(self._connect(sock))
        self.accepting.add(task)
        task.add_done_callback(self.accepting.discard)

    async def _connect(self, sock: socket.socket) -> None:
        conn = ClientConnection(self.context.registry, sock)
        try:
            await self.loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            self.context.registry.uncount(conn)
            sock.close()

    def _pause(self) -> None:
        """Accept no more for RETRY_S."""
        if not self.paused and self.socket is not None:
            self.paused = True
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        self.paused = False
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self._accept)
