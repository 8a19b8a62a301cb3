"""Connections through the relay: forwards bytes, end of file and closing in order, as the state of the link allows."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import Any, Protocol

from pebblehinge.lab.faults.link_faults import LinkState

MAX_BUFFERED_BYTES = 1 << 16  # bytes buffered for one direction before reading from its sender pauses


class RelayContext(Protocol):
    """What an endpoint uses of its relay."""

    loop: asyncio.AbstractEventLoop
    ends: dict[RelayEndpoint, None]
    count: dict[tuple[str, str], int]

    def link_state(self, source: str, to: str) -> LinkState: ...


class RelayEndpoint(asyncio.Protocol):
    """One side of a relayed connection: what it receives is sent by `other` when the link allows it."""

    def __init__(self, relay: RelayContext, source: str, to: str) -> None:
        self.relay, self.source, self.to = relay, source, to
        self.transport: Any = None
        self.other: RelayEndpoint | None = None
        self.queue: deque[tuple[float, str, bytes]] = deque()  # due time in s; data, eof, closed or broken; bytes
        self.buffered_bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.read_paused = self.write_paused = False  # write_paused: the write buffer is full
        self.got_eof = self.sent_eof = self.closed = self.is_half_open = False  # is_half_open: received data is dropped

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.relay.ends[self] = None

    def data_received(self, data: bytes) -> None:
        self.enqueue("data", data)

    def eof_received(self) -> bool:
        self.got_eof = True
        self.enqueue("eof")
        self._close_if_done()
        return not self.is_half_open  # the other direction, if there is one, stays open

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.enqueue("closed" if exc is None else "broken")

    def enqueue(self, what: str, data: bytes = b"") -> None:
        relay = self.relay
        relay.count[(self.source, self.to)] += 1
        if self.is_half_open:
            self._forget()
            return
        state = relay.link_state(self.source, self.to)
        self.queue.append((relay.loop.time() + state.delay_ms / 1000.0, what, data))
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES and not self.read_paused and not self.closed:
            self.read_paused = True
            self.transport.pause_reading()
        self.flush()

    def flush(self) -> None:
        """Forwards what is due and schedules a call for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        relay, other = self.relay, self.other
        while self.queue and other is not None and not other.write_paused:
            state = relay.link_state(self.source, self.to)
            if state.blocked:
                return
            at, what, data = self.queue[0]
            wait = at - relay.loop.time()
            if wait > 0:
                self.timer = relay.loop.call_later(wait, self.flush)
                return
            self.queue.popleft()
            some = data[: max(1, int(state.rate / 100.0))] if state.rate and data else data
            if len(some) < len(data):
                self.queue.appendleft((relay.loop.time() + 0.01, what, data[len(some) :]))
            self.buffered_bytes -= len(some)
            other.send_event(what, some)
        if self.read_paused and self.buffered_bytes <= MAX_BUFFERED_BYTES // 2 and not self.closed:
            self.read_paused = False
            self.transport.resume_reading()
        self._forget()

    def send_event(self, what: str, data: bytes) -> None:
        """Sends an event of the other side on this connection."""
        if self.closed or self.transport.is_closing():
            return
        if what == "data":
            self.transport.write(data)
        elif what == "eof":
            self.sent_eof = True
            try:
                self.transport.write_eof()
            except OSError:  # reset in the meantime; the loop has not reported it yet
                return
            self._close_if_done()
        elif what == "closed":
            self.transport.close()
        else:
            reset(self.transport)

    def _close_if_done(self) -> None:
        if self.got_eof and self.sent_eof and not self.closed:
            self.transport.close()

    def _forget(self) -> None:
        """Drops an endpoint that is closed and has nothing left to forward."""
        if self.closed and not self.queue:
            self.relay.ends.pop(self, None)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.other is not None:
            self.other.flush()

    def cut_off(self) -> None:
        """Resets this side; the other side is not notified, and what it sends is dropped."""
        if self.other is not None:
            self.other.is_half_open = True
            self.other.queue.clear()
        self.is_half_open = True
        self.queue.clear()
        if not self.closed:
            reset(self.transport)


def reset(transport: Any) -> None:
    """Closes a connection with a TCP reset, even if the peer has unread data."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
