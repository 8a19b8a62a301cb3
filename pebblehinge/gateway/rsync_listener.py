"""The rsync listener of a gateway, whose sessions make a request of the gateway for every block that they transfer."""

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
"""The interval at which the lag of the event loop is measured."""

LOOP_LAG_DECAY = 0.8
"""The factor by which an earlier lag decays with each measurement."""

BACKLOG = 1024
"""Limit of the connections that are not yet accepted."""


class RsyncListener:
    """Accepts rsync clients and holds the state that their sessions share.

    Attributes:
        context: The running gateway.
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        log: The process's log.
        config: The settings in force.
        rng: Draws challenges, checksum seeds and trace ids.
        request_scheduler: Selects the transfer whose request is granted next.
        transfer_scheduler: Lets transfers wait for their requests to be granted.
        partial_uploads: Parts of interrupted uploads, kept for the client's retry.
        module_stores: The state of each module in use, by name.
        sessions: The sessions in the order in which they were accepted.
        client: Makes the requests of the sessions.
        transfer_count: Number of transfers in progress.
        counts: Numbers of transfers by their end, and of files saved.
        stopping: Whether the gateway is shutting down.
        loop_lag_ms: Decaying maximum of the lag of the event loop, in milliseconds.
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
        """Starts to accept clients; raises OSError if the address is in use."""
        assert self.context.gateway_settings.rsync is not None
        host, port = parse_address(self.context.gateway_settings.rsync)
        self._server = await self.loop.create_server(lambda: RsyncSession(self), host, port, backlog=BACKLOG)
        self._measure_loop_lag(self.loop.time())

    def apply_config(self, config: Config) -> None:
        """Replaces the settings; transfers in progress continue with those that they began with."""
        self.config = config
        for name in [name for name in self.module_stores if name not in config.module]:
            del self.module_stores[name]
        for name, module_store in self.module_stores.items():
            module_store.block = config.module[name]
            module_store.slots = config.volume[config.module[name].volume].slots

    def stop(self) -> None:
        """Stops accepting clients, closes sessions without a module, and ends the others after `rsync.stop`."""
        self.stopping = True
        assert self._server is not None
        self._server.close()
        self.loop.call_later(self.config.rsync.stop / 1000.0, self._end_sessions)
        for session in list(self.sessions):
            if not session.report.module:
                session.close()

    def close(self) -> None:
        """Aborts all sessions."""
        for handle in (self._loop_lag_timer, self.transfer_scheduler.timer):
            if handle is not None:
                handle.cancel()
        for session in list(self.sessions):
            session.abort()

    def module_store(self, name: str) -> ModuleStore:
        """Returns the state of a module, which is created when it is first used."""
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
        """Measures the lag of the event loop by how late this timer fires, as all other callbacks wait as long."""
        loop_lag_ms = max(0.0, (self.loop.time() - expected_s) * 1000.0)
        self.loop_lag_ms = max(loop_lag_ms, self.loop_lag_ms * LOOP_LAG_DECAY)
        next_s = self.loop.time() + LOOP_LAG_CHECK_INTERVAL_S
        self._loop_lag_timer = self.loop.call_at(next_s, self._measure_loop_lag, next_s)
