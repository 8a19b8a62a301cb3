"""What the parts of the gateway in service need of the whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from pebblehinge.core import PendingRequest, RequestTable
from pebblehinge.interface import Outcome
from pebblehinge.service.client_request import ParsedRequest
from pebblehinge.service.config import ServiceConfig

Connection = TypeVar("Connection")


class Log(Protocol):
    """Writes an event with its fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""


class ServiceContext(Protocol):
    """The gateway as its client connections see it.

    Attributes:
        loop: The event loop.
        clock: Returns the time in ms.
        config: The configuration in force.
        core: The table of requests.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: RequestTable

    @property
    def lateness_ms(self) -> float:
        """For how long what is read now may have been unread."""

    def is_ready(self) -> bool:
        """Return whether the gateway is ready for requests."""


class Registry(Protocol[Connection]):
    """What a connection needs of the registry that it belongs to; see `ConnectionRegistry`."""

    context: ServiceContext
    incomplete_group: dict[Connection, None]
    idle_group: dict[Connection, None]
    closing_group: dict[Connection, None]
    open_request_ids: set[str]
    protocol_error_count: int
    close_after_response: bool

    def move_to_group(self, conn: Connection, group: dict[Connection, None]) -> None:
        """Put a connection last into a group, out of the one that it was in."""

    def admit(self, conn: Connection, parsed: ParsedRequest, body: bytes) -> None:
        """Take a request, or reject it if too many are open."""

    def stop_counting(self, conn: Connection) -> None:
        """Count a connection no more."""


class PoolContext(Protocol):
    """What the pools need of the gateway.

    Attributes:
        loop: The event loop.
        clock: Returns the time in ms.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    def end_attempt(
        self, pending: PendingRequest, attempt: int, outcome: Outcome, duration_ms: float, data: bytes
    ) -> None:
        """Pass on the outcome of an attempt."""

    def can_start_attempt(self, pending: PendingRequest) -> bool:
        """Return whether an attempt may still be begun for a request."""
