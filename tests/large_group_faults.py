"""What befalls a wide group, drawn by seed: kills, freezes, cuts and slow ways of heads, and of whoever leads."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from large_group import CHECK_INTERVAL_S, LargeGroup
from large_group_settings import MEMBER_NAMES


class FaultInjector:
    """Strikes until its time is over; each fault ends by itself, so that all stand again afterwards."""

    def __init__(self, group: LargeGroup) -> None:
        self.group, self.rng = group, random.Random(f"{group.seed}/faults")
        self.tasks: list[asyncio.Task[None]] = []
        self.faulty_names: set[str] = set()  # one fault of a process at a time

    async def run(self, length_s: float) -> None:
        end = self.group.loop.now + length_s
        kinds = [self.kill_gateways, self.freeze_gateways, self.partition_gateways]
        kinds += [self.kill_leader, self.freeze_leader, self.partition_leader]
        while self.group.loop.now < end:
            self._start_fault(self.rng.choice(kinds)())
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*self.tasks)

    def _start_fault(self, fault: Any) -> None:
        self.tasks.append(asyncio.ensure_future(fault))

    def _pick_gateways(self) -> list[str]:
        free = [h for h in self.group.gateway_names if h not in self.faulty_names]
        some = self.rng.sample(free, min(len(free), self.rng.randint(1, max(1, len(self.group.gateway_names) // 10))))
        self.faulty_names.update(some)
        return some

    def _pick_leader(self) -> str | None:
        """Whoever leads, where two more may fail: one that is struck leaves four of five, two leave three."""
        leader = self.group.leader()
        if leader is None or leader.name in self.faulty_names or len(self.faulty_names & set(MEMBER_NAMES)) >= 2:
            return None
        self.faulty_names.add(leader.name)
        return leader.name

    async def kill_gateways(self) -> None:
        some = self._pick_gateways()
        self.group.event_counts["heads killed"] += len(some)
        for name in some:
            self.group.kill_gateway(name)
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        for name in some:
            if self.rng.random() < 0.2:
                self.group.persisted_versions.pop(name, None)  # its folder was lost
            self.group.start_gateway(name)
        self.faulty_names.difference_update(some)

    async def freeze_gateways(self) -> None:
        some = self._pick_gateways()
        self.group.event_counts["heads frozen"] += len(some)
        for name in some:
            self.group.freeze_gateway(name)
        await asyncio.sleep(self.rng.uniform(0.1, 5.0))
        for name in some:
            self.group.thaw_gateway(name)
        self.faulty_names.difference_update(some)

    async def partition_gateways(self) -> None:
        some = self._pick_gateways()
        self.group.event_counts["heads cut"] += len(some)
        members = MEMBER_NAMES if self.rng.random() < 0.7 else self.rng.sample(MEMBER_NAMES, 3)
        to, back = (some, members) if self.rng.random() < 0.5 else (members, some)
        self.group.loop.net.partition(to, back, both=self.rng.random() < 0.6)
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        self.group.loop.net.heal(some, members)
        self.faulty_names.difference_update(some)

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
            to, back = ([name], others) if self.rng.random() < 0.5 else (others, [name])
            self.group.loop.net.partition(to, back, both=self.rng.random() < 0.6)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            self.group.loop.net.heal([name], others)
            self.faulty_names.discard(name)


def run_simulation(seed: int, heads: int, length_s: float) -> LargeGroup:
    """The whole of it, then peace until all heads act on the newest version; raises AssertionError where a limit was
    passed, something did not come to rest, or the group did not keep its word."""
    group = LargeGroup(seed, heads)

    async def main() -> None:
        for name in MEMBER_NAMES:
            await group.start_member(name)
        for name in group.gateway_names:
            group.start_gateway(name)
        watch = asyncio.ensure_future(group.monitor_limits())
        await group.wait_until(group.leader, 10.0)
        await group.propose(group.first_text)
        await group.wait_until(group.has_converged, 20.0)
        operator = asyncio.ensure_future(group.run_operator())
        faults = asyncio.ensure_future(FaultInjector(group).run(length_s))
        done, _ = await asyncio.wait([watch, operator, faults], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        operator.cancel()
        await group.wait_until(lambda: group.violation or group.has_converged(), 40.0)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        if watch.done():
            watch.result()
        watch.cancel()

    try:
        group.loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(group.loop):
            task.cancel()
        group.loop.close()
    assert not group.loop.caught, group.loop.caught[:1]
    assert group.history_faults() == []
    return group
