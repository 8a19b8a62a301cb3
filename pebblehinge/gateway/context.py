"""The running head as its parts see it. They are given one and never import it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.settings.schema import Config, HeadBlock


class GatewayContext(Protocol):
    """Loop, clock (ms), settings in force, books; and what a part may tell the head."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: Config
    block: HeadBlock
    name: str
    log: Any
    core: GatewayCore
    now: float  # the reading of the clock that serves the frames being looked at
    note: Callable[..., None]
    conns: dict[Any, None]
    back: Any  # the write-back, or None
    faults: int
    stopped: asyncio.Future[None]

    def stop_if_done(self) -> None: ...
    def gone(self, conn: Any) -> None: ...
