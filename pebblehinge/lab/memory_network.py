"""A network in memory: listening addresses, and the ways between nodes."""

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
    """How bytes go from one node to another."""

    delay_ms: float = 0.2
    jitter: float = 0.2  # part of the delay, drawn anew for each write
    rate: float = 0.0  # bytes a millisecond; 0: as fast as the delay allows
    blocked: bool = False  # a partition: what is sent stays on the way until it heals
    lose: float = 0.0  # chance that a connection breaks at a write
    reset_after_bytes: int | None = None  # a reset after so many more bytes, in the middle of a frame if need be
    drop: float = 0.0  # chance of a datagram to be lost
    duplicate_chance: float = 0.0  # chance of one to come twice


class MemoryNetwork:
    """Listening addresses and the ways between nodes."""

    def __init__(self, loop: Any, seed: int) -> None:
        self.loop = loop
        self.rng = random.Random(f"{seed}/net")
        self.listening: dict[tuple[str, int], tuple[Any, Callable[[], Any], Listener]] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.pipes: dict[Pipe, None] = {}
        self.pipes_by_nodes: dict[frozenset[str], dict[Pipe, None]] = {}  # the same by the two nodes that they join
        self.datagram_ends: dict[tuple[str, int], MemoryDatagramTransport] = {}
        self.send_counts: Counter[tuple[str, str]] = Counter()  # what wanted to pass, by direction

    def link(self, source: str, to: str) -> Link:
        return self.links.get((source, to), self.default_link)

    def own_link(self, source: str, to: str) -> Link:
        """The way of this pair alone, to be altered."""
        if (source, to) not in self.links:
            u = self.default_link
            self.links[(source, to)] = replace(u)
        return self.links[(source, to)]

    def partition(self, some: list[str], others: list[str], both: bool = True) -> None:
        """Nothing of `some` reaches `others`; with `both`, nor the other way."""
        for a in some:
            for b in others:
                self.own_link(a, b).blocked = True
                if both:
                    self.own_link(b, a).blocked = True

    def heal(self, some: list[str], others: list[str]) -> None:
        """What stood on the way goes on, as TCP would send it again."""
        for a in some:
            for b in others:
                self.own_link(a, b).blocked = False
                self.own_link(b, a).blocked = False
        for pipe in list(self.pipes):
            pipe.resume()

    def delay(self, link: Link) -> float:
        return link.delay_ms * (1.0 + link.jitter * self.rng.random()) / 1000.0

    async def connect(self, node: Any, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        key = (host, port)
        there = self.listening.get(key)
        name = there[0].name if there else host
        self.send_counts[(node.name, name)] += 1
        there_way, back = self.link(node.name, name), self.link(name, node.name)
        if there_way.blocked or back.blocked:
            await asyncio.sleep(20.0)
            raise TimeoutError(f"{host}:{port}: no answer")
        await asyncio.sleep(self.delay(there_way) + self.delay(back))
        there = self.listening.get(key)
        if there is None or there[0].dead:
            raise ConnectionRefusedError(111, f"{host}:{port}: connection refused")
        if node.dead:
            raise ConnectionAbortedError("the node is gone")
        other, make, _ = there
        protocol, answering = factory(), make()
        ours, theirs = MemoryTransport(node, protocol, key), MemoryTransport(other, answering, (node.name, 0))
        ours.out, theirs.out = Pipe(self, ours, theirs), Pipe(self, theirs, ours)
        # A frozen process has its connections accepted all the same; it hears of them when it thaws.
        other.call_soon(answering.connection_made, theirs)
        protocol.connection_made(ours)
        return ours, protocol

    def pipes_between(self, a: str, b: str) -> list[Pipe]:
        """The directions of all connections between two nodes."""
        return list(self.pipes_by_nodes.get(frozenset((a, b)), ()))

    def reset(self, a: str, b: str) -> int:
        """All connections between them end, told to both; how many there were."""
        found = [p for p in self.pipes_between(a, b) if p.source.node.name == a and not p.source.lost]
        for pipe in found:
            pipe.cut_off()
        return len(found)

    def half_open(self, a: str, b: str) -> int:
        """All connections between them end, told to b alone: a believes that they stand."""
        found = [p for p in self.pipes_between(a, b) if p.source.node.name == a and not p.to.lost]
        for pipe in found:
            pipe.to.lose(ConnectionResetError(104, "connection reset"))
        return len(found)

    # ---- datagrams

    def bind(self, node: Any, protocol: Any, address: tuple[str, int]) -> MemoryDatagramTransport:
        if address in self.datagram_ends:
            raise OSError(98, f"{address[0]}:{address[1]}: address already in use")
        end = self.datagram_ends[address] = MemoryDatagramTransport(node, protocol, address)
        return end

    def unbind(self, end: MemoryDatagramTransport) -> None:
        if self.datagram_ends.get(end.address) is end:
            del self.datagram_ends[end.address]

    def send_datagram(self, end: MemoryDatagramTransport, data: bytes, to: tuple[str, int]) -> None:
        """A datagram leaves: it comes once, twice or not at all, each with a delay of its own."""
        there = self.datagram_ends.get(to)
        if there is None:
            return
        self.send_counts[(end.node.name, there.node.name)] += 1
        link = self.link(end.node.name, there.node.name)
        if link.blocked or (link.drop and self.rng.random() < link.drop):
            return
        for _ in range(2 if link.duplicate_chance and self.rng.random() < link.duplicate_chance else 1):
            self.loop.call_at(self.loop.now + self.delay(link), there.deliver, data, end.address)
