"""What is done to a scale run's fleet, one event a run, and how long it takes until all is well."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from pebblehinge.lab.faults.script import Fault
from scale.following import Following
from scale.settings import Versions
from scale.waiting import Waiting

REST_S, BETWEEN_S = 6.0, 2.0
CUT_S, GONE_S, DOWN_S, ZONE_S = 15.0, 3.0, (1.0, 3.0), 12.0


class Events(Waiting):
    """Called with the stage once the fleet is up. `cap_s`: no version and no return is waited for any longer."""

    async def __call__(self, stage: Any) -> None:
        self.stage, self.loop = stage, stage.loop
        self.members = [block.listen for block in stage.config.member.values()]
        self.heads = list(stage.config.head)
        self.versions = Versions(stage.config, self.seed, self.short)
        self.following = Following(stage.figures)
        began = time.monotonic()
        first = await self.propose()
        await self.in_force(first)
        self.told["up_s"] = round(time.monotonic() - began, 3)
        self.told["well"] = await self.well()
        self.leader = await self.find_leader()
        self.told["leader"] = self.leader
        begin = time.monotonic() + 1.0
        await asyncio.sleep(1.0 + REST_S)
        self.told["windows"]["rest"] = (begin, time.monotonic())
        begin = time.monotonic()
        await getattr(self, f"_{self.event}")()
        self.told["windows"]["event"] = (begin, time.monotonic())
        self.following.look()

    # ---- the events

    async def _none(self) -> None:
        await asyncio.sleep(BETWEEN_S)

    async def _version(self) -> None:
        """Three, one after the other."""
        for _ in range(3):
            row = await self.propose()
            await self.in_force(row)
            await asyncio.sleep(BETWEEN_S)
            row["until"] = time.monotonic()
            if row["last_s"] is None:
                self.told["ended"] = f"version {row['version']} not in force everywhere after {self.cap_s:g} s"
                return

    async def _burst(self) -> None:
        """Ten that are there at once, each based on the one before."""
        begin = time.monotonic()
        rows = [await self.propose(begin) for _ in range(10)]
        await self.in_force(rows[-1])
        for row in rows[:-1]:
            await self.in_force(row)
        self.told["well"] = await self.well()

    async def _leader(self) -> None:
        """Its process is killed, a version proposed at once; it comes back when that is in force."""
        await self.stage.run_verb("kill", self.leader)
        row = await self.propose()
        await self.in_force(row)
        self.told["next_leader"] = await self.find_leader()
        await self.stage.run_verb("start", self.leader)
        self.told["well"] = await self.well()

    async def _restart(self) -> None:
        """A tenth of the hollow heads dies at once and comes back within seconds; a version is proposed meanwhile."""
        self._kill_hollow(10, DOWN_S)
        row = await self.propose()
        await self.in_force(row)
        self.told["well"] = await self.well()

    async def _zone(self) -> None:
        """A quarter of the hollow heads dies at once, for several leases, and comes back at once; a version is
        proposed while they are gone and another one as they return."""
        begin, struck = time.monotonic(), set(self._kill_hollow(4, (ZONE_S, ZONE_S)))
        row = await self.propose()
        await self.in_force(row, [h for h in self.heads if h not in struck])
        await asyncio.sleep(max(0.0, begin + ZONE_S - time.monotonic()))
        row = await self.propose()
        await self.in_force(row)
        self.told["well"] = await self.well()

    async def _freeze(self) -> None:
        """The first process of hollow heads stands for several leases; a version is proposed meanwhile."""
        process = next(iter(self.stage.holds))
        begin, struck = time.monotonic(), set(self.stage.holds[process])
        self.following.look()
        before = {head: self.following.now[head] for head in struck}
        self.stage.freeze_one(process)
        self._note(before, stands=True)  # a process that stands sends nothing, and can't say so
        try:
            row = await self.propose()
            await self.in_force(row, [h for h in self.heads if h not in struck])
            await asyncio.sleep(max(0.0, begin + ZONE_S - time.monotonic()))
        finally:
            self._note(before, stands=False)
            self.stage.thaw_one(process)
        self.told["well"] = await self.well()

    def _note(self, rows: dict[str, dict[str, Any]], stands: bool) -> None:
        """Heads stand, or act on what they acted on before until they say otherwise."""
        for row in rows.values():
            self.following.rows.append(row | {"t": time.monotonic()} | ({"part": 0.0} if stands else {}))

    def _kill_hollow(self, every: int, down_s: tuple[float, float]) -> list[str]:
        """One in so many of each process's heads; their names."""
        struck = []
        for process, names in self.stage.holds.items():
            struck += names[::every]
            self.stage.tell(process, restart=names[::every], down_s=down_s)
        self.told["struck"] = len(struck)
        return struck

    async def _discovery(self) -> None:
        """The node list is killed and started again, with nothing of what it knew."""
        before = dict(self.following.known)
        await self.stage.run_verb("kill", "listing")
        await asyncio.sleep(GONE_S)
        await self.stage.start_listing()
        self.told["well"] = await self.well(before)

    async def _cut(self) -> None:
        """The regions lose each other for a while; a version is proposed meanwhile, then they are healed."""
        first, second = self.stage.sides()
        fault = Fault(0.0, "cut", tuple(first), tuple(second), 0.0, CUT_S * 1000.0)
        self.stage.way("begin", fault)
        begin = time.monotonic()
        reached = [h for h in self.heads if self._process(h) in first]
        row = await self.propose()
        await self.in_force(row, reached)
        await asyncio.sleep(max(0.0, begin + CUT_S - time.monotonic()))
        self.stage.way("end", fault)
        self.told["well"] = await self.well()

    def _process(self, head: str) -> str:
        return next((p for p, names in self.stage.holds.items() if head in names), head)


EVENTS = ("none", "version", "burst", "leader", "restart", "zone", "freeze", "discovery", "cut")
