"""The interface through which the request table has its front act."""

from __future__ import annotations

from typing import Protocol

from pebblehinge.core.answers import FinalStatus
from pebblehinge.core.pending_request import PendingRequest
from pebblehinge.interface import DiscoveryCall


class Effects(Protocol):
    """What the request table has its front do."""

    def send_attempt(self, pending: PendingRequest, shelf: str, attempt: int, until_ms: float) -> None:
        """Sends attempt number `attempt`, from 0, to a storage node; at clock time `until_ms` it times out."""

    def drop_attempt(self, pending: PendingRequest) -> None:
        """Cancels the attempt in flight; no outcome of it is reported any more."""

    def answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        """Sends the final answer to the client; `stay_ms` is how long to stay away, 0 for no such time."""

    def wake_at(self, at_ms: float) -> None:
        """Calls `RequestTable.woken` at this clock time."""

    def call_list(self, call: DiscoveryCall) -> None:
        """Calls the service that keeps the endpoint list."""
