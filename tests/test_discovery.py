"""The watch of discovery: whatever failed before, a change is known well within 6 s of when it could be."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
import uvloop
from helpers import LOOPBACK, until
from service_rig import Discovery, entry, listing

from pebblehinge.http1 import Request, Requests
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.service import discovery
from pebblehinge.service.discovery import Watch
from pebblehinge.service.lists import Objects, Told

TOLD_S = 6.0  # the operators' bound, and what a head needs to act on a list beside it
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DAMAGED = b'{"version": 9, "full": tru}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# ---- a drawn world of failures in virtual time

class Agent(asyncio.Protocol):
    """A connection to an agent that does what its world says as a request comes; one that stands tells changes."""

    def __init__(self, world: World) -> None:
        self.world, self.requests = world, Requests()

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
        watch = Watch(self.head, ("10.0.0.9", 8500), random.Random(self.rng.random()),  # type: ignore[arg-type]
                      lambda told: self.seen.append((self.loop.now, told.version)), lambda *a, **k: None)  # fmt: skip
        beats = self.loop.create_task(self.beats())
        watch.start()

        def look() -> None:
            watch.look()
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
    assert max(late) <= discovery.longest_s() + 0.2 < TOLD_S - 0.5
    assert max(late) > 1.0  # the bad orders did happen


def test_the_bound_is_passed_where_the_waits_are_as_they_were(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("SILENT_S", 6.5), ("GIVEN_UP_S", 6.5), ("CONNECT_S", 2.0), ("PAUSES_S", (0.05, 2.0))):
        monkeypatch.setattr(discovery, name, value)
    assert max(lateness(seed) for seed in range(60)) > TOLD_S


# ---- on sockets

class Gate:
    """A loop on which a connection that has come up is handed over only when a test lets it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.time, self.create_task = loop, loop.time, loop.create_task
        self.opens = asyncio.Event()

    async def create_connection(self, *args: Any) -> Any:
        made = await self.loop.create_connection(*args)
        await self.opens.wait()
        return made


class Seen:
    """A watch on sockets, with a stand-in of discovery."""

    async def start(self, gated: bool = False) -> Seen:
        loop = asyncio.get_running_loop()
        self.peer, self.told, self.said = Discovery(), [], []  # type: ignore[var-annotated]
        await self.peer.start()
        self.peer.list = listing(1, entry("s0", 5, 0))
        self.loop: Any = Gate(loop) if gated else loop
        self.watch = Watch(self.loop, (LOOPBACK, self.peer.port), random.Random(1), self.told.append,
                           lambda what, **facts: self.said.append((what, facts)))  # fmt: skip
        self.watch.start()
        return self

    def standings(self) -> dict[str, str]:
        return {e.shelf: e.standing.value for told in self.told for e in told.entries}


def on_sockets(script: Any, gated: bool = False) -> None:
    async def whole() -> None:
        seen = await Seen().start(gated)
        try:
            await asyncio.wait_for(script(seen), 10.0)
        finally:
            seen.watch.stop()

    uvloop.run(whole())


def test_a_list_that_comes_before_its_connection_is_handed_over_counts() -> None:
    """The answer came in the turn in which the connection was made; nobody knew of that connection yet, and the list
    was dropped. Discovery had told it and would not again."""

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        assert seen.told[0].version == 1
        seen.loop.opens.set()
        await until(lambda: seen.watch.trying is None)
        assert len(seen.watch.connections) == 1

    on_sockets(script, gated=True)


def test_a_connection_that_ends_before_it_is_handed_over_is_made_anew() -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        seen.peer.conns[0].transport.abort()
        await until(lambda: not seen.watch.connections)
        seen.loop.opens.set()
        await until(lambda: len(seen.peer.conns) == 2 and seen.watch.connections)

    on_sockets(script, gated=True)


def test_beside_a_silent_watch_another_is_opened_and_the_old_one_may_still_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "SILENT_S", 0.2)

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        (old,), seen.peer.does = seen.peer.conns, lambda conn, request: conn.write(HEAD)
        await asyncio.sleep(0.25)
        seen.watch.look()
        await until(lambda: len(seen.peer.conns) == 2 and len(seen.watch.connections) == 2)
        old.tell(listing(2, entry("s0", 5, 0, "Terminating"), full=False))
        await until(lambda: seen.watch.newest == 2)
        seen.peer.conns[1].tell(listing(3, entry("s0", 5, 0, "Gone"), full=False))
        await until(lambda: seen.watch.newest == 3 and old.lost)
        old_watch = seen.watch.connections
        assert len(old_watch) == 1

    on_sockets(script)


