"""Addresses as settings and operators write them."""

from __future__ import annotations

MAX_PORT = 65535
"""The greatest port of TCP."""


class AddressError(ValueError):
    """A text that is no address; its message says what was expected."""


def parse_address(text: str) -> tuple[str, int]:
    """Splits `host:port`; an IPv6 host may stand in brackets, which are removed.

    Raises:
        AddressError: No host, or no port of TCP.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(f"{text!r} is no address: expected host:port")
    return host.strip("[]"), int(port)
