"""Bytes of one connection in both directions, plain or multiplexed. Knows no socket: they are fed, and handed on.

Multiplexed, each frame is a 32-bit little-endian word, `(7 + tag) << 24 | length`, and its bytes. Tag 0 is data; the
others are messages, which may stand anywhere between data.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable

BASE = 7
DATA, ERROR_XFER, INFO, ERROR, WARNING = 0, 1, 2, 3, 4
REDO, IO_ERROR, IO_TIMEOUT, NOOP, ERROR_EXIT, SUCCESS, DELETED, NO_SEND = 9, 22, 33, 42, 86, 100, 101, 102
MOST_MESSAGE = 1 << 16
PIECE = 1 << 15  # of data in one frame that is sent
STEPS = 256  # numbers read, entries looked at: some tenths of a millisecond
U32 = struct.Struct("<I")

# Exit codes that such tools know.
SYNTAX, PROTOCOL, SELECT, UNSUPPORTED, START, SOCKET, FILE, STREAM, PARTIAL, DELETE_LIMIT, TIMEOUT = (
    1,
    2,
    3,
    4,
    5,
    10,
    11,
    12,
    23,
    25,
    30,
)


class RsyncError(Exception):
    """The other side broke the protocol, or asked for what is not to be had; `code` is the exit code for it."""

    def __init__(self, text: str, code: int = PROTOCOL) -> None:
        super().__init__(text)
        self.code = code


class Gone(RsyncError):
    """The other side closed its end, here in the middle of something."""

    def __init__(self, text: str = "the connection closed in the middle of the transfer") -> None:
        super().__init__(text, STREAM)


class Stream:
    """`wait()` is awaited for more bytes to be fed; `write(bytes)` hands on, `drain()` is awaited while the other side
    does not read, `rest()` now and then, so that what else runs there goes on though much has come and nothing need be
    waited for. `on_message(tag, data)` gets messages that came between the data."""

    def __init__(
        self,
        wait: Callable[[], Awaitable[None]],
        write: Callable[[bytes], None],
        drain: Callable[[], Awaitable[None]],
        rest: Callable[[], Awaitable[None]],
    ) -> None:
        self._wait, self._write, self._drain, self._rest = wait, write, drain, rest
        self.steps = 0
        self.raw = bytearray()  # as it came
        self.data = bytearray()  # taken out of frames
        self.frame = 0  # data bytes of the open frame that are still to come
        self.out = bytearray()
        self.mux_in = self.mux_out = False
        self.ended = False
        self.on_message: Callable[[int, bytes], None] = lambda tag, data: None
        self.got = self.put_bytes = 0

    # ---- from the transport

    def feed(self, data: bytes) -> None:
        self.raw += data
        self.got += len(data)

    def end(self) -> None:
        """Nothing more comes."""
        self.ended = True

    @property
    def held(self) -> int:
        """Bytes that came and were not read yet: the transport stops reading while there are many."""
        return len(self.raw) + len(self.data)

    # ---- reading

    async def _more(self) -> None:
        if self.ended:
            raise Gone()
        await self._wait()

    async def _raw(self, count: int) -> bytes:
        while len(self.raw) < count:
            await self._more()
        got = bytes(self.raw[:count])
        del self.raw[:count]
        return got

    async def _unpack(self) -> None:
        """Moves what stands in the next frame, as far as it is here, to `data`; messages are told."""
        while not self.frame:
            word = U32.unpack(await self._raw(4))[0]
            tag, length = (word >> 24) - BASE, word & 0xFFFFFF
            if tag < 0:
                raise RsyncError(f"a frame with tag {tag}: this is no multiplexed stream")
            if tag == DATA:
                self.frame = length
                if not length:
                    return
            else:
                if length > MOST_MESSAGE:
                    raise RsyncError(f"a message of {length} bytes: at most {MOST_MESSAGE} are taken")
                self.on_message(tag, await self._raw(length))
        while not self.raw:
            await self._more()
        taken = min(self.frame, len(self.raw))
        self.data += self.raw[:taken]
        del self.raw[:taken]
        self.frame -= taken

    async def breathe(self, steps: int = 1) -> None:
        """One step of work is done; after some, others get a turn."""
        self.steps += steps
        if self.steps >= STEPS:
            self.steps = 0
            await self._rest()

    async def take(self, count: int) -> bytes:
        """Exactly so many bytes of data."""
        await self.breathe()
        if not self.mux_in:
            return await self._raw(count)
        while len(self.data) < count:
            await self._unpack()
        got = bytes(self.data[:count])
        del self.data[:count]
        return got

    async def some(self, most: int) -> bytes:
        """At least one byte of data, at most so many: what is here."""
        await self.breathe()
        if not self.mux_in:
            while not self.raw:
                await self._more()
            return await self._raw(min(most, len(self.raw)))
        while not self.data:
            await self._unpack()
        return await self.take(min(most, len(self.data)))

    async def line(self, end: bytes = b"\n", most: int = 4096) -> bytes:
        """Up to `end`, which is not part of it."""
        held = self.data if self.mux_in else self.raw
        looked = 0
        while (at := held.find(end, looked)) < 0:
            looked = len(held)
            if len(held) > most:
                raise RsyncError(f"a line of more than {most} bytes")
            await (self._unpack() if self.mux_in else self._more())
        if at > most:
            raise RsyncError(f"a line of more than {most} bytes")
        got = bytes(held[:at])
        del held[: at + len(end)]
        return got

    def unread(self) -> None:
        """What came before frames began was plain: from here on all that is fed is frames."""
        self.mux_in = True

    # ---- writing

    def put(self, data: bytes) -> None:
        """Data, sent with the next `flush`."""
        self.out += data

    def _pack(self) -> None:
        if not self.out:
            return
        out, self.out = self.out, bytearray()
        if not self.mux_out:
            self._hand(bytes(out))
            return
        for at in range(0, len(out), PIECE):
            piece = out[at : at + PIECE]
            self._hand(U32.pack(BASE << 24 | len(piece)) + piece)

    def _hand(self, data: bytes) -> None:
        self.put_bytes += len(data)
        self._write(data)

    def message(self, tag: int, data: bytes) -> None:
        """A message between the data; before frames, as a plain line, which only errors may be."""
        self._pack()
        if self.mux_out:
            self._hand(U32.pack((BASE + tag) << 24 | len(data)) + data)

    async def flush(self) -> None:
        self._pack()
        await self._drain()

    def start_frames_out(self) -> None:
        self._pack()
        self.mux_out = True
