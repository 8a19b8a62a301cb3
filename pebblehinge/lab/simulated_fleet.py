"""A whole fleet in one process and in virtual time: the very classes of the running program, on nodes of a network
in memory. Same seed, same records."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.capture import CaptureWriter
from pebblehinge.discovery import DiscoveryServer
from pebblehinge.gateway import GatewayCore, GatewayServer
from pebblehinge.lab.check import DayFacts
from pebblehinge.lab.clients import Crowd
from pebblehinge.lab.faults.in_memory_target import InMemoryFaultTarget, clock_of, start_config_watcher
from pebblehinge.lab.faults.player import FaultTarget
from pebblehinge.lab.faults.script import Fault
from pebblehinge.lab.fleet import released
from pebblehinge.lab.in_memory_logs import InMemoryRecords, WarningLog
from pebblehinge.lab.lab_fleet import LabFleet
from pebblehinge.lab.rsync_load import Copies
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.settings import Config, render_settings
from pebblehinge.storage_node import Contents, StorageNodeServer

_encode = msgspec.json.Encoder().encode


class SimulatedFleet(LabFleet):
    """Every head, shelf, load and the list stands on a node of its own. `head_core` and `head_config` let tests
    put in a head that breaks a rule on purpose."""

    def __init__(
        self,
        loop: VirtualLoop,
        config: Config,
        day: str,
        seed: int,
        said: Callable[[str], None] = lambda line: None,
        gateway_core: type[GatewayCore] = GatewayCore,
        gateway_config: Config | None = None,
        draw: Any = None,
        fleet_seed: int | None = None,
        snapshot_age_ms: float | None = None,
        script: list[Fault] | None = None,
    ) -> None:
        super().__init__(
            loop.node("lab"), lambda: loop.now * 1000.0, config, day, seed, InMemoryRecords(), said, script
        )
        self.virtual_loop, self.draw = loop, draw
        self.fleet_seed = seed if fleet_seed is None else fleet_seed  # shelfs of one seed have the same speeds
        # None: heads keep nothing; else each life finds what the one before learned, older by so much than it is.
        self.snapshot_age_ms = snapshot_age_ms
        self.log = WarningLog()
        self.gateway_core, self.gateway_config = gateway_core, gateway_config or config
        self.nodes: dict[str, Node] = {}
        self.servers: dict[str, Any] = {}
        self.record_logs: dict[str, InMemoryRecords] = {"lab": self.records}  # type: ignore[dict-item]
        self.contents: dict[int, Contents] = {}
        self.captures: dict[str, bytearray] = {}
        self.incarnations: dict[str, int] = {}
        self.fault_ground = InMemoryFaultTarget(self, loop)
        net = loop.net
        rng = random.Random(f"{seed}/net")
        net.default_link.delay_ms = rng.uniform(0.08, 0.2)

    def _memory(self, name: str) -> InMemoryRecords:
        return self.record_logs.setdefault(name, InMemoryRecords())

    def ground(self) -> FaultTarget:
        return self.fault_ground

    async def start_all(self) -> None:
        for name in self.config.member:
            await self.start_one(name, False)
        node = self.nodes["listing"] = self.virtual_loop.node("listing")
        listing = DiscoveryServer(node, self.clock, self.config, self.log, self._memory("listing"), self.seed)
        self.servers["listing"] = listing
        await listing.start()
        for name in self.config.shelf:
            await self.start_one(name, False)
        for name in self.config.head:
            await self.start_one(name, False)

    async def start_one(self, name: str, cold: bool) -> None:
        node = self.nodes[name] = self.virtual_loop.node(name)
        if name in self.config.head:
            life = self.incarnations[name] = self.incarnations.get(name, -1) + 1
            config = self.gateway_config
            block = msgspec.structs.replace(config.head[name], seed=self.seed * 1000 + life)
            config = msgspec.structs.replace(config, head={**config.head, name: block})
            notes, clock = self._memory(f"head-{name}"), clock_of(node)
            head = GatewayServer(node, clock, config, name, self.log, notes, self.gateway_core)
            self.servers[name] = head
            if self.snapshot_age_ms is not None or self.script is not None:
                disk = self.fault_ground.disk(name, self.seed)
                ahead = life * (self.snapshot_age_ms or 0.0)
                wall = self.fault_ground.wall_of(name)
                head.enable_snapshots(
                    disk, lambda: (clock() + ahead + wall(), clock() + ahead, "virtual"), self.fault_ground.beside(name)
                )
            kept = self.captures[f"{name}.{life}"] = bytearray()
            head.start_capture(CaptureWriter(kept.extend, name, self.clock(), self.clock()))
            await head.start()
            if self.config.member:
                start_config_watcher(
                    node,
                    clock,
                    self.config,
                    name,
                    head,
                    self.fault_ground.disk(name, self.seed),
                    self.log,
                    self.fault_ground.beside(name),
                )
            return
        if name in self.config.member:
            disk, life = self.fault_ground.disk(name, self.seed), self.incarnations.get(name, -1) + 1
            self.incarnations[name] = life
            member = MemberServer(node, clock_of(node), self.config, name, disk, self.log, self.seed * 1000 + life)
            self.servers[name] = member
            member.stopped.add_done_callback(lambda _: node.kill())  # its process ends
            await member.start()
            return
        own, config = name, self.config
        if self.releases.get(name):
            config = msgspec.structs.replace(config, shelf=dict(config.shelf))
            own = released(config, name, self.releases[name])
        contents = self.contents.setdefault(config.shelf[own].slot, Contents())
        notes = self._memory(f"shelf-{own}")
        # A name's further lives differ by their seed alone, so that a restart is no replay of the first hour.
        shelf = StorageNodeServer(node, self.clock, config, own, self.log, notes, contents, not cold, self.seed)
        speed = shelf.machine.kind.speed
        shelf.machine.speed = random.Random(f"{self.fleet_seed}/{own}").uniform(*speed)
        self.servers[name] = shelf
        await shelf.start()

    async def run_load(self, part: int, parts: int, start_ms: float) -> float:
        name = f"load{part + 1}"
        node = self.nodes[name] = self.virtual_loop.node(name)
        crowd = Crowd(node, self.clock, self.config, self.day, self.seed, self._memory(name), part, parts, self.draw)
        self.servers[name] = crowd
        await crowd.connect_all()
        crowd.start(start_ms)
        if part == 0 and self.config.copies is not None:
            copies = Copies(node, self.clock, self.config, self.day, self.seed, self._memory(name))
            copies.start(start_ms)
            await copies.ended
        await crowd.ended
        await crowd.close()
        return crowd.late_ms

    def is_up(self, name: str) -> bool:
        return name in self.nodes and not self.nodes[name].dead

    async def kill_one(self, name: str) -> None:
        self.nodes[name].kill()
        self.fault_ground.killed(name)

    async def stop_one(self, name: str) -> int:
        server, node = self.servers[name], self.nodes[name]
        if isinstance(server, GatewayServer):
            server.stop("told to")
            await server.stopped
        else:
            server.stop()
        await asyncio.sleep(0.02)
        node.kill()
        return 0

    def freeze_one(self, name: str) -> None:
        self.nodes[name].freeze()

    def thaw_one(self, name: str) -> None:
        self.nodes[name].thaw()

    async def stop_all(self) -> None:
        for name in [*self.config.head, *self.config.shelf]:
            if self.is_up(name):
                await self.stop_one(name)
        self.servers["listing"].stop()
        for name in self.config.member:
            self.servers[name].stop()

    # ---- what the day left

    def facts(self) -> DayFacts:
        day = DayFacts(self.config)
        for name, notes in sorted(self.record_logs.items()):
            if name.startswith("load"):
                day.clients(notes.rows)
            elif name == "lab":
                day.lab(notes.rows)
            elif name == "listing":
                day.listing(notes.rows)
            elif name.startswith("shelf-"):
                day.shelf(name.removeprefix("shelf-"), notes.rows)
        return day

    def write(self, folder: Path) -> None:
        """The records as files, as processes would have left them."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text("\n".join(render_settings(self.config)) + "\n")
        for name, data in self.captures.items():
            (folder / f"{name}.capture").write_bytes(data)
        for name, notes in self.record_logs.items():
            (folder / f"{name}.jsonl").write_bytes(b"".join(_encode(row) + b"\n" for row in notes.rows))


class VillageError(Exception):
    """The code under the virtual loop failed: the first fault it was caught with."""


def play(
    config: Config, day: str, seed: int, said: Callable[[str], None] = lambda line: None, **more: Any
) -> tuple[SimulatedFleet, dict[str, Any]]:
    """A whole day in virtual time: the village as the day left it, and what the lab knows."""
    loop = VirtualLoop(seed=seed)
    asyncio.set_event_loop(loop)
    try:
        village = SimulatedFleet(loop, config, day, seed, said, **more)
        known = loop.run_until_complete(village.play())
        # Whatever ran into an error in a callback would go unseen otherwise.
        if loop.callback_errors:
            context = loop.callback_errors[0]
            raise VillageError(f"{context.get('message')}: {context.get('exception')!r}") from context.get("exception")
        return village, known
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        asyncio.set_event_loop(None)
        loop.close()
