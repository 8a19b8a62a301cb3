"""Data classes for complete HTTP messages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HttpMessage:
    """The fields that requests and responses share.

    Attributes:
        headers: Pairs of name and value in the order received; names are in lower case, values unchanged.
        body: The complete body, with any transfer coding removed.
        keep_alive: Whether the sender allows further messages on the connection.
    """

    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns the values of all headers with this name, which must be in lower case."""
        return [header_value for header_name, header_value in self.headers if header_name == name]


@dataclass(slots=True)
class HttpRequest(HttpMessage):
    """A complete request; `version` is its HTTP version, such as "1.1"."""

    method: bytes
    target: bytes
    version: str


@dataclass(slots=True)
class HttpResponse(HttpMessage):
    """A complete final response."""

    status: int
