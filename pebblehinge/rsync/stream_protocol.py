"""The transport's end of a `Stream`: an asyncio protocol on which a coroutine reads and writes.

It stops reading while much is unread, cuts a connection on which nothing moves, and sends empty frames while this side
is busy for long, so that the other side keeps waiting.
"""

from __future__ import annotations

import asyncio
from typing import Any

from pebblehinge.rsync.errors import ConnectionClosedError
from pebblehinge.rsync.stream import TAG_DATA, Stream

HIGH_WATER_BYTES = 256 << 10
"""Unread bytes above which reading stops."""

LOW_WATER_BYTES = 64 << 10
"""Unread bytes below which reading goes on."""

MIN_CHECK_INTERVAL_S = 0.05
CHECKS_PER_STALL_TIME = 4


class StreamProtocol(asyncio.Protocol):
    """Feeds a `Stream` from a transport. A connection on which nothing moves for the stall time is cut.

    Attributes:
        loop: Creates futures and timers.
        stream: What the protocol's coroutine reads and writes.
        transport: The connection, once it is established.
        lost: Whether the connection is gone.
        why: Why this side cut the connection, or "".
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, stall_ms: float) -> None:
        self.loop = loop
        self.stream = Stream(self._wait, self._write, self._drain, self._yield_control)
        self.transport: Any = None
        self.lost = False
        self.why = ""
        self._stall_s = stall_ms / 1000.0
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writing_paused = False
        self._last_progress_s = loop.time()  # when bytes last went either way
        self._last_sent_s = loop.time()
        self._unsent_bytes = 0
        self._check_timer: asyncio.TimerHandle | None = None

    # ---- from the transport

    def connection_made(self, transport: Any) -> None:
        """The connection is established."""
        self.transport = transport
        self._last_progress_s = self.loop.time()
        self._check_progress()

    def data_received(self, data: bytes) -> None:
        """Bytes came."""
        self._last_progress_s = self.loop.time()
        self.stream.feed(data)
        if self.stream.unread_bytes > HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake(self._read_waiter)

    def eof_received(self) -> bool:
        """The other side closed its end; this one goes on sending."""
        self.stream.end()
        self._wake(self._read_waiter)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.lost = True
        self.stream.end()
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._wake(self._read_waiter)
        self._wake(self._write_waiter)

    def pause_writing(self) -> None:
        """The transport's buffer is full."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """The transport takes more."""
        self._writing_paused = False
        self._last_progress_s = self.loop.time()
        self._wake(self._write_waiter)

    # ---- what the stream is given

    @staticmethod
    def _wake(future: asyncio.Future[None] | None) -> None:
        if future is not None and not future.done():
            future.set_result(None)

    async def _wait(self) -> None:
        if self._reading_paused and self.stream.unread_bytes < LOW_WATER_BYTES:
            self._reading_paused = False
            if not self.lost:
                self.transport.resume_reading()
        if self.stream.ended:
            return
        self._read_waiter = self.loop.create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def _write(self, data: bytes) -> None:
        if not self.lost:
            self._last_sent_s = self.loop.time()
            self.transport.write(data)

    async def _drain(self) -> None:
        if self.lost:
            raise ConnectionClosedError()
        if not self._writing_paused and self.transport.get_write_buffer_size() > LOW_WATER_BYTES:
            await asyncio.sleep(0)  # a transport may say only in the loop's next iteration that it is full
        while self._writing_paused and not self.lost:
            self._write_waiter = self.loop.create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None

    @staticmethod
    async def _yield_control() -> None:
        await asyncio.sleep(0)

    # ---- time

    def _check_progress(self) -> None:
        """Cuts a connection that has stalled; sends an empty frame while this side is the one that is busy."""
        interval_s = max(MIN_CHECK_INTERVAL_S, self._stall_s / CHECKS_PER_STALL_TIME)
        self._check_timer = self.loop.call_later(interval_s, self._check_progress)
        now_s = self.loop.time()
        is_waiting = self._read_waiter is not None or self._writing_paused
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._last_progress_s = now_s  # the other side takes what is sent, however slowly
        self._unsent_bytes = unsent_bytes
        if is_waiting and now_s - self._last_progress_s > self._stall_s:
            self.why = f"nothing moved for {self._stall_s:g} s"
            self.transport.abort()
        elif not is_waiting and self.stream.mux_out and now_s - self._last_sent_s > interval_s:
            self.stream.message(TAG_DATA, b"")

    def close(self) -> None:
        """Closes the connection once what was sent is gone."""
        if not self.lost:
            self.transport.close()

    def abort(self) -> None:
        """Cuts the connection at once."""
        if not self.lost:
            self.transport.abort()
