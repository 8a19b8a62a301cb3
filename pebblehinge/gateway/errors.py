"""Errors of the gateway."""

from __future__ import annotations


class GatewayError(Exception):
    """The base of the gateway's errors."""


class RequestRejectedError(GatewayError):
    """A request that is not admitted. The text goes to its client; trying again is harmless.

    Attributes:
        stay_ms: How long the client should wait before a retry, in milliseconds, or None for the settings' time.
    """

    def __init__(self, reason: str, retry_after_ms: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms
