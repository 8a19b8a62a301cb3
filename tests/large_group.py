"""A group of five members with hundreds of gateways in virtual time, which checks the sum of the gateways' allowances.

Gateways are the production `ConfigWatcher` and `VersionApplication` without clients; members are complete. The sum of
all gateways' allowed rates is updated at each change of one gateway's settings, and checked then and every few
milliseconds, so that 200 gateways cost little.
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
from pebblehinge.lab.in_memory_logs import WarningLog
from pebblehinge.lab.proposer import broken_word
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config.activation import allowances_of
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.replicated_config.version_cache import parse_version
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

CHECK_INTERVAL_S = 0.007
FLOOR = 0.2  # the fraction of its allowance that a gateway may send without a lease


class LimitExceededError(AssertionError):
    """All gateways together may send more than the limit of the newest active version."""


class LargeGroup:
    """Members g1 to g5 and gateways h1 to hN; with an odd seed their clocks run at different rates."""

    def __init__(self, seed: int, gateway_count: int) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.seed, self.rng = seed, random.Random(f"{seed}/wide")
        self.gateway_names = [f"h{n}" for n in range(1, gateway_count + 1)]
        self.first_text = random_settings_text(self.rng, gateway_count)
        self.config = loads(self.first_text)
        self.machines: dict[str, Node] = {}
        self.members: dict[str, MemberServer] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.watchers: dict[str, ConfigWatcher] = {}
        self.persisted_versions: dict[str, bytes] = {}
        self.modes: dict[str, tuple[str, int]] = {}  # gateway -> mode, active version
        self.allowed_rates: dict[str, dict[str, float]] = {v: {} for v in PLANS_BY_VOLUME}  # volume -> gateway -> rate
        self.rate_sums = dict.fromkeys(PLANS_BY_VOLUME, 0.0)
        self.client = self.loop.node("client")
        self.incarnation_count = 0  # of all members and gateways
        self.accepted_names: list[str] = []  # of proposals, in the order of the replies
        self.peak_utilization = 0.0  # the highest sum of allowed rates, as a fraction of its limit
        self.violation: LimitExceededError | None = None  # the first one
        self.event_counts: Counter[str] = Counter()
        self.clock_rates = (
            {n: self.rng.uniform(0.977, 1.023) for n in [*MEMBER_NAMES, *self.gateway_names]} if seed % 2 else {}
        )

    # ---- limits

    def on_config_change(self, gateway: str, config: Config | None, mode: str, version: int) -> None:
        """Records that a gateway acts on these settings from now on, or on none."""
        self.modes[gateway] = (mode, version)
        self.event_counts[mode] += 1
        allowances = allowances_of(config, gateway) if config is not None else {}
        for volume, rates in self.allowed_rates.items():
            rate = allowances.get(volume, (0.0, 0.0))[0]
            self.rate_sums[volume] += rate - rates.get(gateway, 0.0)
            rates[gateway] = rate
        self.check_limits()

    def check_limits(self) -> None:
        """Records the first sum of allowed rates that exceeds the limit of the newest active version."""
        version = self.active_version()
        text = next((t for m in self.members.values() if (t := m.state.text(version)) is not None), None)
        if text is None:
            return
        config = parse_version(text, "newest")
        for volume, plan in PLANS_BY_VOLUME.items():
            limit = config.plan[plan].limit
            max_sum = limit + 2e-6 * len(self.gateway_names)  # a gateway that may send nothing has a rate of 1e-6
            if self.rate_sums[volume] > max_sum:  # summed again: the updated sum has rounding errors
                self.rate_sums[volume] = math.fsum(self.allowed_rates[volume].values())
                if self.rate_sums[volume] > max_sum and self.violation is None:
                    mode_counts = Counter(self.modes.values()).most_common(6)
                    self.violation = LimitExceededError(
                        f"{self.loop.now:.3f} s: {volume} {self.rate_sums[volume]:g} exceeds {limit:g}, {mode_counts}"
                    )
            self.peak_utilization = max(self.peak_utilization, self.rate_sums[volume] / limit)

    async def monitor_limits(self) -> None:
        """Checks the limits regularly, and raises the first violation that this or another check has found."""
        while self.violation is None:
            self.check_limits()
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise self.violation

    # ---- processes

    def clock_of(self, machine: Node) -> Callable[[], float]:
        """Returns a clock that reads the machine's time in milliseconds."""
        return lambda: machine.time() * 1000.0

    def _new_machine(self, name: str) -> Node:
        self.incarnation_count += 1
        machine = self.machines[name] = self.loop.node(name)
        machine.rate = self.clock_rates.get(name, 1.0)
        return machine

    async def start_member(self, name: str) -> None:
        machine = self._new_machine(name)
        disk = self.disks.setdefault(name, FaultyDisk(random.Random(f"{self.seed}/{name}")))
        seed = self.seed * 100_000 + self.incarnation_count
        member = MemberServer(machine, self.clock_of(machine), self.config, name, disk, WarningLog(), seed)
        self.members[name] = member
        await member.start()

    def kill_member(self, name: str) -> None:
        self.machines[name].kill()
        self.members[name].node.is_running = False
        self.disks[name].crash()

    def start_gateway(self, name: str) -> None:
        """Starts a gateway's watcher from the versions that its last incarnation persisted."""
        machine, stored = self._new_machine(name), self.persisted_versions.get(name)
        application = VersionApplication.restore(name, FLOOR, stored) if stored else VersionApplication(name, FLOOR)
        self.watchers[name] = ConfigWatcher(
            machine,
            self.clock_of(machine),
            self.config,
            application,
            lambda config, mode: self.on_config_change(name, config, mode, application.active),
            lambda data: self.persisted_versions.update({name: data}),
            WarningLog(),
        )
        self.on_config_change(name, None, "none", 0)
        self.watchers[name].start()

    def kill_gateway(self, name: str) -> None:
        self.machines[name].kill()
        self.on_config_change(name, None, "dead", 0)

    def freeze_gateway(self, name: str) -> None:
        """Stops a gateway as SIGSTOP does: it sends nothing, and its timers fire late when it is resumed."""
        self.machines[name].freeze()
        self.on_config_change(name, None, "frozen", 0)

    def thaw_gateway(self, name: str) -> None:
        application, machine = self.watchers[name].application, self.machines[name]
        if not machine.dead:
            config, mode = application.effective_config(self.clock_of(machine)())
            self.on_config_change(name, config, mode, application.active)
            machine.thaw()

    def is_up(self, name: str) -> bool:
        return not self.machines[name].dead and not self.machines[name].frozen

    def leader(self) -> MemberServer | None:
        """Returns the running leader with the highest term, if any."""
        leaders = [m for n, m in self.members.items() if m.node.is_leader and self.is_up(n)]
        return max(leaders, key=lambda m: m.node.raft.current_term) if leaders else None

    def active_version(self) -> int:
        """Returns the newest version that is active at any member, 0 for none."""
        return max((m.state.active for m in self.members.values()), default=0)

    def has_converged(self) -> bool:
        """Returns whether the newest version is active at all gateways, without reservations."""
        leader = self.leader()
        if leader is None or leader.state.pending or any(r for r, _ in leader.state.reservations.values()):
            return False
        return set(self.modes.values()) == {("active", leader.state.newest)}

    # ---- the operator

    async def propose(self, text: str) -> None:
        """Proposes a version with a unique note, and records whether the group accepted it."""
        name = f"round-{self.event_counts['proposed']}"
        self.event_counts["proposed"] += 1
        addresses = [block.listen for block in self.config.member.values()]
        ok, history = await ask_group(self.client, addresses, "history", {}, 2.0)
        if not ok:
            return
        version_lines = [line for line in history.splitlines() if line[:1].isdigit()]
        values = {
            "text": text,
            "base": int(version_lines[-1].split()[0]) if version_lines else 0,
            "note": name,
            "session": name,
        }
        ok, _ = await ask_group(self.client, addresses, "propose", {**values, "serial": 1}, 2.0)
        if ok:
            self.accepted_names.append(name)

    async def run_operator(self) -> None:
        """Proposes random versions one after another, with a short delay after each reply."""
        while True:
            await self.propose(random_settings_text(self.rng, len(self.gateway_names)))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def wait_until(self, condition: Callable[[], Any], timeout_s: float) -> None:
        """Waits until the condition returns a true value."""
        deadline = self.loop.now + timeout_s
        while not condition():
            assert self.loop.now < deadline, f"not in time, modes {Counter(self.modes.values()).most_common(8)}"
            await asyncio.sleep(0.02)

    def history_faults(self) -> list[str]:
        """Returns what the leader's history has wrong about the accepted proposals: lost, repeated or out of order."""
        leader = self.leader()
        assert leader is not None
        return broken_word(self.accepted_names, [v.note for v in leader.state.versions.values() if v.note])