@pytest.mark.parametrize("indent", [None, 1, "\t"])
def test_lists_may_come_indented_and_in_any_pieces(indent: Any) -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        odd = 'a "quoted" {name] \\'
        text = json.dumps(listing(2, entry(odd, 5, 0), entry("s2", 5, 1)), indent=indent).encode() + b"\n\n"
        text += json.dumps(listing(3, entry("s3", 5, 2), full=False), indent=indent).encode() + b"\n"
        for at in range(0, len(text), 5):
            seen.peer.conns[0].write(chunk(text[at : at + 5]))
        await until(lambda: seen.watch.newest == 3)
        assert set(seen.standings()) == {"s0", odd, "s2", "s3"} and len(seen.peer.conns) == 1

    on_sockets(script)


def test_an_object_without_end_is_bounded() -> None:
    from pebblehinge.http1 import HttpError

    objects = Objects()
    with pytest.raises(HttpError, match="a list of more than"):
        for _ in range(60):
            objects.feed(b'{"a": [\n' + b" " * 100_000 + b"1,\n")
    objects = Objects()
    with pytest.raises(HttpError, match="a list of more than"):
        for _ in range(60):
            objects.feed(b"x" * 100_000)


def test_a_damaged_list_leaves_the_last_good_one_and_is_told_once_in_a_while() -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)

        def damaged(conn: Any, request: Request) -> None:
            conn.write(HEAD + chunk(DAMAGED))

        good, seen.peer.does = seen.peer.does, damaged
        seen.peer.conns[0].write(chunk(DAMAGED))
        await until(lambda: len(seen.peer.conns) > 4)
        assert len(seen.told) == 1 and len(seen.said) == 1
        seen.peer.does, seen.peer.list = good, listing(2, {"id": 4}, entry("s0", 5, 0, "Terminating"))
        await until(lambda: seen.watch.newest == 2)
        assert seen.standings() == {"s0": "draining"}

    on_sockets(script)


def test_a_list_that_goes_back_is_asked_for_whole_and_brings_no_one_back_who_left() -> None:
    """A shelf that a later version told to drain would have been sent to again."""

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        seen.peer.conns[0].tell(listing(7, entry("s0", 5, 0, "Terminating"), entry("s1", 5, 1), full=False))
        await until(lambda: seen.watch.newest == 7)
        seen.peer.list = listing(5, entry("s0", 5, 0), entry("s1", 5, 1), entry("s2", 5, 2))
        seen.peer.conns[0].tell(listing(4, entry("s0", 5, 0), full=False))
        await until(lambda: seen.watch.newest == 5)
        assert seen.peer.asked[-1][1].target == b"/registry/instances?stream=1"
        assert seen.standings() == {"s0": "draining", "s1": "ready", "s2": "ready"}
        # A new start of it, or a later word, is another matter; and a version that skips is none.
        seen.peer.conns[-1].tell(listing(6, entry("s0", 5, 0, started=9.0), full=False))
        await until(lambda: seen.watch.newest == 6)
        assert seen.standings()["s0"] == "ready"
        seen.peer.conns[-1].tell(listing(20, entry("s1", 5, 1, "Terminating"), full=False))
        seen.peer.conns[-1].tell(listing(22, entry("s1", 5, 1), full=False))
        await until(lambda: seen.watch.newest == 22)
        assert seen.standings()["s1"] == "ready"

    on_sockets(script)


def test_what_left_is_kept_in_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "LEFT_KEPT", 10)

    async def script(seen: Seen) -> None:
        for n in range(40):
            seen.watch._keep_left(Told(listing(n, entry(f"g{n}", 5, 0, "Gone"))))
        assert list(seen.watch.left) == [f"g{n}" for n in range(30, 40)]

    on_sockets(script)


@pytest.mark.parametrize("when", ["while a connection is made", "while one stands that was never answered"])
def test_discovery_that_moves_in_the_middle_of_a_call(when: str) -> None:
    async def script(seen: Seen) -> None:
        if when == "while a connection is made":
            await until(lambda: seen.watch.connections)
        else:
            await until(lambda: seen.told)
            seen.peer.does = lambda conn, request: None
            seen.peer.conns[0].transport.abort()
            await until(lambda: len(seen.peer.conns) == 2)
        there = Discovery()
        await there.start()
        there.list = listing(4, entry("s0", 5, 0, "Terminating"))
        seen.watch.move((LOOPBACK, there.port))
        if isinstance(seen.loop, Gate):
            seen.loop.opens.set()
        await until(lambda: seen.watch.newest == 4)
        await until(lambda: len(seen.watch.connections) == 1 and all(c.lost for c in seen.peer.conns))

    on_sockets(script, gated=when == "while a connection is made")
