"""Listens for rsync clients, ends their sessions with the gateway, and makes every block a request of the gateway."""

from __future__ import annotations

import asyncio
import random

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.internal_client import InternalClient
from pebblehinge.gateway.rsync_session import RsyncSession
from pebblehinge.net import parse_address
from pebblehinge.rsync.module_store import Place
from pebblehinge.rsync.sharing import Keeping, Sharing
from pebblehinge.rsync.turns import Turns
from pebblehinge.settings.schema import Config

LATENESS_INTERVAL_S = 0.1
"""Seconds between two looks at the loop's lateness."""

LATENESS_DECAY = 0.8
"""What is left of a lateness at the next look."""

BACKLOG = 1024
"""Connections not yet accepted."""


class RsyncListener:
    """All rsync sessions of one gateway.

    Attributes:
        config: The settings in force.
        sharing: Which transfer's request is next.
        turns: Grants their turns.
        keeping: Parts of files that were interrupted, kept for the next try.
        places: The state of each module that was used, by its name.
        sessions: The sessions, in the order in which they came.
        client: Makes their requests.
        transfers: How many transfers are under way.
        counts: Transfers by their end, and files saved.
        stopping: Whether the gateway is shutting down.
        late_ms: How late the loop has been lately, in milliseconds.
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        self.log = context.log
        self.config: Config = context.config
        block = self.config.rsync
        self.rng = random.Random(f"{context.block.seed}/{context.name}/door")
        self.sharing = Sharing(block.accesses, block.each)
        self.turns = Turns(self.loop, self.clock, self.sharing)
        self.keeping = Keeping(block.parts, block.parts_for)
        self.places: dict[str, Place] = {}
        self.sessions: dict[RsyncSession, None] = {}
        self.client = InternalClient(context, "rsync")
        self.transfers = 0
        self.counts = {"completed": 0, "failed": 0, "refused": 0, "saves": 0}
        self.stopping = False
        self.late_ms = 0.0
        self._server: asyncio.Server | None = None
        self._lateness_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listens; raises OSError if the address is taken."""
        assert self.context.block.rsync is not None
        host, port = parse_address(self.context.block.rsync)
        self._server = await self.loop.create_server(lambda: RsyncSession(self), host, port, backlog=BACKLOG)
        self._check_lateness(self.loop.time())

    def adopt(self, config: Config) -> None:
        """Puts new settings in force; transfers under way go on by the ones that they began with."""
        self.config = config
        for name in [name for name in self.places if name not in config.module]:
            del self.places[name]
        for name, place in self.places.items():
            place.block = config.module[name]
            place.slots = config.volume[config.module[name].volume].slots

    def stop(self) -> None:
        """Accepts no new client; transfers have a while to end, other sessions are closed."""
        self.stopping = True
        assert self._server is not None
        self._server.close()
        self.loop.call_later(self.config.rsync.stop / 1000.0, self._end_all)
        for session in list(self.sessions):
            if not session.report.module:
                session.close()

    def close(self) -> None:
        """Cuts all sessions."""
        for handle in (self._lateness_timer, self.turns.timer):
            if handle is not None:
                handle.cancel()
        for session in list(self.sessions):
            session.abort()

    def place(self, name: str) -> Place:
        """Returns the state of a module."""
        place = self.places.get(name)
        if place is None:
            place = self.places[name] = self._new_place(name)
        return place

    def _new_place(self, name: str) -> Place:
        block = self.config.module[name]
        volume = self.config.volume[block.volume]
        return Place(
            name,
            block,
            volume.slots,
            self.config.rules.most_units,
            self.turns,
            lambda **values: self.client.request(block.volume, **values),
            self.keeping,
        )

    def _end_all(self) -> None:
        for session in list(self.sessions):
            session.end("this head is stopping: come again, another one takes new transfers")

    def _check_lateness(self, expected_s: float) -> None:
        """Notes how late the loop is: a timer that fires late says how long all else waits, too."""
        late_ms = max(0.0, (self.loop.time() - expected_s) * 1000.0)
        self.late_ms = max(late_ms, self.late_ms * LATENESS_DECAY)
        next_s = self.loop.time() + LATENESS_INTERVAL_S
        self._lateness_timer = self.loop.call_at(next_s, self._check_lateness, next_s)
