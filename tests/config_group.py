"""Instances g1 to g5 and heads h1 to h4 in virtual time; what all heads may send is summed at every moment."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from config_document import SMALL, document, rate

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.village import Quiet
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads


class Group:
    """Instances g1 to g5 and heads h1 to h4 on nodes of a virtual network."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.seed = seed
        self.config = loads(document())
        self.members: dict[str, MemberServer] = {}
        self.nodes: dict[str, Node] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.acts: dict[str, tuple[Config | None, str, int]] = {}
        self.kept: dict[str, bytes] = {}
        self.lives = 0
        self.client = self.loop.node("client")
        self.most = 0.0  # the highest sum of parts against what the limit was
        self.known: dict[str, float] = {}  # limits of texts that were read
        self.apart: list[float] = []
        self.apart_since: float | None = None
        self.frozen: set[str] = set()
        self.cut: set[str] = set()
        self.rates: dict[str, float] = {}  # names whose clocks count more or fewer seconds than pass

    def clock_of(self, node: Node) -> Callable[[], float]:
        return lambda: node.time() * 1000.0

    def clock(self) -> float:
        return self.loop.now * 1000.0

    async def start_member(self, name: str) -> None:
        self.lives += 1
        node = self.nodes[name] = self.loop.node(name)
        node.rate = self.rates.get(name, 1.0)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 1000 + self.lives
        member = MemberServer(node, self.clock_of(node), self.config, name, disk, Quiet(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.nodes[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_head(self, name: str) -> None:
        node = self.nodes[name] = self.loop.node(name)
        node.rate = self.rates.get(name, 1.0)
        kept = self.kept.get(name)
        application = VersionApplication.restore(name, 0.2, kept) if kept else VersionApplication(name, 0.2)

        def adopt(config: Config, mode: str) -> None:
            self.acts[name] = (config, mode, application.active)

        self.acts[name] = (None, "none", 0)
        watcher = self.watchers[name] = ConfigWatcher(
            node,
            self.clock_of(node),
            self.config,
            application,
            adopt,
            lambda data: self.kept.update({name: data}),
            Quiet(),
        )
        watcher.start()

    def kill_head(self, name: str) -> None:
        self.nodes[name].kill()
        self.acts[name] = (None, "dead", 0)

    def leader(self) -> MemberServer | None:
        led = [m for n, m in self.members.items() if m.node.is_leader and not self.nodes[n].dead]
        return max(led, key=lambda m: m.node.raft.current_term) if led else None

    async def ask(self, verb: str, **values: Any) -> tuple[bool, str]:
        return await ask_group(
            self.client, [b.listen for b in self.config.member.values()], verb, values, values.pop("within", 8.0)
        )

    async def propose(self, text: str, serial: int, **more: Any) -> tuple[bool, str]:
        _, history = await self.ask("history")
        base = 0 if history.startswith("no ") else int(history.splitlines()[-1].split()[0])
        return await self.ask("propose", text=text, base=base, session="test", serial=serial, author="t", **more)

    async def until(self, what: Callable[[], Any], limit: float = 30.0) -> Any:
        end = self.loop.now + limit
        while not (got := what()):
            assert self.loop.now < end, "it did not come to it"
            await asyncio.sleep(0.02)
        return got

    def active(self) -> int:
        return max((m.state.active for n, m in self.members.items() if not self.nodes[n].dead), default=0)

    async def watch(self) -> None:
        """Every few milliseconds: what all heads may send together, against the newest active limit."""
        while True:
            total = sum(rate(config, name) for name, (config, _, _) in self.acts.items())
            newest = self.active()
            text = next((m.state.text(newest) for m in self.members.values() if m.state.text(newest)), None)
            if text is not None:
                if text not in self.known:
                    self.known[text] = loads(text).plan["capped"].limit
                limit = self.known[text]
                self.most = max(self.most, total / limit)
                parts = [(n, m, v, rate(c, n)) for n, (c, m, v) in self.acts.items()]
                assert total <= limit + SMALL, f"at {self.clock():.0f} ms {total:g} of {limit:g} by {parts}"
            heard = {
                v
                for n, (_, mode, v) in self.acts.items()
                if mode in ("active", "careful") and n not in self.frozen | self.cut
            }
            if len(heard) > 1 and self.apart_since is None:
                self.apart_since = self.clock()
            elif len(heard) <= 1 and self.apart_since is not None:
                self.apart.append(self.clock() - self.apart_since)
                self.apart_since = None
            await asyncio.sleep(0.007)


def on_group(
    script: Callable[[Group], Any], seed: int = 1, heads: int = 4, rates: dict[str, float] | None = None
) -> Group:
    group = Group(seed)
    group.rates = rates or {}

    async def main() -> None:
        for n in range(1, 6):
            await group.start_member(f"g{n}")
        for n in range(1, heads + 1):
            group.start_head(f"h{n}")
        watch = asyncio.ensure_future(group.watch())
        try:
            await group.until(group.leader)
            ok, said = await group.propose(document(), 1)
            assert ok, said
            await group.until(lambda: all(m == "active" for _, m, _ in group.acts.values()))
            done, _ = await asyncio.wait(
                [watch, asyncio.ensure_future(script(group))], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            watch.cancel()

    group.loop.run_until_complete(main())
    for task in asyncio.all_tasks(group.loop):
        task.cancel()
    group.loop.close()
    assert not group.loop.caught, group.loop.caught[:1]
    return group
