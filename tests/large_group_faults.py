"""Random faults of a large group by seed: kills, freezes and partitions of gateways and of the leader."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from large_group import CHECK_INTERVAL_S, LargeGroup
from large_group_settings import MEMBER_NAMES


class FaultInjector:
    """Injects faults for a time; each one ends by itself, so that all processes run and are connected afterwards."""

    def __init__(self, group: LargeGroup) -> None:
        self.group, self.rng = group, random.Random(f"{group.seed}/faults")
        self.tasks: list[asyncio.Task[None]] = []
        self.faulty_names: set[str] = set()  # a process has one fault at a time

    async def run(self, duration_s: float) -> None:
        deadline = self.group.loop.now + duration_s
        faults = [self.kill_gateways, self.freeze_gateways, self.partition_gateways]
        faults += [self.kill_leader, self.freeze_leader, self.partition_leader]
        while self.group.loop.now < deadline:
            self._start_fault(self.rng.choice(faults)())
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*self.tasks)

    def _start_fault(self, fault: Any) -> None:
        self.tasks.append(asyncio.ensure_future(fault))

    def _pick_gateways(self) -> list[str]:
        """Picks up to a tenth of the gateways, of those without a fault."""
        candidates = [h for h in self.group.gateway_names if h not in self.faulty_names]
        names = self.rng.sample(
            candidates, min(len(candidates), self.rng.randint(1, max(1, len(self.group.gateway_names) // 10)))
        )
        self.faulty_names.update(names)
        return names

    def _pick_leader(self) -> str | None:
        """Picks the leader, unless it or two members have a fault already: a majority of the five must have none."""
        leader = self.group.leader()
        if leader is None or leader.name in self.faulty_names or len(self.faulty_names & set(MEMBER_NAMES)) >= 2:
            return None
        self.faulty_names.add(leader.name)
        return leader.name

    async def kill_gateways(self) -> None:
        names = self._pick_gateways()
        self.group.event_counts["heads killed"] += len(names)
        for name in names:
            self.group.kill_gateway(name)
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        for name in names:
            if self.rng.random() < 0.2:
                self.group.persisted_versions.pop(name, None)  # its folder is lost
            self.group.start_gateway(name)
        self.faulty_names.difference_update(names)

    async def freeze_gateways(self) -> None:
        names = self._pick_gateways()
        self.group.event_counts["heads frozen"] += len(names)
        for name in names:
            self.group.freeze_gateway(name)
        await asyncio.sleep(self.rng.uniform(0.1, 5.0))
        for name in names:
            self.group.thaw_gateway(name)
        self.faulty_names.difference_update(names)

    async def partition_gateways(self) -> None:
        names = self._pick_gateways()
        self.group.event_counts["heads cut"] += len(names)
        members = MEMBER_NAMES if self.rng.random() < 0.7 else self.rng.sample(MEMBER_NAMES, 3)
        sources, destinations = (names, members) if self.rng.random() < 0.5 else (members, names)
        self.group.loop.net.partition(sources, destinations, both=self.rng.random() < 0.6)
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        self.group.loop.net.heal(names, members)
        self.faulty_names.difference_update(names)

    async def kill_leader(self) -> None:
        if (name := self._pick_leader()) is not None:
            self.group.event_counts["leaders killed"] += 1
            self.group.kill_member(name)
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            await self.group.start_member(name)
            self.faulty_names.discard(name)

    async def freeze_leader(self) -> None:
        if (name := self._pick_leader()) is not None:
            self.group.event_counts["leaders frozen"] += 1
            self.group.machines[name].freeze()
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            self.group.machines[name].thaw()
            self.faulty_names.discard(name)

    async def partition_leader(self) -> None:
        if (name := self._pick_leader()) is not None:
            self.group.event_counts["leaders cut"] += 1
            others = [m for m in MEMBER_NAMES if m != name]
            sources, destinations = ([name], others) if self.rng.random() < 0.5 else (others, [name])
            self.group.loop.net.partition(sources, destinations, both=self.rng.random() < 0.6)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            self.group.loop.net.heal([name], others)
            self.faulty_names.discard(name)


def run_simulation(seed: int, gateway_count: int, fault_duration_s: float) -> LargeGroup:
    """Runs a large group with proposals and faults, then without them until the newest version is active everywhere.

    Raises:
        LimitExceededError: If the gateways could send more than a limit at some time.
        AssertionError: If the group does not converge in time, or its history lacks an accepted proposal.
    """
    group = LargeGroup(seed, gateway_count)

    async def main() -> None:
        for name in MEMBER_NAMES:
            await group.start_member(name)
        for name in group.gateway_names:
            group.start_gateway(name)
        monitor = asyncio.ensure_future(group.monitor_limits())
        await group.wait_until(group.leader, 10.0)
        await group.propose(group.first_text)
        await group.wait_until(group.has_converged, 20.0)
        operator = asyncio.ensure_future(group.run_operator())
        faults = asyncio.ensure_future(FaultInjector(group).run(fault_duration_s))
        finished_tasks, _ = await asyncio.wait([monitor, operator, faults], return_when=asyncio.FIRST_COMPLETED)
        for task in finished_tasks:
            task.result()
        operator.cancel()
        await group.wait_until(lambda: group.violation or group.has_converged(), 40.0)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        if monitor.done():
            monitor.result()
        monitor.cancel()

    try:
        group.loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(group.loop):
            task.cancel()
        group.loop.close()
    assert not group.loop.callback_errors, group.loop.callback_errors[:1]
    assert group.history_faults() == []
    return group
