"""Interfaces through which the parts of a gateway use the running gateway, so that they need not import it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.store.records import Write


class BufferedVolumes(Protocol):
    """The part of the write-back that client connections use."""

    def is_buffered(self, volume: str) -> bool:
        """Returns whether a volume is buffered."""

    def try_handle(
        self,
        origin: Any,
        id_: int,
        trace_id: str,
        volume: str,
        request_class: str,
        extent: str,
        slot: int,
        units: float,
        time_limit_ms: float,
        idempotency_key: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> bool:
        """Handles a request, or returns False if the request table has to handle it."""

    def dirty_writes_of_extent(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Returns the dirty writes that a read must include."""

    def overlay_dirty_writes(self, pending: FramedRequest, writes_before_read: tuple[Write, ...], data: bytes) -> bytes:
        """Returns the data of a read with the dirty writes applied to it."""


class GatewayContext(Protocol):
    """The running gateway: the state that its parts share, and the events that they report to it.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        config: The settings in force.
        gateway_settings: The settings of this gateway alone.
        name: Name of the gateway.
        log: The process's log.
        core: The request table.
        now: Clock time in milliseconds, read once for the frames that are being handled.
        record_event: Writes an event to the event log.
        client_connections: The client connections in the order in which they were accepted.
        failed_connection_count: Number of client connections that the gateway has ended with an ERROR.
        stopped: Completes when the gateway has stopped.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: Config
    gateway_settings: HeadBlock
    name: str
    log: Any
    core: GatewayCore
    now: float
    record_event: Callable[..., None]
    client_connections: dict[Any, None]
    failed_connection_count: int
    stopped: asyncio.Future[None]

    @property
    def write_back(self) -> BufferedVolumes | None:
        """The write-back, None if the gateway has no journal."""

    def stop_if_done(self) -> None:
        """Completes a graceful shutdown if all requests and transfers have ended."""

    def on_connection_closed(self, connection: Any) -> None:
        """Handles the end of a client connection."""
