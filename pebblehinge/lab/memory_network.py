"""An in-memory network: listening addresses, and the links between nodes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from pebblehinge.lab.memory_transport import Listener, MemoryDatagramTransport, MemoryTransport, Pipe


@dataclass(slots=True)
class Link:
    """Conditions in one direction between two nodes."""

    delay_ms: float = 0.2
    jitter: float = 0.2  # share of the delay, drawn for each write
    rate: float = 0.0  # bytes per millisecond; 0: limited by the delay alone
    blocked: bool = False  # partitioned: stream data stays queued until the link heals
    break_probability: float = 0.0  # probability that a connection breaks at a write
    reset_after_bytes: int | None = None  # resets after so many more bytes, even within a frame
    drop_probability: float = 0.0  # probability that a datagram is lost
    duplicate_probability: float = 0.0  # probability that a datagram arrives twice


class MemoryNetwork:
    """Listening addresses, open connections and the links between nodes."""

    def __init__(self, loop: Any, seed: int) -> None:
        self.loop = loop
        self.rng = random.Random(f"{seed}/net")
        self.listening: dict[tuple[str, int], tuple[Any, Callable[[], Any], Listener]] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.pipes: dict[Pipe, None] = {}
        self.pipes_by_nodes: dict[frozenset[str], dict[Pipe, None]] = {}  # by the two nodes connected
        self.datagram_ends: dict[tuple[str, int], MemoryDatagramTransport] = {}
        self.send_counts: Counter[tuple[str, str]] = Counter()  # attempts to send, by direction

    def link(self, source: str, destination: str) -> Link:
        return self.links.get((source, destination), self.default_link)

    def own_link(self, source: str, destination: str) -> Link:
        """Returns the link of this direction alone, which the caller may change."""
        if (source, destination) not in self.links:
            default = self.default_link
            self.links[(source, destination)] = replace(default)
        return self.links[(source, destination)]

    def partition(self, sources: list[str], destinations: list[str], both: bool = True) -> None:
        """Blocks the links from `sources` to `destinations`; with `both`, the opposite direction too."""
        for a in sources:
            for b in destinations:
                self.own_link(a, b).blocked = True
                if both:
                    self.own_link(b, a).blocked = True

    def heal(self, sources: list[str], destinations: list[str]) -> None:
        """Unblocks the links in both directions and delivers the queued data, as TCP would retransmit it."""
        for a in sources:
            for b in destinations:
                self.own_link(a, b).blocked = False
                self.own_link(b, a).blocked = False
        for pipe in list(self.pipes):
            pipe.resume()

    def delay(self, link: Link) -> float:
        return link.delay_ms * (1.0 + link.jitter * self.rng.random()) / 1000.0

    async def connect(self, node: Any, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        key = (host, port)
        server = self.listening.get(key)
        name = server[0].name if server else host
        self.send_counts[(node.name, name)] += 1
        outbound, inbound = self.link(node.name, name), self.link(name, node.name)
        if outbound.blocked or inbound.blocked:
            await asyncio.sleep(20.0)
            raise TimeoutError(f"{host}:{port}: no answer")
        await asyncio.sleep(self.delay(outbound) + self.delay(inbound))
        server = self.listening.get(key)
        if server is None or server[0].dead:
            raise ConnectionRefusedError(111, f"{host}:{port}: connection refused")
        if node.dead:
            raise ConnectionAbortedError("the node is gone")
        server_node, server_factory, _ = server
        protocol, server_protocol = factory(), server_factory()
        client_end, server_end = (
            MemoryTransport(node, protocol, key),
            MemoryTransport(server_node, server_protocol, (node.name, 0)),
        )
        client_end.out, server_end.out = Pipe(self, client_end, server_end), Pipe(self, server_end, client_end)
        # The system accepts connections for a frozen process too; the process learns of them when it thaws.
        server_node.call_soon(server_protocol.connection_made, server_end)
        protocol.connection_made(client_end)
        return client_end, protocol

    def pipes_between(self, a: str, b: str) -> list[Pipe]:
        """Returns both pipes of each connection between two nodes."""
        return list(self.pipes_by_nodes.get(frozenset((a, b)), ()))

    def reset(self, a: str, b: str) -> int:
        """Resets all connections between two nodes at both ends; returns their number."""
        open_pipes = [p for p in self.pipes_between(a, b) if p.source.node.name == a and not p.source.lost]
        for pipe in open_pipes:
            pipe.cut_off()
        return len(open_pipes)

    def half_open(self, a: str, b: str) -> int:
        """Resets all connections at node b alone: node a takes them for open. Returns their number."""
        open_pipes = [p for p in self.pipes_between(a, b) if p.source.node.name == a and not p.to.lost]
        for pipe in open_pipes:
            pipe.to.lose(ConnectionResetError(104, "connection reset"))
        return len(open_pipes)

    # ---- datagrams

    def bind(self, node: Any, protocol: Any, address: tuple[str, int]) -> MemoryDatagramTransport:
        if address in self.datagram_ends:
            raise OSError(98, f"{address[0]}:{address[1]}: address already in use")
        end = self.datagram_ends[address] = MemoryDatagramTransport(node, protocol, address)
        return end

    def unbind(self, end: MemoryDatagramTransport) -> None:
        if self.datagram_ends.get(end.address) is end:
            del self.datagram_ends[end.address]

    def send_datagram(self, end: MemoryDatagramTransport, data: bytes, destination: tuple[str, int]) -> None:
        """Delivers a datagram once, twice or not at all, each copy with a delay of its own."""
        receiver = self.datagram_ends.get(destination)
        if receiver is None:
            return
        self.send_counts[(end.node.name, receiver.node.name)] += 1
        link = self.link(end.node.name, receiver.node.name)
        if link.blocked or (link.drop_probability and self.rng.random() < link.drop_probability):
            return
        for _ in range(2 if link.duplicate_probability and self.rng.random() < link.duplicate_probability else 1):
            self.loop.call_at(self.loop.now + self.delay(link), receiver.deliver, data, end.address)
