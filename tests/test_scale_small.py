"""Frames between a group and its heads grow with the heads and no faster: 25, 50 and 100 hollow heads, counted.

Virtual time, so the counts are the same on any machine at any load. benchmarks/scale_run.py is the large one, on
sockets. The bounds, for one head:

- NEWS of a version: a head acts on two things, that the version is pending and that it is active; once more where
  something is set aside or given back meanwhile.
- RENEW of a version: one ask after each NEWS, one to acknowledge each, and one to spare; a GRANT answers each.
- RAFT of a version: acknowledgements and read rounds go together once a tick, so nearly nothing of it grows with the
  heads; a version takes some ticks, each a round and an entry with both other instances.
- At rest a head asks once every `renew`, and a round a tick serves all that asked.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import pytest

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.in_memory_logs import WarningLog
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.net import Peer
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind

SIZES, MEMBERS = (25, 50, 100), 3
RENEW_MS, TICK_MS = 500.0, 50.0
REST_S, AFTER_S = 5.0, 1.0
KINDS = (Kind.NEWS, Kind.RENEW, Kind.GRANT, Kind.RAFT)
OF_A_VERSION = {Kind.NEWS: 3.0, Kind.RENEW: 5.0, Kind.GRANT: 5.0, Kind.RAFT: 1.0}  # a head, beyond those at rest
ROUND = 2 * (MEMBERS - 1)  # frames of one round of the leader with all others
FIXED = {Kind.RAFT: 200.0}  # of a version whatever the heads: some entries, a round for each tick that it takes
OF_REST = 1000.0 / RENEW_MS  # asks a second and head
GROWTH = 1.25  # of a head's count from 25 heads to 100; a square makes it 4
STOP = 400  # frames a head after which a version has failed: there is nothing to wait for

TEXT = """
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan capped {{
    rate 5/s
    limit {limit}/s
    burst {limit}
    slack 0
}}
volume v {{
    plan capped
    heads {count}
}}
{blocks}
group {{
    lease 3s
    drift 5%
    floor 25%
    renew {renew:g}ms
    tick {tick:g}ms
}}
"""


def text_of(limit: float, heads: int) -> str:
    blocks = [f"head x{n} {{\n    listen 127.0.0.1:{7000 + n}\n}}" for n in range(heads)]
    blocks += [f"member g{n} {{\n    listen 127.0.0.1:{6000 + n}\n}}" for n in range(1, MEMBERS + 1)]
    return TEXT.format(limit=limit, count=heads, blocks="\n".join(blocks), renew=RENEW_MS, tick=TICK_MS)


class Fleet:
    """Three instances and so many heads on nodes of their own, all frames counted as they are written."""

    def __init__(self, heads: int, counted: Counter[int], seed: int = 1) -> None:
        self.heads, self.counted = heads, counted
        self.loop = VirtualLoop(seed=seed)
        self.rng = random.Random(f"{seed}/fleet")
        self.config = loads(text_of(100, heads))
        self.acts: dict[str, tuple[str, int]] = {}
        self.members: list[MemberServer] = []
        self.client = self.loop.node("client")
        self.number = 0

    def clock_of(self, node: Node) -> Any:
        return lambda: node.time() * 1000.0

    async def start(self) -> None:
        for n, name in enumerate(self.config.member):
            node, disk = self.loop.node(name), FaultyDisk(random.Random(f"1/{name}"))
            self.members.append(MemberServer(node, self.clock_of(node), self.config, name, disk, WarningLog(), n))
            await self.members[-1].start()
        for name in self.config.head:
            node, application = self.loop.node(name), VersionApplication(name, self.config.group.floor)

            def adopt(
                config: Config, mode: str, name: str = name, application: VersionApplication = application
            ) -> None:
                self.acts[name] = (mode, application.active)

            watcher = ConfigWatcher(
                node, self.clock_of(node), self.config, application, adopt, lambda data: None, WarningLog()
            )
            node.call_later(self.rng.uniform(0.0, 1.0), watcher.start)

    async def until(self, what: Any, limit_s: float, most: float = float("inf")) -> bool:
        end = self.loop.now + limit_s
        while not what():
            if self.loop.now > end or self.counted.total() > most:
                return False
            await asyncio.sleep(0.02)
        return True

    async def version(self) -> tuple[Counter[int], float, bool]:
        """Frames from a proposal until a second after all heads act on it; the seconds; whether it came to that."""
        self.number += 1
        number, begin = self.number, self.loop.now
        self.counted.clear()
        ok, said = await ask_group(
            self.client,
            [b.listen for b in self.config.member.values()],
            "propose",
            {"text": text_of(100 + number, self.heads), "base": number - 1, "session": "t", "serial": number},
            20.0,
        )
        assert ok, said
        wanted = ("active", number)
        done = await self.until(
            lambda: len(self.acts) == self.heads and all(a == wanted for a in self.acts.values()),
            30.0,
            STOP * self.heads,
        )
        if done:
            await asyncio.sleep(AFTER_S)
        return Counter(self.counted), self.loop.now - begin, done

    async def rest(self) -> dict[Kind, float]:
        """Frames a second while nothing changes."""
        await asyncio.sleep(1.0)
        self.counted.clear()
        await asyncio.sleep(REST_S)
        return {kind: self.counted[kind] / REST_S for kind in KINDS}


async def counts_of(fleet: Fleet) -> dict[str, dict[Kind, float]]:
    """Frames a second at rest, and of the worst of three versions beyond those."""
    await fleet.start()
    assert await fleet.until(lambda: any(m.node.is_leader for m in fleet.members), 10.0)
    await fleet.version()
    rest = await fleet.rest()
    worst = dict.fromkeys(KINDS, 0.0)
    for _ in range(3):
        counted, seconds, done = await fleet.version()
        for kind in KINDS:
            worst[kind] = max(worst[kind], counted[kind] - rest[kind] * seconds)
        if not done:
            break
    return {"rest": rest, "version": worst}


def measure(heads: int, counted: Counter[int]) -> dict[str, dict[Kind, float]]:
    fleet = Fleet(heads, counted)
    try:
        return fleet.loop.run_until_complete(counts_of(fleet))
    finally:
        for task in asyncio.all_tasks(fleet.loop):
            task.cancel()
        fleet.loop.close()
        assert not fleet.loop.callback_errors, fleet.loop.callback_errors[:1]


def beyond(found: dict[int, dict[str, dict[Kind, float]]]) -> list[str]:
    """What grows faster than the heads or is over its bound, a line each."""
    wrong = []
    for heads, told in found.items():
        version, rest = told["version"], told["rest"]
        for kind, most in OF_A_VERSION.items():
            if version[kind] > most * heads + FIXED.get(kind, 0.0):
                wrong.append(
                    f"{heads} heads: {version[kind] / heads:.1f} {kind.name} a head and version, bound {most:g}"
                )
        for kind in (Kind.RENEW, Kind.GRANT):
            if rest[kind] > 1.1 * OF_REST * heads:
                wrong.append(f"{heads} heads: {rest[kind] / heads:.2f} {kind.name} a second and head at rest")
        if rest[Kind.NEWS]:
            wrong.append(f"{heads} heads: {rest[Kind.NEWS]:.2f} NEWS a second at rest: there is none")
        if rest[Kind.RAFT] > 1.5 * ROUND * 1000.0 / TICK_MS:  # a round in each tick, a heartbeat in each second one
            wrong.append(f"{heads} heads: {rest[Kind.RAFT]:.0f} RAFT a second at rest")
    small, large = min(found), max(found)
    for what in ("version", "rest"):
        for kind in KINDS:
            a, b = found[small][what][kind] / small, found[large][what][kind] / large
            if b > GROWTH * a + 0.5:
                wrong.append(f"{kind.name}, {what}: {a:.1f} a head at {small} heads, {b:.1f} at {large}")
    return wrong


@pytest.fixture
def counted(monkeypatch: pytest.MonkeyPatch) -> Counter[int]:
    """Frames by kind, as any end writes them."""
    found: Counter[int] = Counter()
    write = Peer._write

    def counting(peer: Peer, data: bytes) -> None:
        found[data[8]] += 1
        write(peer, data)

    monkeypatch.setattr(Peer, "_write", counting)
    return found


def test_frames_of_a_version_and_at_rest_grow_with_the_heads_and_no_faster(counted: Counter[int]) -> None:
    found = {heads: measure(heads, counted) for heads in SIZES}
    wrong = beyond(found)
    assert not wrong, "\n".join(wrong)


def test_the_bounds_tell_a_square_from_a_line() -> None:
    line = {n: {"version": {k: 2.0 * n for k in KINDS}, "rest": dict.fromkeys(KINDS, 0.0)} for n in SIZES}
    assert beyond(line) == []
    for kind in KINDS:
        square = {n: {**told, "version": {**told["version"], kind: 0.08 * n * n}} for n, told in line.items()}
        assert any(kind.name in text and "at 25 heads" in text for text in beyond(square))
    noisy = {n: {**told, "rest": {**told["rest"], Kind.NEWS: 1.0}} for n, told in line.items()}
    assert len(beyond(noisy)) == len(SIZES)
