"""What befalls a wide group, drawn by seed: kills, freezes, cuts and slow ways of heads, and of whoever leads."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from wide_document import MEMBERS
from wide_world import LOOK_S, WideGroup


class Faults:
    """Strikes until its time is over; each fault ends by itself, so that all stand again afterwards."""

    def __init__(self, group: WideGroup) -> None:
        self.group, self.rng = group, random.Random(f"{group.seed}/faults")
        self.under_way: list[asyncio.Task[None]] = []
        self.struck: set[str] = set()  # one fault of a process at a time

    async def run(self, length_s: float) -> None:
        end = self.group.loop.now + length_s
        kinds = [self.kill_heads, self.freeze_heads, self.cut_heads]
        kinds += [self.kill_leader, self.freeze_leader, self.cut_leader]
        while self.group.loop.now < end:
            self._begin(self.rng.choice(kinds)())
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*self.under_way)

    def _begin(self, fault: Any) -> None:
        self.under_way.append(asyncio.ensure_future(fault))

    def _some(self) -> list[str]:
        free = [h for h in self.group.heads if h not in self.struck]
        some = self.rng.sample(free, min(len(free), self.rng.randint(1, max(1, len(self.group.heads) // 10))))
        self.struck.update(some)
        return some

    def _leader(self) -> str | None:
        """Whoever leads, where two more may fail: one that is struck leaves four of five, two leave three."""
        leader = self.group.leader()
        if leader is None or leader.name in self.struck or len(self.struck & set(MEMBERS)) >= 2:
            return None
        self.struck.add(leader.name)
        return leader.name

    async def kill_heads(self) -> None:
        some = self._some()
        self.group.counts["heads killed"] += len(some)
        for name in some:
            self.group.kill_head(name)
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        for name in some:
            if self.rng.random() < 0.2:
                self.group.kept.pop(name, None)  # its folder was lost
            self.group.start_head(name)
        self.struck.difference_update(some)

    async def freeze_heads(self) -> None:
        some = self._some()
        self.group.counts["heads frozen"] += len(some)
        for name in some:
            self.group.freeze_head(name)
        await asyncio.sleep(self.rng.uniform(0.1, 5.0))
        for name in some:
            self.group.thaw_head(name)
        self.struck.difference_update(some)

    async def cut_heads(self) -> None:
        some = self._some()
        self.group.counts["heads cut"] += len(some)
        members = MEMBERS if self.rng.random() < 0.7 else self.rng.sample(MEMBERS, 3)
        to, back = (some, members) if self.rng.random() < 0.5 else (members, some)
        self.group.loop.net.partition(to, back, both=self.rng.random() < 0.6)
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        self.group.loop.net.heal(some, members)
        self.struck.difference_update(some)

    async def kill_leader(self) -> None:
        if (name := self._leader()) is not None:
            self.group.counts["leaders killed"] += 1
            self.group.kill_member(name)
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            await self.group.start_member(name)
            self.struck.discard(name)

    async def freeze_leader(self) -> None:
        if (name := self._leader()) is not None:
            self.group.counts["leaders frozen"] += 1
            self.group.nodes[name].freeze()
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            self.group.nodes[name].thaw()
            self.struck.discard(name)

    async def cut_leader(self) -> None:
        if (name := self._leader()) is not None:
            self.group.counts["leaders cut"] += 1
            others = [m for m in MEMBERS if m != name]
            to, back = ([name], others) if self.rng.random() < 0.5 else (others, [name])
            self.group.loop.net.partition(to, back, both=self.rng.random() < 0.6)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            self.group.loop.net.heal([name], others)
            self.struck.discard(name)


def play(seed: int, heads: int, length_s: float) -> WideGroup:
    """The whole of it, then peace until all heads act on the newest version; raises AssertionError where a limit was
    passed, something did not come to rest, or the group did not keep its word."""
    group = WideGroup(seed, heads)

    async def main() -> None:
        for name in MEMBERS:
            await group.start_member(name)
        for name in group.heads:
            group.start_head(name)
        watch = asyncio.ensure_future(group.watch())
        await group.until(group.leader, 10.0)
        await group.propose(group.first)
        await group.until(group.settled, 20.0)
        operator = asyncio.ensure_future(group.operate())
        faults = asyncio.ensure_future(Faults(group).run(length_s))
        done, _ = await asyncio.wait([watch, operator, faults], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        operator.cancel()
        await group.until(lambda: group.over or group.settled(), 40.0)
        await asyncio.sleep(2 * LOOK_S)
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
    assert group.word() == []
    return group
