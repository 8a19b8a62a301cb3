"""The running gateway as its parts see it. They are given one and never import it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.store.records import Write


class BufferedVolumes(Protocol):
    """The write-back, as a client's connection uses it."""

    def is_buffered(self, volume: str) -> bool:
        """Whether a volume is buffered."""

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
        """Takes a request, or returns False if it is for the request table."""

    def dirty_writes_of_extent(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Returns the dirty writes that a read must show."""

    def overlay_dirty_writes(self, pending: FramedRequest, writes_before_read: tuple[Write, ...], data: bytes) -> bytes:
        """Returns the bytes of a read with the dirty writes over them."""


class GatewayContext(Protocol):
    """The running gateway: what its parts share, and what they report to it.

    Attributes:
        clock: The time in milliseconds.
        config: The settings in force.
        block: The settings of this gateway alone.
        core: The request table.
        now: The reading of the clock for the frames that are being handled.
        note: Writes an event to the records.
        conns: The clients' connections, in the order in which they came.
        write_back: The write-back, if volumes are buffered.
        faults: How many clients were cut for what they sent.
        stopped: Done when the gateway has stopped.
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
        """The write-back, if volumes are buffered."""

    def stop_if_done(self) -> None:
        """Ends a graceful shutdown when nothing is owed any more."""

    def on_connection_closed(self, connection: Any) -> None:
        """A client's connection is over."""
