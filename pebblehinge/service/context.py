"""Interfaces through which the parts of the gateway in service use each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from pebblehinge.core import PendingRequest, RequestTable
from pebblehinge.interface import Outcome
from pebblehinge.service.client_input import ClientInput
from pebblehinge.service.client_request import ClientRequest, ParsedRequest
from pebblehinge.service.config import ServiceConfig
from pebblehinge.service.reasons import ReasonCounts
from pebblehinge.service.request_ids import RequestIds
from pebblehinge.service.work_queue import WorkQueue

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


class AdmittedConnection(Protocol):
    """The part of a client connection that the admission of its requests uses.

    Attributes:
        pending: The open request, or None.
        answer_deadline_ms: Clock time until which the client waits for the answer to its last request.
        input: The bytes that the client has sent and that are not handled yet.
    """

    pending: ClientRequest | None
    answer_deadline_ms: float
    input: ClientInput

    def enter_active_group(self) -> None:
        """Moves the connection to the group of those with an open request."""

    def respond(self, status: int, body: bytes = b"", extra_headers: bytes = b"") -> None:
        """Writes a complete response."""


class RequestAdmission(Protocol):
    """The part of `Admission` that client connections use.

    Attributes:
        request_ids: Ids of the open requests, and of those that must not run a second time.
    """

    request_ids: RequestIds

    def admit(self, conn: AdmittedConnection, parsed_request: ParsedRequest, body: bytes) -> None:
        """Passes a request to the request table, or refuses it."""

    def release_id(self, pending: ClientRequest) -> None:
        """Ends the request that an id belongs to."""


class Registry(Protocol[Connection]):
    """The part of `ConnectionRegistry` that a client connection uses."""

    context: ServiceContext
    incomplete_group: dict[Connection, None]
    idle_group: dict[Connection, None]
    active_group: dict[Connection, None]
    closing_group: dict[Connection, None]
    close_after_response: bool
    client_closes: ReasonCounts
    work_queue: WorkQueue
    read_buffer: bytearray

    @property
    def admission(self) -> RequestAdmission:
        """Admits or refuses requests."""

    def move_to_group(self, conn: Connection, group: dict[Connection, None]) -> None:
        """Removes a connection from its group, if any, and appends it to `group`."""

    def update_group(self, conn: Connection) -> None:
        """Moves a connection without an open request to the group that its input calls for."""

    def remove(self, conn: Connection) -> None:
        """Removes a connection from its group and from the connection count."""

    def earliest_arrival_ms(self) -> float:
        """Returns the clock time since which bytes that are read now may have been unread."""

    def charge(self, conn: Connection) -> None:
        """Charges what a connection holds now to the memory budget."""

    def count_error(self, status: int) -> None:
        """Counts a request that is answered with an error before it is admitted."""

    def free_memory(self, reader: Connection | None = None) -> None:
        """Ends what bad clients hold, if the memory budget is exceeded; `reader` is who has just read more."""


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

    def begin_attempt(self, pending: ClientRequest) -> bool:
        """Returns whether an attempt of a request may begin now; if so, the request counts as one that may run."""
