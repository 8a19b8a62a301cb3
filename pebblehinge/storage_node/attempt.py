"""An attempt that a gateway has sent, and how it ends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from pebblehinge.storage_node.job import Job


class AttemptStatus(IntEnum):
    """How an attempt ended, as its number in OUTCOME."""

    SUCCEEDED = 0
    SERVER_ERROR = 1
    OVERLOADED = 2


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that it came by.

    Attributes:
        attempts: The attempts that were accepted and not answered, by their number on the connection.
    """

    attempts: dict[int, Attempt]

    @property
    def gateway(self) -> str:
        """The name that the other end greeted with."""

    def send_outcome(self, number: int, status: AttemptStatus, reason: str, data: bytes) -> None:
        """Sends the outcome of an attempt."""

    def abort(self) -> None:
        """Cuts the connection."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        connection: The connection that it came by.
        number: Its number there.
        request_id: The request's id.
        attempt_index: Its number among the request's attempts, 0 for the first.
        extent: What it reads or writes.
        operation: READ, WRITE or APPEND, as on the wire.
        offset: Where, in bytes.
        length: How many bytes it reads.
        key: The idempotency key, if the request has one.
        data: The bytes that it writes.
        job: Its work, once it was submitted to the machine.
    """

    connection: AttemptConnection
    number: int
    request_id: str
    attempt_index: int
    extent: str
    operation: int
    offset: int
    length: int
    key: str | None
    data: bytes
    job: Job[Attempt] | None = None
