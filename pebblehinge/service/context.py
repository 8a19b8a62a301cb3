"""Interfaces through which the parts of the gateway in service use each other."""

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
    """A function that writes an event with its fields to the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Writes one line."""


class ServiceContext(Protocol):
    """The parts of the gateway that its client connections use.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        config: The current configuration.
        core: The request table.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: RequestTable

    @property
    def lateness_ms(self) -> float:
        """How long bytes that are read now may have been unread, in milliseconds."""

    def is_ready(self) -> bool:
        """Returns whether the gateway is ready for requests."""


class Registry(Protocol[Connection]):
    """The part of `ConnectionRegistry` that a client connection uses."""

    context: ServiceContext
    incomplete_group: dict[Connection, None]
    idle_group: dict[Connection, None]
    closing_group: dict[Connection, None]
    open_request_ids: set[str]
    protocol_error_count: int
    close_after_response: bool

    def move_to_group(self, conn: Connection, group: dict[Connection, None]) -> None:
        """Removes a connection from its group, if any, and appends it to `group`."""

    def admit(self, conn: Connection, parsed_request: ParsedRequest, body: bytes) -> None:
        """Passes a request to the request table, or rejects it if too many requests are open."""

    def stop_counting(self, conn: Connection) -> None:
        """Removes a connection from the connection count."""


class PoolContext(Protocol):
    """The parts of the gateway that the connection pools use.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    def end_attempt(
        self, pending: PendingRequest, attempt: int, outcome: Outcome, duration_ms: float, data: bytes
    ) -> None:
        """Passes the outcome of an attempt to the request table."""

    def can_start_attempt(self, pending: PendingRequest) -> bool:
        """Returns whether an attempt may still be started for a request."""
