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

    def buffers(self, volume: str) -> bool:
        """Whether a volume is buffered."""

    def take(
        self,
        conn: Any,
        id_: int,
        trace: str,
        volume: str,
        profile: str,
        extent: str,
        slot: int,
        units: float,
        left_ms: float,
        label: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> bool:
        """Takes a request, or returns False if it is for the request table."""

    def before_read(self, volume: str, extent: str) -> tuple[Write, ...]:
        """Returns the dirty writes that a read must show."""

    def after_read(self, pending: FramedRequest, dirty_writes: tuple[Write, ...], data: bytes) -> bytes:
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
    block: HeadBlock
    name: str
    log: Any
    core: GatewayCore
    now: float
    note: Callable[..., None]
    conns: dict[Any, None]
    faults: int
    stopped: asyncio.Future[None]

    @property
    def write_back(self) -> BufferedVolumes | None:
        """The write-back, if volumes are buffered."""

    def stop_if_done(self) -> None:
        """Ends a graceful shutdown when nothing is owed any more."""

    def connection_closed(self, conn: Any) -> None:
        """A client's connection is over."""
