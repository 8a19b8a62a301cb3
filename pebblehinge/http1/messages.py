"""Complete HTTP messages as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HttpMessage:
    """What requests and responses have in common.

    Attributes:
        headers: Names in lower case and values as received, in their order.
        body: The complete body, without any transfer coding.
        keep_alive: Whether the sender lets the connection go on after this message.
    """

    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool

    def header_values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers of a name, which is given in lower case."""
        return [header_value for header_name, header_value in self.headers if header_name == name]


@dataclass(slots=True)
class HttpRequest(HttpMessage):
    """A complete request; `version` is that of HTTP, such as "1.1"."""

    method: bytes
    target: bytes
    version: str


@dataclass(slots=True)
class HttpResponse(HttpMessage):
    """A complete final response."""

    status: int
