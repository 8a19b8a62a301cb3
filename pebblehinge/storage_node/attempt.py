"""Attempts that gateways send, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from pebblehinge.storage_node.job import Job


class AttemptStatus(IntEnum):
    """Outcome of an attempt; the value is its number in OUTCOME frames."""

    SUCCEEDED = 0
    SERVER_ERROR = 1
    OVERLOADED = 2


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that it arrived on.

    Attributes:
        attempts: The attempts that were accepted and not answered yet, by their number on the connection.
    """

    attempts: dict[int, Attempt]

    @property
    def gateway(self) -> str:
        """The name of the gateway, from its greeting."""

    def send_outcome(self, number: int, status: AttemptStatus, reason: str, data: bytes) -> None:
        """Sends the outcome of an attempt."""

    def abort(self) -> None:
        """Aborts the connection."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        connection: The connection that it arrived on.
        number: Its number on this connection.
        request_id: The request's id.
        attempt_index: Its index among the attempts of the request, 0 for the first.
        extent: The extent that it reads or writes.
        operation: READ, WRITE or APPEND, as on the wire.
        offset: Offset in the extent, in bytes.
        length: Number of bytes to read.
        key: The idempotency key, if the request has one.
        data: The bytes to write.
        job: Its work, None until it is submitted to the machine.
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
