"""Instances g1 to g5 and heads h1 to h4 in virtual time; what all heads may send is summed at every moment."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from group_settings import RATE_TOLERANCE, allowed_rate, settings_text

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
        self.config = loads(settings_text())
        self.members: dict[str, MemberServer] = {}
        self.machines: dict[str, Node] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.gateway_states: dict[str, tuple[Config | None, str, int]] = {}
        self.persisted_versions: dict[str, bytes] = {}
        self.incarnation_count = 0
        self.client = self.loop.node("client")
        self.peak_utilization = 0.0  # the highest sum of parts against what the limit was
        self.limits_by_text: dict[str, float] = {}  # limits of texts that were read
        self.divergence_times_ms: list[float] = []
        self.diverged_since_ms: float | None = None
        self.frozen_names: set[str] = set()
        self.partitioned_names: set[str] = set()
        self.clock_rates: dict[str, float] = {}  # names whose clocks count more or fewer seconds than pass

    def clock_of(self, node: Node) -> Callable[[], float]:
        return lambda: node.time() * 1000.0

    def clock(self) -> float:
        return self.loop.now * 1000.0

    async def start_member(self, name: str) -> None:
        self.incarnation_count += 1
        node = self.machines[name] = self.loop.node(name)
        node.rate = self.clock_rates.get(name, 1.0)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 1000 + self.incarnation_count
        member = MemberServer(node, self.clock_of(node), self.config, name, disk, Quiet(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.machines[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_gateway(self, name: str) -> None:
        node = self.machines[name] = self.loop.node(name)
        node.rate = self.clock_rates.get(name, 1.0)
        kept = self.persisted_versions.get(name)
        application = VersionApplication.restore(name, 0.2, kept) if kept else VersionApplication(name, 0.2)

        def adopt(config: Config, mode: str) -> None:
            self.gateway_states[name] = (config, mode, application.active)

        self.gateway_states[name] = (None, "none", 0)
        watcher = self.watchers[name] = ConfigWatcher(
            node,
            self.clock_of(node),
            self.config,
            application,
            adopt,
            lambda data: self.persisted_versions.update({name: data}),
            Quiet(),
        )
        watcher.start()

    def kill_gateway(self, name: str) -> None:
        self.machines[name].kill()
        self.gateway_states[name] = (None, "dead", 0)

    def leader(self) -> MemberServer | None:
        led = [m for n, m in self.members.items() if m.node.is_leader and not self.machines[n].dead]
        return max(led, key=lambda m: m.node.raft.current_term) if led else None

    async def ask(self, verb: str, **values: Any) -> tuple[bool, str]:
        return await ask_group(
            self.client, [b.listen for b in self.config.member.values()], verb, values, values.pop("within", 8.0)
        )

    async def propose(self, text: str, serial: int, **more: Any) -> tuple[bool, str]:
        _, history = await self.ask("history")
        base = 0 if history.startswith("no ") else int(history.splitlines()[-1].split()[0])
        return await self.ask("propose", text=text, base=base, session="test", serial=serial, author="t", **more)

    async def wait_until(self, what: Callable[[], Any], limit: float = 30.0) -> Any:
        end = self.loop.now + limit
        while not (got := what()):
            assert self.loop.now < end, "it did not come to it"
            await asyncio.sleep(0.02)
        return got

    def active_version(self) -> int:
        return max((m.state.active for n, m in self.members.items() if not self.machines[n].dead), default=0)

    async def monitor_limits(self) -> None:
        """Every few milliseconds: what all heads may send together, against the newest active limit."""
        while True:
            total = sum(allowed_rate(config, name) for name, (config, _, _) in self.gateway_states.items())
            newest = self.active_version()
            text = next((m.state.text(newest) for m in self.members.values() if m.state.text(newest)), None)
            if text is not None:
                if text not in self.limits_by_text:
                    self.limits_by_text[text] = loads(text).plan["capped"].limit
                limit = self.limits_by_text[text]
                self.peak_utilization = max(self.peak_utilization, total / limit)
                parts = [(n, m, v, allowed_rate(c, n)) for n, (c, m, v) in self.gateway_states.items()]
                assert total <= limit + RATE_TOLERANCE, f"at {self.clock():.0f} ms {total:g} of {limit:g} by {parts}"
            heard = {
                v
                for n, (_, mode, v) in self.gateway_states.items()
                if mode in ("active", "careful") and n not in self.frozen_names | self.partitioned_names
            }
            if len(heard) > 1 and self.diverged_since_ms is None:
                self.diverged_since_ms = self.clock()
            elif len(heard) <= 1 and self.diverged_since_ms is not None:
                self.divergence_times_ms.append(self.clock() - self.diverged_since_ms)
                self.diverged_since_ms = None
            await asyncio.sleep(0.007)


def run_with_group(
    script: Callable[[Group], Any], seed: int = 1, heads: int = 4, rates: dict[str, float] | None = None
) -> Group:
    group = Group(seed)
    group.clock_rates = rates or {}

    async def main() -> None:
        for n in range(1, 6):
            await group.start_member(f"g{n}")
        for n in range(1, heads + 1):
            group.start_gateway(f"h{n}")
        watch = asyncio.ensure_future(group.monitor_limits())
        try:
            await group.wait_until(group.leader)
            ok, said = await group.propose(settings_text(), 1)
            assert ok, said
            await group.wait_until(lambda: all(m == "active" for _, m, _ in group.gateway_states.values()))
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
