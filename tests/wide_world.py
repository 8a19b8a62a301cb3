"""Hundreds of heads and a group in virtual time, struck by chance: what all heads may send together, at every change.

Heads are the program's own `ConfigWatcher` and `VersionApplication` without clients; instances are whole. The sum of
all heads' parts is kept up at each change of one head's settings and looked at then and every few milliseconds: 200
heads cost little.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from wide_document import MEMBERS, VOLUMES, document

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.proposer import broken_word
from pebblehinge.lab.quiet import Quiet
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config.activation import allowances_of
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.replicated_config.version_cache import parse_version
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

LOOK_S = 0.007  # between two looks at the sum
FLOOR = 0.2


class OverLimit(AssertionError):
    """All heads together may send more than the newest active version lets them."""


class WideGroup:
    """Instances g1 to g5 and heads h1 to hN, with everything that may befall them."""

    def __init__(self, seed: int, heads: int) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.seed, self.rng = seed, random.Random(f"{seed}/wide")
        self.heads = [f"h{n}" for n in range(1, heads + 1)]
        self.first = document(self.rng, heads)
        self.config = loads(self.first)
        self.nodes: dict[str, Node] = {}
        self.members: dict[str, MemberServer] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.kept: dict[str, bytes] = {}
        self.modes: dict[str, tuple[str, int]] = {}  # head -> mode, version that it acts on
        self.parts: dict[str, dict[str, float]] = {v: {} for v in VOLUMES}  # volume -> head -> rate
        self.sums = dict.fromkeys(VOLUMES, 0.0)
        self.client = self.loop.node("client")
        self.lives = 0
        self.said_yes: list[str] = []
        self.most = 0.0  # the highest sum against its limit
        self.over: OverLimit | None = None  # the first time that it was higher
        self.counts: Counter[str] = Counter()
        self.rates = {n: self.rng.uniform(0.977, 1.023) for n in [*MEMBERS, *self.heads]} if seed % 2 else {}

    # ---- what heads may send

    def acts(self, head: str, config: Config | None, mode: str, version: int) -> None:
        """From now on this head acts on these settings, or on none."""
        self.modes[head] = (mode, version)
        self.counts[mode] += 1
        found = allowances_of(config, head) if config is not None else {}
        for volume, parts in self.parts.items():
            fresh = found.get(volume, (0.0, 0.0))[0]
            self.sums[volume] += fresh - parts.get(head, 0.0)
            parts[head] = fresh
        self.look()

    def look(self) -> None:
        newest = self.active()
        text = next((t for m in self.members.values() if (t := m.state.text(newest)) is not None), None)
        if text is None:
            return
        config = parse_version(text, "newest")
        for volume, plan in VOLUMES.items():
            limit = config.plan[plan].limit
            room = limit + 2e-6 * len(self.heads)  # who may send nothing has a millionth of a unit a second
            if self.sums[volume] > room:  # added up anew: what was summed up step by step is off by its roundings
                self.sums[volume] = math.fsum(self.parts[volume].values())
                if self.sums[volume] > room and self.over is None:
                    by = Counter(self.modes.values()).most_common(6)
                    self.over = OverLimit(f"{self.loop.now:.3f} s: {volume} {self.sums[volume]:g} of {limit:g}, {by}")
            self.most = max(self.most, self.sums[volume] / limit)

    async def watch(self) -> None:
        """Ends with the first sum over its limit, whoever saw it."""
        while self.over is None:
            self.look()
            await asyncio.sleep(LOOK_S)
        raise self.over

    # ---- processes

    def clock_of(self, node: Node) -> Callable[[], float]:
        return lambda: node.time() * 1000.0

    def _node(self, name: str) -> Node:
        self.lives += 1
        node = self.nodes[name] = self.loop.node(name)
        node.rate = self.rates.get(name, 1.0)
        return node

    async def start_member(self, name: str) -> None:
        node = self._node(name)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 100_000 + self.lives
        member = MemberServer(node, self.clock_of(node), self.config, name, disk, Quiet(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.nodes[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_head(self, name: str) -> None:
        node, kept = self._node(name), self.kept.get(name)
        application = VersionApplication.restore(name, FLOOR, kept) if kept else VersionApplication(name, FLOOR)
        self.watchers[name] = ConfigWatcher(
            node,
            self.clock_of(node),
            self.config,
            application,
            lambda config, mode: self.acts(name, config, mode, application.active),
            lambda data: self.kept.update({name: data}),
            Quiet(),
        )
        self.acts(name, None, "none", 0)
        self.watchers[name].start()

    def kill_head(self, name: str) -> None:
        self.nodes[name].kill()
        self.acts(name, None, "dead", 0)

    def freeze_head(self, name: str) -> None:
        """Stopped by signal: it sends nothing, and its timers are late when it goes on."""
        self.nodes[name].freeze()
        self.acts(name, None, "frozen", 0)

    def thaw_head(self, name: str) -> None:
        application, node = self.watchers[name].application, self.nodes[name]
        if not node.dead:
            config, mode = application.effective_config(self.clock_of(node)())
            self.acts(name, config, mode, application.active)
            node.thaw()

    def is_up(self, name: str) -> bool:
        return not self.nodes[name].dead and not self.nodes[name].frozen

    def leader(self) -> MemberServer | None:
        led = [m for n, m in self.members.items() if m.node.is_leader and self.is_up(n)]
        return max(led, key=lambda m: m.node.raft.current_term) if led else None

    def active(self) -> int:
        return max((m.state.active for m in self.members.values()), default=0)

    def settled(self) -> bool:
        """All heads act in full on the newest version of all, and nothing is set aside."""
        leader = self.leader()
        if leader is None or leader.state.pending or any(r for r, _ in leader.state.reservations.values()):
            return False
        return set(self.modes.values()) == {("active", leader.state.newest)}

    # ---- the operator

    async def propose(self, text: str) -> None:
        """By a name of its own; what was said yes to has to stand in the end."""
        name = f"round-{self.counts['proposed']}"
        self.counts["proposed"] += 1
        addresses = [block.listen for block in self.config.member.values()]
        ok, history = await ask_group(self.client, addresses, "history", {}, 2.0)
        if not ok:
            return
        rows = [line for line in history.splitlines() if line[:1].isdigit()]
        values = {"text": text, "base": int(rows[-1].split()[0]) if rows else 0, "note": name, "session": name}
        ok, _ = await ask_group(self.client, addresses, "propose", {**values, "serial": 1}, 2.0)
        if ok:
            self.said_yes.append(name)

    async def operate(self) -> None:
        """A version as soon as the one before is taken up, or refused."""
        while True:
            await self.propose(document(self.rng, len(self.heads)))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def until(self, what: Callable[[], Any], limit_s: float) -> None:
        end = self.loop.now + limit_s
        while not what():
            assert self.loop.now < end, f"not settled: {Counter(self.modes.values()).most_common(8)}"
            await asyncio.sleep(0.02)

    def word(self) -> list[str]:
        """What the group did not keep of what it said yes to, by the leader's own state."""
        leader = self.leader()
        assert leader is not None
        return broken_word(self.said_yes, [v.note for v in leader.state.versions.values() if v.note])
