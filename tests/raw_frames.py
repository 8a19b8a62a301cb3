"""Frames by hand, past the client library."""

from __future__ import annotations

import asyncio

from helpers import Rig

from pebblehinge.wire import Frames, Kind, encode

SILENT = lambda attempt: None  # noqa: E731
LOOK = dict(profile="look", slot=0, units=2.0, patience_ms=2000.0)
SAVE = dict(profile="save", slot=0, units=2.0, patience_ms=1200.0)


async def raw(rig: Rig) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = rig.config.head["h1"].listen.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def hello(oldest: int = 1, newest: int = 1) -> bytes:
    return encode(Kind.HELLO, "pebblehinge", oldest, newest, "client", "raw", 1 << 20, 64)


def frames_of(data: bytes) -> list[tuple[Kind, tuple]]:
    frames = Frames(1 << 20)
    frames.feed(data)
    found = []
    while (got := frames.next()) is not None:
        found.append(got)
    return found


async def rest(reader: asyncio.StreamReader) -> list[tuple[Kind, tuple]]:
    return frames_of(await asyncio.wait_for(reader.read(), 5.0))
