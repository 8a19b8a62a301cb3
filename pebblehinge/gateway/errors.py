"""Exceptions of the gateway."""

from __future__ import annotations


class GatewayError(Exception):
    """Base class of the gateway's exceptions."""


class RequestRejectedError(GatewayError):
    """The request is not admitted. The message is sent to the client, which may safely retry.

    Attributes:
        retry_after_ms: The least delay before a retry in milliseconds, None for the longest that the settings allow.
    """

    def __init__(self, reason: str, retry_after_ms: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms
