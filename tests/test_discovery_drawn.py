"""The watch of discovery in virtual time: whatever failed, a change is known within 6 s of when it could be."""

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

TOLD_S = 6.0  # the operators' bound, and what a head needs to act on a list beside it
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DAMAGED = b'{"version": 9, "full": tru}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Agent(asyncio.Protocol):
    """A connection to an agent that does what its world says as a request comes; one that stands tells changes."""

    def __init__(self, world: World) -> None:
        self.world, self.requests = world, RequestParser()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.requests.feed(data)
        if self.requests.next() is not None:
            self.world.asked(self)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class World:
    """An agent that fails in drawn ways up to `back_s`, from when on it can be reached and has version 2. What was
    silent then stays silent: a watch does not come back to life."""

    MODES = ("refused", "blocked", "mute", "503", "damaged", "ends", "standing", "stands, then mute")

    def __init__(self, rng: random.Random) -> None:
        self.loop = VirtualLoop(seed=rng.randrange(1 << 30))
        self.head, self.agent = self.loop.node("head"), self.loop.node("agent")
        self.rng, self.mode, self.standing = rng, "standing", []  # type: ignore[var-annotated]
        self.seen: list[tuple[float, int]] = []
        self.back_s = 0.0

    def asked(self, peer: Agent) -> None:
        if self.mode == "503":
            peer.write(b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n")
        elif self.mode == "damaged":
            peer.write(HEAD + chunk(DAMAGED))
        elif self.mode == "ends":
            peer.write(HEAD + b"0\r\n\r\n")
        elif self.mode != "mute":
            peer.write(HEAD)
            if self.mode == "back":
                peer.write(chunk(json.dumps(listing(2)).encode() + b"\n"))
            self.standing.append(peer)

    async def beats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for peer in self.standing:
                peer.write(chunk(b"\n"))

    async def turn(self, mode: str) -> None:
        self.loop.net.own_way("head", "agent").blocked = mode == "blocked"
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if mode not in ("refused", "standing"):
            self.standing.clear()  # what stands falls silent, and stays open
        if mode != "refused":
            self.listener = await self.agent.create_server(lambda: Agent(self), "10.0.0.9", 8500)
        self.mode = mode

    async def play(self) -> None:
        self.listener: Any = None
        await self.turn("standing")
        watch = DiscoveryWatch(
            self.head,
            ("10.0.0.9", 8500),
            random.Random(self.rng.random()),  # type: ignore[arg-type]
            lambda told: self.seen.append((self.loop.now, told.version)),
            lambda *a, **k: None,
        )
        beats = self.loop.create_task(self.beats())
        watch.start()

        def look() -> None:
            watch.check_silence()
            self.head.call_later(0.1, look)

        look()
        for _ in range(self.rng.randrange(1, 5)):
            await self.turn(self.rng.choice(self.MODES))
            await asyncio.sleep(self.rng.uniform(0.05, 9.0))
        self.back_s = self.loop.now
        await self.turn("back")
        await asyncio.sleep(TOLD_S + 4.0)
        watch.stop()
        beats.cancel()


def lateness(seed: int) -> float:
    world = World(random.Random(seed))
    world.loop.run_until_complete(world.play())
    assert world.loop.caught == []
    return min((at for at, version in world.seen if version == 2), default=float("inf")) - world.back_s


def test_after_any_failures_a_list_is_there_within_its_time() -> None:
    """A watch that had fallen silent was given up after 6.5 s, pauses grew to 3 s and a connection had 2 s to come up:
    with two of them in a row a drain was learned of after its time."""
    late = [lateness(seed) for seed in range(150)]
    assert max(late) <= discovery.max_list_delay_s() + 0.2 < TOLD_S - 0.5
    assert max(late) > 1.0  # the bad orders did happen


def test_the_bound_is_passed_where_the_waits_are_as_they_were(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("SILENCE_RECONNECT_S", 6.5),
        ("SILENCE_CLOSE_S", 6.5),
        ("CONNECT_TIMEOUT_S", 2.0),
        ("BACKOFF_RANGE_S", (0.05, 2.0)),
    ):
        monkeypatch.setattr(discovery, name, value)
    assert max(lateness(seed) for seed in range(60)) > TOLD_S
