"""Connecting to a gateway."""

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
    max_frame_bytes: int = 1 << 20,
    max_streams: int = 512,
    stall_ms: float = 10_000.0,
    timeout_ms: float = 2_000.0,
    role: str = "client",
    observer: Observer | None = None,
    keepalive_ms: float = KEEPALIVE_MS,
) -> Client:
    """Connects to a gateway.

    Args:
        address: The gateway's host:port.
        name: The client's name, which logs show.
        loop: The event loop, by default the running one.
        max_frame_bytes: The greatest length of a frame that is accepted, in bytes.
        max_streams: How many requests may be open at once.
        stall_ms: After how long a gateway that does not read is cut off.
        timeout_ms: How long connecting may take, with the greeting.
        role: The role in the greeting.
        observer: Is told of each event.
        keepalive_ms: A connection silent for so long is sent a PING, and one silent for three times that is cut, since
            its other end may be gone with nobody left to say so.

    Raises:
        OSError: The gateway can't be reached, rejects the connection (ConnectionError) or does not greet in time
            (TimeoutError).
        AddressError: `address` is none.
    """
    loop = loop or asyncio.get_running_loop()
    deadline = loop.time() + timeout_ms / 1000.0
    client = Client(loop, name, max_frame_bytes, max_streams, stall_ms, role, observer, keepalive_ms)
    try:
        async with asyncio.timeout_at(deadline):
            await dial(loop, client, address)
            await client.handshake
    except TimeoutError:
        client.abort()
        raise TimeoutError(f"{address}: no greeting within {timeout_ms:g} ms") from None
    return client
