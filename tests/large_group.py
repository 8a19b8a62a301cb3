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

from large_group_settings import MEMBER_NAMES, PLANS_BY_VOLUME, random_settings_text

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

CHECK_INTERVAL_S = 0.007  # between two looks at the sum
FLOOR = 0.2


class LimitExceededError(AssertionError):
    """All heads together may send more than the newest active version lets them."""


class LargeGroup:
    """Instances g1 to g5 and heads h1 to hN, with everything that may befall them."""

    def __init__(self, seed: int, heads: int) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.seed, self.rng = seed, random.Random(f"{seed}/wide")
        self.gateway_names = [f"h{n}" for n in range(1, heads + 1)]
        self.first_text = random_settings_text(self.rng, heads)
        self.config = loads(self.first_text)
        self.machines: dict[str, Node] = {}
        self.members: dict[str, MemberServer] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.persisted_versions: dict[str, bytes] = {}
        self.modes: dict[str, tuple[str, int]] = {}  # head -> mode, version that it acts on
        self.allowed_rates: dict[str, dict[str, float]] = {v: {} for v in PLANS_BY_VOLUME}  # volume -> head -> rate
        self.rate_sums = dict.fromkeys(PLANS_BY_VOLUME, 0.0)
        self.client = self.loop.node("client")
        self.incarnation_count = 0
        self.accepted_names: list[str] = []
        self.peak_utilization = 0.0  # the highest sum against its limit
        self.violation: LimitExceededError | None = None  # the first time that it was higher
        self.event_counts: Counter[str] = Counter()
        self.clock_rates = (
            {n: self.rng.uniform(0.977, 1.023) for n in [*MEMBER_NAMES, *self.gateway_names]} if seed % 2 else {}
        )

    # ---- what heads may send

    def on_config_change(self, head: str, config: Config | None, mode: str, version: int) -> None:
        """From now on this head acts on these settings, or on none."""
        self.modes[head] = (mode, version)
        self.event_counts[mode] += 1
        found = allowances_of(config, head) if config is not None else {}
        for volume, parts in self.allowed_rates.items():
            fresh = found.get(volume, (0.0, 0.0))[0]
            self.rate_sums[volume] += fresh - parts.get(head, 0.0)
            parts[head] = fresh
        self.check_limits()

    def check_limits(self) -> None:
        newest = self.active_version()
        text = next((t for m in self.members.values() if (t := m.state.text(newest)) is not None), None)
        if text is None:
            return
        config = parse_version(text, "newest")
        for volume, plan in PLANS_BY_VOLUME.items():
            limit = config.plan[plan].limit
            room = limit + 2e-6 * len(self.gateway_names)  # who may send nothing has a millionth of a unit a second
            if self.rate_sums[volume] > room:  # added up anew: what was summed up step by step is off by its roundings
                self.rate_sums[volume] = math.fsum(self.allowed_rates[volume].values())
                if self.rate_sums[volume] > room and self.violation is None:
                    by = Counter(self.modes.values()).most_common(6)
                    self.violation = LimitExceededError(
                        f"{self.loop.now:.3f} s: {volume} {self.rate_sums[volume]:g} of {limit:g}, {by}"
                    )
            self.peak_utilization = max(self.peak_utilization, self.rate_sums[volume] / limit)

    async def monitor_limits(self) -> None:
        """Ends with the first sum over its limit, whoever saw it."""
        while self.violation is None:
            self.check_limits()
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise self.violation

    # ---- processes

    def clock_of(self, node: Node) -> Callable[[], float]:
        return lambda: node.time() * 1000.0

    def _new_machine(self, name: str) -> Node:
        self.incarnation_count += 1
        node = self.machines[name] = self.loop.node(name)
        node.rate = self.clock_rates.get(name, 1.0)
        return node

    async def start_member(self, name: str) -> None:
        node = self._new_machine(name)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 100_000 + self.incarnation_count
        member = MemberServer(node, self.clock_of(node), self.config, name, disk, Quiet(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.machines[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_gateway(self, name: str) -> None:
        node, kept = self._new_machine(name), self.persisted_versions.get(name)
        application = VersionApplication.restore(name, FLOOR, kept) if kept else VersionApplication(name, FLOOR)
        self.watchers[name] = ConfigWatcher(
            node,
            self.clock_of(node),
            self.config,
            application,
            lambda config, mode: self.on_config_change(name, config, mode, application.active),
            lambda data: self.persisted_versions.update({name: data}),
            Quiet(),
        )
        self.on_config_change(name, None, "none", 0)
        self.watchers[name].start()

    def kill_gateway(self, name: str) -> None:
        self.machines[name].kill()
        self.on_config_change(name, None, "dead", 0)

    def freeze_gateway(self, name: str) -> None:
        """Stopped by signal: it sends nothing, and its timers are late when it goes on."""
        self.machines[name].freeze()
        self.on_config_change(name, None, "frozen", 0)

    def thaw_gateway(self, name: str) -> None:
        application, node = self.watchers[name].application, self.machines[name]
        if not node.dead:
            config, mode = application.effective_config(self.clock_of(node)())
            self.on_config_change(name, config, mode, application.active)
            node.thaw()

    def is_up(self, name: str) -> bool:
        return not self.machines[name].dead and not self.machines[name].frozen

    def leader(self) -> MemberServer | None:
        led = [m for n, m in self.members.items() if m.node.is_leader and self.is_up(n)]
        return max(led, key=lambda m: m.node.raft.current_term) if led else None

    def active_version(self) -> int:
        return max((m.state.active for m in self.members.values()), default=0)

    def has_converged(self) -> bool:
        """All heads act in full on the newest version of all, and nothing is set aside."""
        leader = self.leader()
        if leader is None or leader.state.pending or any(r for r, _ in leader.state.reservations.values()):
            return False
        return set(self.modes.values()) == {("active", leader.state.newest)}

    # ---- the operator

    async def propose(self, text: str) -> None:
        """By a name of its own; what was said yes to has to stand in the end."""
        name = f"round-{self.event_counts['proposed']}"
        self.event_counts["proposed"] += 1
        addresses = [block.listen for block in self.config.member.values()]
        ok, history = await ask_group(self.client, addresses, "history", {}, 2.0)
        if not ok:
            return
        rows = [line for line in history.splitlines() if line[:1].isdigit()]
        values = {"text": text, "base": int(rows[-1].split()[0]) if rows else 0, "note": name, "session": name}
        ok, _ = await ask_group(self.client, addresses, "propose", {**values, "serial": 1}, 2.0)
        if ok:
            self.accepted_names.append(name)

    async def run_operator(self) -> None:
        """A version as soon as the one before is taken up, or refused."""
        while True:
            await self.propose(random_settings_text(self.rng, len(self.gateway_names)))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def wait_until(self, what: Callable[[], Any], limit_s: float) -> None:
        end = self.loop.now + limit_s
        while not what():
            assert self.loop.now < end, f"not settled: {Counter(self.modes.values()).most_common(8)}"
            await asyncio.sleep(0.02)

    def history_faults(self) -> list[str]:
        """What the group did not keep of what it said yes to, by the leader's own state."""
        leader = self.leader()
        assert leader is not None
        return broken_word(self.accepted_names, [v.note for v in leader.state.versions.values() if v.note])
