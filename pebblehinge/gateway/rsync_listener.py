"""The door for rsync clients: listens, ends them with the head, and makes every block a request of the head."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.internal_client import InternalClient
from pebblehinge.gateway.rsync_session import RsyncSession
from pebblehinge.net import parse_address
from pebblehinge.rsync.module_store import Place
from pebblehinge.rsync.sharing import Keeping, Sharing
from pebblehinge.rsync.turns import Turns
from pebblehinge.settings.schema import Config

LOOK_MS = 100.0  # how often the head's own lateness is looked at


class RsyncListener:
    """All rsync clients of one head."""

    def __init__(self, server: GatewayContext) -> None:
        self.server, self.loop, self.clock, self.log = server, server.loop, server.clock, server.log
        self.config: Config = server.config
        block = self.config.rsync
        self.rng = random.Random(f"{server.block.seed}/{server.name}/door")
        self.sharing = Sharing(block.accesses, block.each)
        self.turns = Turns(self.loop, self.clock, self.sharing)
        self.keeping = Keeping(block.parts, block.parts_for)
        self.places: dict[str, Place] = {}
        self.guests: dict[RsyncSession, None] = {}
        self.inside = InternalClient(server, "rsync")
        self.transfers = 0
        self.counts = {"completed": 0, "failed": 0, "refused": 0, "saves": 0}
        self.stopping = False
        self.late_ms = 0.0
        self.listener: Any = None
        self.look: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        assert self.server.block.rsync is not None
        host, port = parse_address(self.server.block.rsync)
        self.listener = await self.loop.create_server(lambda: RsyncSession(self), host, port, backlog=1024)
        self._look(self.loop.time())

    def adopt(self, config: Config) -> None:
        """New settings: transfers under way go on by the ones that they began with."""
        self.config = config
        for name in [n for n in self.places if n not in config.module]:
            del self.places[name]
        for name, place in self.places.items():
            place.block, place.slots = config.module[name], config.volume[config.module[name].volume].slots

    def stop(self) -> None:
        """No new client; those who are here have a while to end."""
        self.stopping = True
        self.listener.close()
        self.loop.call_later(self.config.rsync.stop / 1000.0, self._end_all)
        for guest in list(self.guests):
            if not guest.told.module:
                guest.close()

    def _end_all(self) -> None:
        for guest in list(self.guests):
            guest.turn_out("this head is stopping: come again, another one takes new transfers")

    def close(self) -> None:
        for handle in (self.look, self.turns.timer):
            if handle is not None:
                handle.cancel()
        for guest in list(self.guests):
            guest.abort()

    def _look(self, expected: float) -> None:
        """How late the loop is: a timer that fires late says how long all else waits, too."""
        late = max(0.0, (self.loop.time() - expected) * 1000.0)
        self.late_ms = max(late, self.late_ms * 0.8)
        at = self.loop.time() + LOOK_MS / 1000.0
        self.look = self.loop.call_at(at, self._look, at)

    # ---- requests

    def place(self, name: str) -> Place:
        place = self.places.get(name)
        if place is None:
            block = self.config.module[name]
            volume = self.config.volume[block.volume]
            most = self.config.rules.most_units
            place = self.places[name] = Place(
                name,
                block,
                volume.slots,
                most,
                self.turns,
                lambda **v: self.inside.request(block.volume, **v),
                self.keeping,
            )
        return place
