"""Parsing of the addresses in settings and commands."""

from __future__ import annotations

MAX_PORT = 65535
"""The greatest TCP port."""


class AddressError(ValueError):
    """The text is not a valid address; the message states the expected form."""


def parse_address(text: str) -> tuple[str, int]:
    """Splits `host:port`; brackets around an IPv6 host are removed.

    Raises:
        AddressError: The text has no host, or no valid TCP port.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(f"{text!r} is not an address: expected host:port")
    return host.strip("[]"), int(port)
