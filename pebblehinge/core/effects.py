"""The interface by which the request table tells its frontend what to do."""

from __future__ import annotations

from typing import Protocol

from pebblehinge.core.answers import FinalStatus
from pebblehinge.core.pending_request import PendingRequest
from pebblehinge.interface import DiscoveryCall


class Effects(Protocol):
    """The actions that the request table requests from its frontend."""

    def send_attempt(self, pending: PendingRequest, node: str, attempt: int, until_ms: float) -> None:
        """Sends attempt number `attempt`, counted from 0, to a storage node; it times out at clock time `until_ms`."""

    def cancel_attempt(self, pending: PendingRequest) -> None:
        """Cancels the attempt in flight, whose outcome must not be reported afterwards."""

    def answer(
        self, pending: PendingRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Sends the final answer to the client; `retry_after_ms` is the least delay of a retry, 0 for none."""

    def wake_at(self, at_ms: float) -> None:
        """Calls `RequestTable.on_wake_up` at this clock time, in milliseconds."""

    def call_discovery(self, call: DiscoveryCall) -> None:
        """Calls discovery, which keeps the endpoint list."""
