"""A stand-in shelf's registration: the connection by which the node list knows that it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pebblehinge.net import Peer
from pebblehinge.settings.schema import Config, ShelfBlock
from pebblehinge.storage_node.machine import Machine
from pebblehinge.wire import Kind, Session


class Shelf(Protocol):
    """What a registration tells of a shelf, and whom it tells that it stands or is gone."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: Config
    name: str
    block: ShelfBlock
    machine: Machine
    restarted: bool
    draining: bool
    register: Registration | None

    def register_lost(self, conn: Registration | None) -> None: ...


class Registration(Peer):
    """The connection that tells the listing that this process runs."""

    def __init__(self, shelf: Shelf, session: Session) -> None:
        super().__init__(shelf.loop, session, shelf.config.limits.stall)
        self.shelf = shelf

    def ready(self) -> None:
        s, block = self.shelf, self.shelf.block
        age = -1.0 if s.machine.warm_from < 0 and not s.restarted else s.clock() - s.machine.started_ms
        self.send(Kind.REGISTER, s.name, block.listen, block.slot, block.rack, age)
        if s.draining:
            self.send(Kind.STANDING, "draining")
        s.register = self

    def gone(self, exc: Exception | None) -> None:
        self.shelf.register_lost(self)
