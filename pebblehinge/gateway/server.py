"""The running gateway: its clients, its start, its settings and its graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.gateway.admission import GatewayCore, RequestCapture
from pebblehinge.gateway.client_connection import ClientConnection
from pebblehinge.gateway.effects import GatewayEffects
from pebblehinge.gateway.rsync_listener import RsyncListener
from pebblehinge.gateway.snapshots import ReadClocks, SnapshotManager
from pebblehinge.gateway.write_back import WriteBack
from pebblehinge.net import parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.store.background import BackgroundRunner, run_inline
from pebblehinge.store.disk import Disk
from pebblehinge.store.journal import Batch

BACKLOG = 8192
"""Connections not yet accepted, all clients at once; the kernel may take fewer (net.core.somaxconn)."""

CAPTURE_FLUSH_S = 1.0
"""Seconds between two writes of a capture."""


class GatewayServer(GatewayEffects):
    """A running gateway. Loop, clock and records are handed in; nothing here reads others.

    Attributes:
        conns: The clients' connections, in the order in which they came.
        faults: How many clients were cut for what they sent.
        rsync_listener: Serves rsync clients, if the settings name an address for them.
        snapshot_keeper: Saves what the scheduler has learned, if there is a disk for it.
        write_back: Serves buffered volumes, if there is a disk for their journal.
        version_shown: The configuration version in force as the console shows it, if the configuration is replicated.
        stopped: Done when the gateway has stopped.
        listener: Accepts clients, once started.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        event_log: EventLog | NullEventLog | None = None,
        core: type[GatewayCore] = GatewayCore,
    ) -> None:
        """Runs as `name` of the settings on `loop`; `clock` returns milliseconds."""
        super().__init__(loop, clock, config, name, log, event_log, core)
        self.client_connections: dict[ClientConnection, None] = {}
        self.failed_connection_count = 0
        self.rsync_listener: RsyncListener | None = None
        self.snapshot_manager: SnapshotManager | None = None
        self.write_back: WriteBack | None = None
        self.config_status: dict[str, Any] = {}
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.listener: asyncio.Server | None = None

    # ---- start

    def enable_write_back(self, disk: Disk, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """Before `start`: serves buffered volumes, with a journal on `disk`; `make_durable` appends and syncs."""
        self.write_back = WriteBack(self, disk, write_batch)

    def enable_snapshots(
        self, disk: Disk, read_clocks: ReadClocks, run_in_background: BackgroundRunner = run_inline
    ) -> None:
        """Before `start`: restores what an earlier incarnation learned, and saves what this one learns."""
        self.snapshot_manager = SnapshotManager(self, disk, read_clocks, run_in_background)
        self.snapshot_manager.restore()

    async def start(self) -> None:
        """Listens and serves; raises OSError if an address is taken, StorageError if the journal can't be read."""
        host, port = parse_address(self.gateway_settings.listen)
        self.listener = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)
        if self.write_back is not None:
            self.write_back.recover()
        if self.gateway_settings.rsync is not None:
            self.rsync_listener = RsyncListener(self)
            await self.rsync_listener.start()
        self.discovery.start()
        self.core.start(self.clock())
        if self.write_back is not None:
            self.write_back.start_due_writes()
        if self.snapshot_manager is not None:
            self.snapshot_manager.start_saving()
        self.record_event(self.clock(), "up", role="head", name=self.name)

    # ---- while it runs

    def apply_config(self, config: Config) -> None:
        """Puts new settings in force; addresses stay as they were until a restart."""
        self.config = config
        self.now = self.clock()
        self.core.apply_config(self.now, config)
        if self.rsync_listener is not None:
            self.rsync_listener.apply_config(config)

    def start_capture(self, writer: RequestCapture) -> None:
        """Captures each request that is admitted from now on."""
        self.core.capture = writer
        self._flush_capture()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """A client's connection is over: its open requests are withdrawn."""
        self.client_connections.pop(connection, None)
        now = self.clock()
        for pending in list(connection.open_requests.values()):
            if pending is not None:
                self.core.on_client_disconnect(now, pending)
        connection.open_requests.clear()
        self.stop_if_done()

    def _flush_capture(self) -> None:
        capture = self.core.capture
        assert capture is not None
        capture.flush()
        if not self.stopped.done() and capture.is_open:
            self.loop.call_later(CAPTURE_FLUSH_S, self._flush_capture)

    # ---- graceful shutdown

    def stop(self, why: str) -> None:
        """Accepts nothing new, gives every accepted request its answer within its own time, then is stopped."""
        if self.core.stopping:
            return
        self.core.stopping = True
        self.log.info("stopping", why=why, open=self.core.open_count)
        assert self.listener is not None
        self.listener.close()
        if self.rsync_listener is not None:
            self.rsync_listener.stop()
        if self.write_back is not None:
            self.write_back.stop()
        for connection in list(self.client_connections):
            connection.send_stopping()
        self.loop.call_later(self.config.limits.stall / 1000.0, self._stop_waiting_for_clients)
        self.stop_if_done()

    def stop_if_done(self) -> None:
        """Ends the shutdown when nothing is owed any more."""
        if not self._is_drained():
            return
        if self.client_connections:
            for connection in list(self.client_connections):
                if connection.shutdown_acknowledged:
                    connection.close()
            return
        if not self.stopped.done():
            self._close_all()
            self.stopped.set_result(None)

    def _is_drained(self) -> bool:
        if not self.core.stopping or self.core.open_count:
            return False
        if self.rsync_listener is not None and self.rsync_listener.sessions:
            return False
        return self.write_back is None or self.write_back.is_drained()

    def _stop_waiting_for_clients(self) -> None:
        """A client that never answers does not hold up the shutdown for ever."""
        for connection in self.client_connections:
            connection.shutdown_acknowledged = True
        self.stop_if_done()

    def _close_all(self) -> None:
        self.record_event(self.clock(), "down", name=self.name)
        if self.snapshot_manager is not None:
            self.snapshot_manager.save(complete=True)
        self.discovery.close()
        if self.rsync_listener is not None:
            self.rsync_listener.close()
        if self.write_back is not None:
            self.write_back.close()
        if self.core.capture is not None:
            self.core.capture.flush()
        for link in [*self.links.values(), *self.retired_links]:
            link.close()
        self._cancel_timer()
        self.event_log.close()
