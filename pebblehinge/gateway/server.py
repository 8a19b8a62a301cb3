"""The gateway server: startup, client connections, changes of settings, and graceful shutdown."""

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
"""Limit of the connections not yet accepted, for all clients at once; net.core.somaxconn may lower it."""

CAPTURE_FLUSH_S = 1.0
"""The interval at which a capture is written."""


class GatewayServer(GatewayEffects):
    """A gateway; it uses no event loop, clock and event log but those passed to it.

    Attributes:
        client_connections: The client connections in the order in which they were accepted.
        failed_connection_count: Number of client connections that the gateway has ended with an ERROR.
        rsync_listener: The listener for rsync clients, None unless the settings state an address for it.
        snapshot_manager: Saves the learned scheduler state, None if there is no disk for it.
        write_back: Handles requests of buffered volumes, None if there is no disk for their journal.
        config_status: The version of a replicated configuration and its state, for the console; else empty.
        stopped: Completes when the gateway has stopped.
        listener: The listening socket of clients, None before the start.
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
        """Creates a gateway.

        Args:
            loop: The event loop.
            clock: Returns the clock time in milliseconds.
            config: The settings.
            name: Name of this gateway in the settings.
            log: The process's log.
            event_log: The event log, None for none.
            core: The class of the request table.
        """
        super().__init__(loop, clock, config, name, log, event_log, core)
        self.client_connections: dict[ClientConnection, None] = {}
        self.failed_connection_count = 0
        self.rsync_listener: RsyncListener | None = None
        self.snapshot_manager: SnapshotManager | None = None
        self.write_back: WriteBack | None = None
        self.config_status: dict[str, Any] = {}
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.listener: asyncio.Server | None = None

    # ---- startup

    def enable_write_back(self, disk: Disk, write_batch: Callable[[Batch], Awaitable[None]]) -> None:
        """Enables buffered volumes; must be called before `start`.

        Args:
            disk: The folder of the journal.
            write_batch: Appends a batch to the journal and syncs it.
        """
        self.write_back = WriteBack(self, disk, write_batch)

    def enable_snapshots(
        self, disk: Disk, read_clocks: ReadClocks, run_in_background: BackgroundRunner = run_inline
    ) -> None:
        """Restores the learned state of an earlier incarnation, and saves this one's; must be called before `start`."""
        self.snapshot_manager = SnapshotManager(self, disk, read_clocks, run_in_background)
        self.snapshot_manager.restore()

    async def start(self) -> None:
        """Starts the gateway.

        Raises:
            OSError: An address is in use.
            StorageError: The journal can't be read.
        """
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

    # ---- operation

    def apply_config(self, config: Config) -> None:
        """Replaces the settings; changed addresses take effect at the next restart."""
        self.config = config
        self.now = self.clock()
        self.core.apply_config(self.now, config)
        if self.rsync_listener is not None:
            self.rsync_listener.apply_config(config)

    def start_capture(self, writer: RequestCapture) -> None:
        """Starts to capture the requests that the gateway admits."""
        self.core.capture = writer
        self._flush_capture()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Unregisters a client connection and withdraws its open requests."""
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

    def stop(self, reason: str) -> None:
        """Begins a graceful shutdown: new requests are rejected, and accepted ones get their answers.

        Args:
            reason: The reason, for the log.
        """
        if self.core.stopping:
            return
        self.core.stopping = True
        self.log.info("stopping", why=reason, open=self.core.open_count)
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
        """Completes the shutdown if all requests and transfers have ended and the clients have acknowledged it."""
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
        """Treats the shutdown as acknowledged by all clients, so that an unresponsive client can't delay it further."""
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
