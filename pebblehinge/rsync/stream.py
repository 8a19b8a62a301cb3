"""The bytes of one connection in both directions, plain or multiplexed. Without I/O: bytes are fed and handed on.

In the multiplexed form each frame is a 32-bit little-endian word, `(7 + tag) << 24 | length`, followed by its bytes.
Tag 0 is data; the other tags are messages, which may stand anywhere between data.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable

from pebblehinge.rsync.errors import ConnectionClosedError, RsyncError

TAG_BASE = 7
"""What is added to a tag in the header of a frame."""

TAG_DATA = 0
TAG_ERROR_XFER = 1
TAG_INFO = 2
TAG_ERROR = 3
TAG_WARNING = 4
TAG_REDO = 9
TAG_IO_ERROR = 22
TAG_IO_TIMEOUT = 33
TAG_NOOP = 42
TAG_ERROR_EXIT = 86
TAG_SUCCESS = 100
TAG_DELETED = 101
TAG_NO_SEND = 102

FRAME_HEADER = struct.Struct("<I")
LENGTH_MASK = 0xFFFFFF

MAX_MESSAGE_BYTES = 1 << 16
"""Longest message that is taken."""

FRAME_BYTES = 1 << 15
"""Data bytes in one frame that is sent, at most."""

MAX_LINE_BYTES = 4096

YIELD_STEPS = 256
"""Steps of work (numbers read, entries looked at) after which other tasks run; some tenths of a millisecond."""


class Stream:
    """Reads and writes the bytes of one connection.

    Attributes:
        unflushed: What was put and not yet flushed.
        mux_in: Whether what comes is multiplexed.
        mux_out: Whether what is sent is multiplexed.
        ended: Whether the other side has closed its end.
        on_message: Called with the tag and the bytes of each message that comes between the data.
        bytes_received: Bytes fed so far.
        bytes_sent: Bytes handed on so far.
    """

    def __init__(
        self,
        wait: Callable[[], Awaitable[None]],
        write: Callable[[bytes], None],
        drain: Callable[[], Awaitable[None]],
        yield_control: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates a plain stream.

        Args:
            wait: Awaited until more bytes are fed or the stream ends.
            write: Hands bytes to the transport.
            drain: Awaited while the other side does not read.
            yield_control: Awaited now and then, so that other tasks run though there is always something to read.
        """
        self._wait = wait
        self._write = write
        self._drain = drain
        self._yield_control = yield_control
        self._steps = 0
        self._received = bytearray()  # as it came
        self._data = bytearray()  # taken out of frames
        self._frame_left = 0  # data bytes of the open frame that are still to come
        self.unflushed = bytearray()
        self.mux_in = False
        self.mux_out = False
        self.ended = False
        self.on_message: Callable[[int, bytes], None] = lambda tag, data: None
        self.bytes_received = 0
        self.bytes_sent = 0

    # ---- from the transport

    def feed(self, data: bytes) -> None:
        """Takes bytes that came."""
        self._received += data
        self.bytes_received += len(data)

    def end(self) -> None:
        """Notes that nothing more comes."""
        self.ended = True

    @property
    def unread_bytes(self) -> int:
        """Bytes that came and were not read yet: the transport stops reading while there are many."""
        return len(self._received) + len(self._data)

    # ---- reading

    async def _wait_for_bytes(self) -> None:
        if self.ended:
            raise ConnectionClosedError()
        await self._wait()

    async def _take_received(self, count: int) -> bytes:
        while len(self._received) < count:
            await self._wait_for_bytes()
        taken = bytes(self._received[:count])
        del self._received[:count]
        return taken

    async def _unpack(self) -> None:
        """Moves what is here of the next data frame to `_data`; messages before it go to `on_message`."""
        while not self._frame_left:
            word = FRAME_HEADER.unpack(await self._take_received(FRAME_HEADER.size))[0]
            tag, length = (word >> 24) - TAG_BASE, word & LENGTH_MASK
            if tag < 0:
                raise RsyncError(f"a frame with tag {tag}: this is no multiplexed stream")
            if tag == TAG_DATA:
                self._frame_left = length
                if not length:
                    return
            else:
                if length > MAX_MESSAGE_BYTES:
                    raise RsyncError(f"a message of {length} bytes: at most {MAX_MESSAGE_BYTES} are taken")
                self.on_message(tag, await self._take_received(length))
        while not self._received:
            await self._wait_for_bytes()
        taken = min(self._frame_left, len(self._received))
        self._data += self._received[:taken]
        del self._received[:taken]
        self._frame_left -= taken

    async def yield_after_work(self, steps: int = 1) -> None:
        """Counts steps of work, and lets other tasks run once there were `YIELD_STEPS` of them."""
        self._steps += steps
        if self._steps >= YIELD_STEPS:
            self._steps = 0
            await self._yield_control()

    async def take(self, count: int) -> bytes:
        """Returns exactly `count` bytes of data; raises ConnectionClosedError if they don't come."""
        await self.yield_after_work()
        if not self.mux_in:
            return await self._take_received(count)
        while len(self._data) < count:
            await self._unpack()
        taken = bytes(self._data[:count])
        del self._data[:count]
        return taken

    async def take_available(self, max_bytes: int) -> bytes:
        """Returns the data that is here, at least one byte and at most `max_bytes`."""
        await self.yield_after_work()
        if not self.mux_in:
            while not self._received:
                await self._wait_for_bytes()
            return await self._take_received(min(max_bytes, len(self._received)))
        while not self._data:
            await self._unpack()
        return await self.take(min(max_bytes, len(self._data)))

    async def line(self, end: bytes = b"\n", max_bytes: int = MAX_LINE_BYTES) -> bytes:
        """Returns the bytes up to `end`, without it; raises RsyncError for a longer line than `max_bytes`."""
        buffer = self._data if self.mux_in else self._received
        searched = 0
        while (position := buffer.find(end, searched)) < 0:
            searched = len(buffer)
            if len(buffer) > max_bytes:
                raise RsyncError(f"a line of more than {max_bytes} bytes")
            await (self._unpack() if self.mux_in else self._wait_for_bytes())
        if position > max_bytes:
            raise RsyncError(f"a line of more than {max_bytes} bytes")
        line = bytes(buffer[:position])
        del buffer[: position + len(end)]
        return line

    def start_frames_in(self) -> None:
        """From here on, what is fed is multiplexed, also what was not read yet."""
        self.mux_in = True

    # ---- writing

    def put(self, data: bytes) -> None:
        """Adds data, which is sent with the next `flush`."""
        self.unflushed += data

    def _pack(self) -> None:
        if not self.unflushed:
            return
        data, self.unflushed = self.unflushed, bytearray()
        if not self.mux_out:
            self._send(bytes(data))
            return
        for start in range(0, len(data), FRAME_BYTES):
            piece = data[start : start + FRAME_BYTES]
            self._send(FRAME_HEADER.pack(TAG_BASE << 24 | len(piece)) + piece)

    def _send(self, data: bytes) -> None:
        self.bytes_sent += len(data)
        self._write(data)

    def message(self, tag: int, data: bytes) -> None:
        """Sends a message between the data; nothing where the stream is not multiplexed yet."""
        self._pack()
        if self.mux_out:
            self._send(FRAME_HEADER.pack((TAG_BASE + tag) << 24 | len(data)) + data)

    async def flush(self) -> None:
        """Sends what was put, and waits while the other side does not read."""
        self._pack()
        await self._drain()

    def start_frames_out(self) -> None:
        """From here on, what is put is multiplexed."""
        self._pack()
        self.mux_out = True
