"""Where clients come in: the listening socket, how many are let in, and what waits in its queue."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from pebblehinge.service.clients import ClientConnection
from pebblehinge.service.door import Door
from pebblehinge.service.peek import readable

AT_ONCE = 16  # connections accepted in a turn
BACKLOG = 1024
AGAIN_S = 0.02  # until it is looked anew whether there is room


class Owner(Protocol):
    """What the listener needs of the head that owns it."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    door: Door

    def say(self, what: str, **facts: object) -> None: ...


class Listener:
    """The listening socket of one head."""

    def __init__(self, owner: Owner) -> None:
        self.owner, self.loop = owner, owner.loop
        self.most = 0  # clients' connections
        self.socket: socket.socket | None = None
        self.full = False  # no room for a further client: those that come wait in the listen queue
        self.accepting: set[asyncio.Task[None]] = set()

    @property
    def listens(self) -> bool:
        return self.socket is not None

    def open(self, address: tuple[str, int]) -> None:
        """Raises OSError where that can't be listened on."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind(address)
        listening.listen(BACKLOG)
        self.socket = listening
        self.loop.add_reader(listening.fileno(), self._accept)

    def take_in(self) -> bool:
        """What waits in the queue; returns whether anything did."""
        waits = self.socket is not None and readable(self.socket.fileno())
        if waits:
            self._accept()
        return waits

    def close(self) -> None:
        if self.socket is not None:
            self._deafen()
            self.socket.close()
            self.socket = None

    # ---- inside

    def _accept(self) -> None:
        door = self.owner.door
        for n in range(AT_ONCE):
            if self.socket is None or (n and door.count >= self.most):
                return
            if door.count >= self.most and not door.spare(self.owner.clock()):
                self._deafen()  # nothing is closed unanswered: it waits in the queue until there is room
                return
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.owner.say("can't accept", error=error)
                self._deafen()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            door.count += 1
            task = self.loop.create_task(self._begin(sock))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    def _deafen(self) -> None:
        """Accepts no more for now; a turn later it is tried again."""
        if not self.full and self.socket is not None:
            self.full = True
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(AGAIN_S, self._accept_again)

    def _accept_again(self) -> None:
        self.full = False
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self._accept)

    async def _begin(self, sock: socket.socket) -> None:
        conn = ClientConnection(self.owner.door, sock)
        try:
            await self.loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            self.owner.door.uncount(conn)
            sock.close()
