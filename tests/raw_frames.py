"""Helpers that exchange frames with a gateway without the client library."""

from __future__ import annotations

import asyncio

from helpers import Rig

from pebblehinge.wire import FrameDecoder, Kind, encode

NO_ANSWER = lambda attempt: None  # noqa: E731
LOOK_OPTIONS = dict(profile="look", slot=0, units=2.0, patience_ms=2000.0)
SAVE_OPTIONS = dict(profile="save", slot=0, units=2.0, patience_ms=1200.0)


async def open_raw_connection(rig: Rig) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = rig.config.head["h1"].listen.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def encode_hello(oldest: int = 1, newest: int = 1) -> bytes:
    return encode(Kind.HELLO, "pebblehinge", oldest, newest, "client", "raw", 1 << 20, 64)


def decode_frames(data: bytes) -> list[tuple[Kind, tuple]]:
    decoder = FrameDecoder(1 << 20)
    decoder.feed(data)
    decoded = []
    while (frame := decoder.next()) is not None:
        decoded.append(frame)
    return decoded


async def read_remaining_frames(reader: asyncio.StreamReader) -> list[tuple[Kind, tuple]]:
    return decode_frames(await asyncio.wait_for(reader.read(), 5.0))
