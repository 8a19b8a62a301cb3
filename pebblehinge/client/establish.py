"""Establishment of a connection to a gateway."""

from __future__ import annotations

import asyncio

from pebblehinge.client.connection import KEEPALIVE_MS, Client
from pebblehinge.client.observer import Observer
from pebblehinge.net import dial


async def connect(
    address: str,
    *,
    name: str = "client",
    loop: asyncio.AbstractEventLoop | None = None,
    limit: int = 1 << 20,
    streams: int = 512,
    stall_ms: float = 10_000.0,
    within_ms: float = 2_000.0,
    role: str = "client",
    observer: Observer | None = None,
    keepalive_ms: float = KEEPALIVE_MS,
) -> Client:
    """Connects to a gateway.

    Args:
        address: The gateway's address, as `host:port`.
        name: The client's name in logs.
        loop: The event loop, by default the running one.
        limit: The greatest length of a frame that the client accepts, in bytes.
        streams: Number of requests that may be open at once.
        stall_ms: How long the gateway may not read before the connection is aborted, in milliseconds.
        within_ms: How long connecting may take, with the greeting, in milliseconds.
        role: The role in the greeting.
        observer: Called with each event of the client's requests.
        keepalive_ms: Milliseconds of silence after which a PING is sent; after three times that the connection is
            aborted, since the other end may have disappeared without closing it.

    Returns:
        The connected client.

    Raises:
        OSError: The gateway can't be reached, rejects the connection (ConnectionError) or does not greet in time
            (TimeoutError).
        AddressError: `address` is invalid.
    """
    loop = loop or asyncio.get_running_loop()
    deadline = loop.time() + within_ms / 1000.0
    client = Client(loop, name, limit, streams, stall_ms, role, observer, keepalive_ms)
    try:
        async with asyncio.timeout_at(deadline):
            await dial(loop, client, address)
            await client.handshake
    except TimeoutError:
        client.abort()
        raise TimeoutError(f"{address}: no greeting within {within_ms:g} ms") from None
    return client
