"""The relay through which processes of a fleet reach each other: TCP connections and datagrams, by pair and direction.

A process started by `process_environment` opens each outgoing connection to the relay and sends one line with its own
name and the destination. The relay connects there and answers with one byte, which reports success or a refusal; on a
blocked link it waits.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from pebblehinge.lab.faults.link_faults import HEALTHY_LINK, LinkState
from pebblehinge.lab.faults.relay_endpoint import RelayEndpoint

MAX_LINE_BYTES = 512
CONNECTED, REFUSED = b"+", b"-"


class RelayRequest(asyncio.Protocol):
    """A connection that has not sent its destination yet."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.line = relay, b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.line += data
        if b"\n" in self.line:
            line, _, rest = self.line.partition(b"\n")
            words = line.decode("utf-8", "replace").split(" ")
            if len(words) == 3 and words[2].isdigit() and not rest:
                self.relay.loop.create_task(self._connect(words[0], words[1], int(words[2])))
                return
            self.transport.abort()
        elif len(self.line) > MAX_LINE_BYTES:
            self.transport.abort()

    async def _connect(self, source: str, host: str, port: int) -> None:
        relay = self.relay
        to = relay.bound_for(source, host, port)
        await relay.passable(source, to)
        await relay.passable(to, source)
        if self.transport.is_closing():
            return
        far = RelayEndpoint(relay, to, source)
        try:
            await relay.loop.create_connection(lambda: far, host, port)
        except OSError:
            self.transport.write(REFUSED)
            self.transport.close()
            return
        near = RelayEndpoint(relay, source, to)
        near.other, far.other = far, near
        if self.transport.is_closing():
            far.cut_off()
            return
        near.connection_made(self.transport)
        self.transport.set_protocol(near)
        self.transport.write(CONNECTED)
        far.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        pass


class DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams: `source host port own_host own_port`, a line end, then the payload."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        head, _, rest = data.partition(b"\n")
        words = head.decode("utf-8", "replace").split(" ")
        if len(words) != 5 or not (words[2].isdigit() and words[4].isdigit()):
            return
        source, host, port = words[0], words[1], int(words[2])
        relay = self.relay
        to = relay.bound_for(source, host, port)
        state = relay.link_state(source, to)
        if state.blocked or (state.lose and relay.rng.random() < state.lose):
            return
        payload = f"{words[3]} {words[4]}\n".encode() + rest
        for _ in range(2 if state.repeat and relay.rng.random() < state.repeat else 1):
            relay.loop.call_later(state.delay_ms / 1000.0, self._send, payload, (host, port))

    def _send(self, data: bytes, to: tuple[str, int]) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, to)


class Relay:
    """Forwards all traffic of a fleet. `names` maps each listening address to its process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, names: dict[str, str], seed: int) -> None:
        self.loop, self.names, self.rng = loop, names, random.Random(f"{seed}/relay")
        self.ways: dict[tuple[str, str], LinkState] = {}
        self.ends: dict[RelayEndpoint, None] = {}
        self.count: Counter[tuple[str, str]] = Counter()
        self.waiting: dict[tuple[str, str], list[asyncio.Future[None]]] = {}
        self.server: Any = None
        self.udp: Any = None
        self.late_ms = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.address = self.datagrams = ("", 0)

    async def start(self, host: str) -> None:
        """Listens on free ports of a host."""
        self.server = await self.loop.create_server(lambda: RelayRequest(self), host, 0, backlog=4096)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.udp, _ = await self.loop.create_datagram_endpoint(lambda: DatagramForwarder(self), local_addr=(host, 0))
        self.datagrams = self.udp.get_extra_info("sockname")[:2]
        self._measure_lateness(self.loop.time())

    def _measure_lateness(self, expected: float) -> None:
        """Measures the delay of this loop, which delays all relayed traffic equally."""
        self.late_ms = max(self.late_ms, (self.loop.time() - expected) * 1000.0)
        at = self.loop.time() + 0.02
        self.timer = self.loop.call_at(at, self._measure_lateness, at)

    def close(self) -> None:
        self.server.close()
        self.udp.close()
        if self.timer is not None:
            self.timer.cancel()
        for end in list(self.ends):
            end.cut_off()

    def set_link(self, source: str, to: str, state: LinkState) -> None:
        """Sets the state of one direction."""
        self.ways[(source, to)] = state
        if not state.blocked:
            for future in self.waiting.pop((source, to), []):
                if not future.done():
                    future.set_result(None)
        for end in [e for e in self.ends if (e.source, e.to) == (source, to)]:
            end.flush()

    def bound_for(self, source: str, host: str, port: int) -> str:
        """Counts an attempt and returns the process behind an address; an unknown address is its own name."""
        to = self.names.get(f"{host}:{port}", f"{host}:{port}")
        self.count[(source, to)] += 1
        return to

    async def passable(self, source: str, to: str) -> None:
        while self.link_state(source, to).blocked:
            future = self.loop.create_future()
            self.waiting.setdefault((source, to), []).append(future)
            await future

    def link_state(self, source: str, to: str) -> LinkState:
        return self.ways.get((source, to), HEALTHY_LINK)

    def between(self, a: str, b: str) -> list[RelayEndpoint]:
        return [e for e in self.ends if {e.source, e.to} == {a, b}]

    def reset(self, a: str, b: str) -> int:
        found = self.between(a, b)
        for end in found:
            end.cut_off()
        return len(found) // 2

    def half_open(self, a: str, b: str) -> int:
        """Resets b's side of each connection between them; a's side stays open, and its data is dropped."""
        found = [e for e in self.between(a, b) if e.source == b and not e.is_half_open]
        for end in found:
            end.cut_off()
        return len(found)
