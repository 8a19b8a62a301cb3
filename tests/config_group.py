"""A group of five members with its gateways in virtual time; the sum of the gateways' allowances is monitored."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from group_settings import RATE_TOLERANCE, allowed_rate, settings_text

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads


class Group:
    """Members g1 to g5 and gateways h1 and so on, each on its own machine of a virtual network."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.seed = seed
        self.config = loads(settings_text())
        self.members: dict[str, MemberServer] = {}
        self.machines: dict[str, Node] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.gateway_states: dict[str, tuple[Config | None, str, int]] = {}  # settings, mode and active version
        self.persisted_versions: dict[str, bytes] = {}  # by gateway
        self.incarnation_count = 0  # of all members
        self.client = self.loop.node("client")
        self.peak_utilization = 0.0  # the highest sum of allowed rates, as a fraction of the limit
        self.limits_by_text: dict[str, float] = {}  # units per second
        self.divergence_times_ms: list[float] = []  # durations for which connected gateways acted on several versions
        self.diverged_since_ms: float | None = None
        self.frozen_names: set[str] = set()
        self.partitioned_names: set[str] = set()
        self.clock_rates: dict[str, float] = {}  # seconds that a machine's clock counts per second; default 1

    def clock_of(self, machine: Node) -> Callable[[], float]:
        """Returns a clock that reads the machine's time in milliseconds."""
        return lambda: machine.time() * 1000.0

    def clock(self) -> float:
        """Returns the virtual time in milliseconds."""
        return self.loop.now * 1000.0

    async def start_member(self, name: str) -> None:
        self.incarnation_count += 1
        machine = self.machines[name] = self.loop.node(name)
        machine.rate = self.clock_rates.get(name, 1.0)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 1000 + self.incarnation_count
        member = MemberServer(machine, self.clock_of(machine), self.config, name, disk, WarningLog(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.machines[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_gateway(self, name: str) -> None:
        """Starts a gateway's watcher from the versions that its last incarnation persisted."""
        machine = self.machines[name] = self.loop.node(name)
        machine.rate = self.clock_rates.get(name, 1.0)
        stored = self.persisted_versions.get(name)
        application = VersionApplication.restore(name, 0.2, stored) if stored else VersionApplication(name, 0.2)

        def adopt(config: Config, mode: str) -> None:
            self.gateway_states[name] = (config, mode, application.active)

        self.gateway_states[name] = (None, "none", 0)
        watcher = self.watchers[name] = ConfigWatcher(
            machine,
            self.clock_of(machine),
            self.config,
            application,
            adopt,
            lambda data: self.persisted_versions.update({name: data}),
            WarningLog(),
        )
        watcher.start()

    def kill_gateway(self, name: str) -> None:
        self.machines[name].kill()
        self.gateway_states[name] = (None, "dead", 0)

    def leader(self) -> MemberServer | None:
        """Returns the running leader with the highest term, if any."""
        leaders = [m for n, m in self.members.items() if m.node.is_leader and not self.machines[n].dead]
        return max(leaders, key=lambda m: m.node.raft.current_term) if leaders else None

    async def ask(self, verb: str, **values: Any) -> tuple[bool, str]:
        """Sends an operator's request and returns the leader's reply; `within` is the timeout in seconds."""
        return await ask_group(
            self.client, [b.listen for b in self.config.member.values()], verb, values, values.pop("within", 8.0)
        )

    async def propose(self, text: str, serial: int, **extra_values: Any) -> tuple[bool, str]:
        """Proposes a version on the base of the newest one; returns the leader's reply."""
        _, history = await self.ask("history")
        base = 0 if history.startswith("no ") else int(history.splitlines()[-1].split()[0])
        return await self.ask(
            "propose", text=text, base=base, session="test", serial=serial, author="t", **extra_values
        )

    async def wait_until(self, condition: Callable[[], Any], timeout_s: float = 30.0) -> Any:
        """Waits until the condition returns a true value, and returns that value."""
        deadline = self.loop.now + timeout_s
        while not (value := condition()):
            assert self.loop.now < deadline, "the condition did not become true in time"
            await asyncio.sleep(0.02)
        return value

    def active_version(self) -> int:
        """Returns the newest version that is active at a running member, 0 for none."""
        return max((m.state.active for n, m in self.members.items() if not self.machines[n].dead), default=0)

    async def monitor_limits(self) -> None:
        """Checks every few milliseconds that all gateways together may send no more than the newest active limit."""
        while True:
            total = sum(allowed_rate(config, name) for name, (config, _, _) in self.gateway_states.items())
            version = self.active_version()
            text = next((m.state.text(version) for m in self.members.values() if m.state.text(version)), None)
            if text is not None:
                if text not in self.limits_by_text:
                    self.limits_by_text[text] = loads(text).plan["capped"].limit
                limit = self.limits_by_text[text]
                self.peak_utilization = max(self.peak_utilization, total / limit)
                rates = [(n, m, v, allowed_rate(c, n)) for n, (c, m, v) in self.gateway_states.items()]
                assert total <= limit + RATE_TOLERANCE, (
                    f"at {self.clock():.0f} ms gateways may send {total:g} with a limit of {limit:g}: {rates}"
                )
            connected_versions = {
                v
                for n, (_, mode, v) in self.gateway_states.items()
                if mode in ("active", "careful") and n not in self.frozen_names | self.partitioned_names
            }
            if len(connected_versions) > 1 and self.diverged_since_ms is None:
                self.diverged_since_ms = self.clock()
            elif len(connected_versions) <= 1 and self.diverged_since_ms is not None:
                self.divergence_times_ms.append(self.clock() - self.diverged_since_ms)
                self.diverged_since_ms = None
            await asyncio.sleep(0.007)


def run_with_group(
    script: Callable[[Group], Any], seed: int = 1, gateway_count: int = 4, clock_rates: dict[str, float] | None = None
) -> Group:
    """Runs a script once version 1 is active at all gateways, with the limits monitored; returns the group."""
    group = Group(seed)
    group.clock_rates = clock_rates or {}

    async def main() -> None:
        for n in range(1, 6):
            await group.start_member(f"g{n}")
        for n in range(1, gateway_count + 1):
            group.start_gateway(f"h{n}")
        monitor = asyncio.ensure_future(group.monitor_limits())
        try:
            await group.wait_until(group.leader)
            ok, reason = await group.propose(settings_text(), 1)
            assert ok, reason
            await group.wait_until(lambda: all(m == "active" for _, m, _ in group.gateway_states.values()))
            finished_tasks, _ = await asyncio.wait(
                [monitor, asyncio.ensure_future(script(group))], return_when=asyncio.FIRST_COMPLETED
            )
            for task in finished_tasks:
                task.result()
        finally:
            monitor.cancel()

    group.loop.run_until_complete(main())
    for task in asyncio.all_tasks(group.loop):
        task.cancel()
    group.loop.close()
    assert not group.loop.callback_errors, group.loop.callback_errors[:1]
    return group
