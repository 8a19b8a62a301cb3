"""The watch of discovery in virtual time: after any failure, a change is known 6 s after recovery at the latest."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
from service_rig import listing

from pebblehinge.http1 import RequestParser
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.service import discovery
from pebblehinge.service.discovery import DiscoveryWatch

MAX_LIST_DELAY_S = 6.0  # The operators' limit, and the time that a gateway needs beside it to apply a list.
RESPONSE_HEADER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DAMAGED = b'{"version": 9, "full": tru}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class AgentPeer(asyncio.Protocol):
    """The agent's end of a connection; the simulation handles its request, and an open one delivers changes."""

    def __init__(self, simulation: DiscoverySimulation) -> None:
        self.simulation, self.parser = simulation, RequestParser()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        if self.parser.next() is not None:
            self.simulation.handle_request(self)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class DiscoverySimulation:
    """A discovery agent that fails at random until `recovery_s`; from then on it is reachable and has version 2.

    A connection that was silent before stays silent: a watch does not recover.
    """

    MODES = ("refused", "blocked", "mute", "503", "damaged", "ends", "standing", "stands, then mute")

    def __init__(self, rng: random.Random) -> None:
        self.loop = VirtualLoop(seed=rng.randrange(1 << 30))
        self.gateway_node, self.agent_node = self.loop.node("head"), self.loop.node("agent")
        self.rng, self.mode, self.open_peers = rng, "standing", []  # type: ignore[var-annotated]
        self.updates: list[tuple[float, int]] = []
        self.recovery_s = 0.0

    def handle_request(self, peer: AgentPeer) -> None:
        if self.mode == "503":
            peer.write(b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n")
        elif self.mode == "damaged":
            peer.write(RESPONSE_HEADER + chunk(DAMAGED))
        elif self.mode == "ends":
            peer.write(RESPONSE_HEADER + b"0\r\n\r\n")
        elif self.mode != "mute":
            peer.write(RESPONSE_HEADER)
            if self.mode == "back":
                peer.write(chunk(json.dumps(listing(2)).encode() + b"\n"))
            self.open_peers.append(peer)

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for peer in self.open_peers:
                peer.write(chunk(b"\n"))

    async def switch_mode(self, mode: str) -> None:
        self.loop.net.own_link("head", "agent").blocked = mode == "blocked"
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if mode not in ("refused", "standing"):
            self.open_peers.clear()  # Open connections become silent and stay open.
        if mode != "refused":
            self.listener = await self.agent_node.create_server(lambda: AgentPeer(self), "10.0.0.9", 8500)
        self.mode = mode

    async def run(self) -> None:
        self.listener: Any = None
        await self.switch_mode("standing")
        watch = DiscoveryWatch(
            self.gateway_node,
            ("10.0.0.9", 8500),
            random.Random(self.rng.random()),  # type: ignore[arg-type]
            lambda update: self.updates.append((self.loop.now, update.version)),
            lambda *a, **k: None,
        )
        heartbeat_task = self.loop.create_task(self.send_heartbeats())
        watch.start()

        def check_silence() -> None:
            watch.check_silence()
            self.gateway_node.call_later(0.1, check_silence)

        check_silence()
        for _ in range(self.rng.randrange(1, 5)):
            await self.switch_mode(self.rng.choice(self.MODES))
            await asyncio.sleep(self.rng.uniform(0.05, 9.0))
        self.recovery_s = self.loop.now
        await self.switch_mode("back")
        await asyncio.sleep(MAX_LIST_DELAY_S + 4.0)
        watch.stop()
        heartbeat_task.cancel()


def measure_list_delay(seed: int) -> float:
    simulation = DiscoverySimulation(random.Random(seed))
    simulation.loop.run_until_complete(simulation.run())
    assert simulation.loop.callback_errors == []
    return (
        min((list_s for list_s, version in simulation.updates if version == 2), default=float("inf"))
        - simulation.recovery_s
    )


def test_list_arrives_within_the_limit_after_any_failures() -> None:
    """A silent watch was closed after 6.5 s, the backoff grew to 3 s and the connect timeout was 2 s.

    With two of these in a row, the gateway learned of a draining node too late.
    """
    delays_s = [measure_list_delay(seed) for seed in range(150)]
    assert max(delays_s) <= discovery.max_list_delay_s() + 0.2 < MAX_LIST_DELAY_S - 0.5
    assert max(delays_s) > 1.0  # Unfavourable orders did occur.


def test_former_timeouts_exceed_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("SILENCE_RECONNECT_S", 6.5),
        ("SILENCE_CLOSE_S", 6.5),
        ("CONNECT_TIMEOUT_S", 2.0),
        ("BACKOFF_RANGE_S", (0.05, 2.0)),
    ):
        monkeypatch.setattr(discovery, name, value)
    assert max(measure_list_delay(seed) for seed in range(60)) > MAX_LIST_DELAY_S
