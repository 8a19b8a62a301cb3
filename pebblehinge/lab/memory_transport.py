"""Transports of the in-memory network: connections and datagrams, with the faults of their links."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

HIGH_WATER_BYTES = 1 << 16  # unread bytes of one direction above which the writer is paused
LOW_WATER_BYTES = 1 << 14
MAX_QUEUED_DATAGRAMS = 512  # unread by a process; further ones are lost, as with a full socket buffer


class Listener:
    """A listening socket, as `create_server` returns it."""

    def __init__(self, net: Any, key: tuple[str, int]) -> None:
        self.net, self.key = net, key
        self.sockets: list[Any] = []

    def close(self) -> None:
        registered = self.net.listening.get(self.key)
        if registered is not None and registered[2] is self:
            del self.net.listening[self.key]

    async def wait_closed(self) -> None:
        pass


class Pipe:
    """One direction of a connection: delivers bytes in order, with the delays and faults of its link."""

    def __init__(self, net: Any, source: MemoryTransport, to: MemoryTransport) -> None:
        self.net, self.source, self.to = net, source, to
        self.queue: deque[tuple[bytes | None, str]] = deque()  # bytes of kind data; None of kind eof or reset
        self.unread = 0
        self.free_at = 0.0  # when the link has transmitted the earlier writes
        self.moving = False
        net.pipes[self] = None
        net.pipes_by_nodes.setdefault(self.node_names, {})[self] = None

    @property
    def node_names(self) -> frozenset[str]:
        return frozenset((self.source.node.name, self.to.node.name))

    def put(self, data: bytes | None, kind: str = "data") -> None:
        self.net.send_counts[(self.source.node.name, self.to.node.name)] += 1
        self.queue.append((data, kind))
        if data is not None:
            self.unread += len(data)
            if self.unread > HIGH_WATER_BYTES and not self.source.writer_paused:
                self.source.writer_paused = True
                self.source.node.call_soon(self.source.protocol.pause_writing)
        self.resume()

    def resume(self) -> None:
        """Starts the delivery of the first queued item, unless one is in flight or the pipe is blocked or paused."""
        if self.moving or not self.queue or self.to.reading_paused:
            return
        link = self.net.link(self.source.node.name, self.to.node.name)
        if link.blocked:
            return
        data, kind = self.queue[0]
        loop = self.net.loop
        if data and link.break_probability and self.net.rng.random() < link.break_probability:
            break_offset = self.net.rng.randrange(len(data) + 1)
            self._break(data[:break_offset])
            return
        if data and link.reset_after_bytes is not None:
            if len(data) >= link.reset_after_bytes:
                reset_offset, link.reset_after_bytes = link.reset_after_bytes, None
                self._break(data[:reset_offset])
                return
            link.reset_after_bytes -= len(data)
        at = max(loop.now, self.free_at)
        if link.rate and data:
            at += len(data) / link.rate / 1000.0
        self.free_at = at
        self.moving = True
        loop.call_at(at + self.net.delay(link), self._arrive)

    def cut_off(self) -> None:
        """Resets the connection at both ends; queued data is lost."""
        self._break(b"")

    def _break(self, last: bytes) -> None:
        """Resets the connection in both directions after delivering `last`, the bytes before the reset."""
        self.queue.clear()
        if last:
            self.queue.append((last, "data"))
        self.queue.append((None, "reset"))
        self.moving = True
        self.net.loop.call_later(self.net.delay(self.net.default_link), self._arrive)
        self.source.lose(ConnectionResetError(104, "connection reset"))

    def _arrive(self) -> None:
        self.moving = False
        if not self.queue:
            return
        if self.to.reading_paused or self.net.link(self.source.node.name, self.to.node.name).blocked:
            return  # resume_reading or heal resumes the delivery
        # Delivers all queued writes together: a stream keeps no boundaries between writes.
        data, kind = self.queue.popleft()
        if data is not None:
            while self.queue and self.queue[0][0] is not None and len(data) < HIGH_WATER_BYTES:
                if self.net.default_link.rate or self.net.link(self.source.node.name, self.to.node.name).rate:
                    break
                data += self.queue.popleft()[0] or b""
            self.unread -= len(data)
            self.to.deliver(data)
            if self.source.writer_paused and self.unread <= LOW_WATER_BYTES:
                self.source.writer_paused = False
                self.source.node.call_soon(self.source.protocol.resume_writing)
        elif kind == "eof":
            self.to.end()
        else:
            self.to.lose(ConnectionResetError(104, "connection reset"))
        self.resume()

    def drop(self) -> None:
        self.queue.clear()
        self.net.pipes.pop(self, None)
        registered = self.net.pipes_by_nodes.get(self.node_names, {})
        registered.pop(self, None)
        if not registered:
            self.net.pipes_by_nodes.pop(self.node_names, None)


class MemoryTransport(asyncio.Transport):
    """One end of a connection, as an asyncio transport."""

    def __init__(self, node: Any, protocol: Any, peer: tuple[str, int]) -> None:
        super().__init__()
        self.node, self.protocol, self.peer = node, protocol, peer
        self.out: Pipe
        self.closing = self.lost = False
        self.reading_paused = self.writer_paused = False
        node.transports[self] = None

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.peer if name == "peername" else default

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: bytes) -> None:
        if not self.closing and not self.lost and data:
            self.out.put(bytes(data))

    def get_write_buffer_size(self) -> int:
        return self.out.unread

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            incoming = self.out.to.out
            self.node.call_soon(incoming.resume)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.out.put(None, "eof")
            self.node.call_soon(self.lose, None)

    def abort(self) -> None:
        if not self.lost:
            self.closing = True
            self.out.queue.clear()
            self.out.put(None, "reset")
            self.node.call_soon(self.lose, None)

    def deliver(self, data: bytes) -> None:
        if not self.lost and not self.closing:
            self.node.call_soon(self._received, data)

    def _received(self, data: bytes) -> None:
        if not self.lost and not self.closing:
            self.protocol.data_received(data)

    def end(self) -> None:
        if not self.lost:
            self.node.call_soon(self._ended)

    def _ended(self) -> None:
        if not self.lost and not self.protocol.eof_received():
            self.close()

    def lose(self, exc: Exception | None) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.node.transports.pop(self, None)
            self.out.to.out.drop()
            self.node.call_soon(self.protocol.connection_lost, exc)


class MemoryDatagramTransport(asyncio.DatagramTransport):
    """Sends and receives datagrams at one address; each may be lost, delayed or duplicated."""

    def __init__(self, node: Any, protocol: Any, address: tuple[str, int]) -> None:
        super().__init__()
        self.node, self.protocol, self.address = node, protocol, address
        self.closing = False
        self.waiting = 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self.closing

    def sendto(self, data: Any, addr: Any = None) -> None:
        if not self.closing:
            self.node.loop.net.send_datagram(self, bytes(data), tuple(addr))

    def deliver(self, data: bytes, source: tuple[str, int]) -> None:
        if not self.closing and not self.node.dead and self.waiting < MAX_QUEUED_DATAGRAMS:
            self.waiting += 1
            self.node.call_soon(self._received, data, source)

    def _received(self, data: bytes, source: tuple[str, int]) -> None:
        self.waiting -= 1
        if not self.closing:
            self.protocol.datagram_received(data, source)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.node.loop.net.unbind(self)
            self.node.call_soon(self.protocol.connection_lost, None)

    abort = close
