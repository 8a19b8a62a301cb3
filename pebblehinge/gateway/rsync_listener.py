"""Listens for rsync clients, ends their sessions with the gateway, and makes every block a request of the gateway."""

from __future__ import annotations

import asyncio
import random

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.internal_client import InternalClient
from pebblehinge.gateway.rsync_session import RsyncSession
from pebblehinge.net import parse_address
from pebblehinge.rsync.module_store import ModuleStore
from pebblehinge.rsync.partial_uploads import PartialUploads
from pebblehinge.rsync.request_scheduler import RequestScheduler
from pebblehinge.rsync.transfer_scheduler import TransferScheduler
from pebblehinge.settings.schema import Config

LOOP_LAG_CHECK_INTERVAL_S = 0.1
"""Seconds between two looks at the loop's lateness."""

LOOP_LAG_DECAY = 0.8
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
        settings = self.config.rsync
        self.rng = random.Random(f"{context.gateway_settings.seed}/{context.name}/door")
        self.request_scheduler = RequestScheduler(settings.accesses, settings.each)
        self.transfer_scheduler = TransferScheduler(self.loop, self.clock, self.request_scheduler)
        self.partial_uploads = PartialUploads(settings.parts, settings.parts_for)
        self.module_stores: dict[str, ModuleStore] = {}
        self.sessions: dict[RsyncSession, None] = {}
        self.client = InternalClient(context, "rsync")
        self.transfer_count = 0
        self.counts = {"completed": 0, "failed": 0, "refused": 0, "saves": 0}
        self.stopping = False
        self.loop_lag_ms = 0.0
        self._server: asyncio.Server | None = None
        self._loop_lag_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listens; raises OSError if the address is taken."""
        assert self.context.gateway_settings.rsync is not None
        host, port = parse_address(self.context.gateway_settings.rsync)
        self._server = await self.loop.create_server(lambda: RsyncSession(self), host, port, backlog=BACKLOG)
        self._measure_loop_lag(self.loop.time())

    def apply_config(self, config: Config) -> None:
        """Puts new settings in force; transfers under way go on by the ones that they began with."""
        self.config = config
        for name in [name for name in self.module_stores if name not in config.module]:
            del self.module_stores[name]
        for name, module_store in self.module_stores.items():
            module_store.block = config.module[name]
            module_store.slots = config.volume[config.module[name].volume].slots

    def stop(self) -> None:
        """Accepts no new client; transfers have a while to end, other sessions are closed."""
        self.stopping = True
        assert self._server is not None
        self._server.close()
        self.loop.call_later(self.config.rsync.stop / 1000.0, self._end_sessions)
        for session in list(self.sessions):
            if not session.report.module:
                session.close()

    def close(self) -> None:
        """Cuts all sessions."""
        for handle in (self._loop_lag_timer, self.transfer_scheduler.timer):
            if handle is not None:
                handle.cancel()
        for session in list(self.sessions):
            session.abort()

    def module_store(self, name: str) -> ModuleStore:
        """Returns the state of a module."""
        module_store = self.module_stores.get(name)
        if module_store is None:
            module_store = self.module_stores[name] = self._new_module_store(name)
        return module_store

    def _new_module_store(self, name: str) -> ModuleStore:
        settings = self.config.module[name]
        volume = self.config.volume[settings.volume]
        return ModuleStore(
            name,
            settings,
            volume.slots,
            self.config.rules.most_units,
            self.transfer_scheduler,
            lambda **values: self.client.request(settings.volume, **values),
            self.partial_uploads,
        )

    def _end_sessions(self) -> None:
        for session in list(self.sessions):
            session.end("this head is stopping: come again, another one takes new transfers")

    def _measure_loop_lag(self, expected_s: float) -> None:
        """Notes how late the loop is: a timer that fires late says how long all else waits, too."""
        loop_lag_ms = max(0.0, (self.loop.time() - expected_s) * 1000.0)
        self.loop_lag_ms = max(loop_lag_ms, self.loop_lag_ms * LOOP_LAG_DECAY)
        next_s = self.loop.time() + LOOP_LAG_CHECK_INTERVAL_S
        self._loop_lag_timer = self.loop.call_at(next_s, self._measure_loop_lag, next_s)
