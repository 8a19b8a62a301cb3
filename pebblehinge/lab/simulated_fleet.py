"""A simulated fleet: the classes of the running program in one process, in virtual time and on an in-memory network.
The same seed gives the same records."""

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
    """A fleet whose gateways, storage nodes, loads and discovery server each run on a `Node` of the virtual loop.
    `gateway_core` and `gateway_config` let tests run a gateway that breaks a rule on purpose."""

    def __init__(
        self,
        loop: VirtualLoop,
        config: Config,
        day: str,
        seed: int,
        report_progress: Callable[[str], None] = lambda line: None,
        gateway_core: type[GatewayCore] = GatewayCore,
        gateway_config: Config | None = None,
        draw: Any = None,
        fleet_seed: int | None = None,
        snapshot_age_ms: float | None = None,
        script: list[Fault] | None = None,
    ) -> None:
        super().__init__(
            loop.node("lab"), lambda: loop.now * 1000.0, config, day, seed, InMemoryRecords(), report_progress, script
        )
        self.virtual_loop, self.draw = loop, draw
        self.fleet_seed = seed if fleet_seed is None else fleet_seed  # fixes the speeds of the storage nodes
        # None: gateways store no snapshots unless a fault script is given; else each incarnation reads the one
        # of its predecessor, whose age is increased by so much.
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
        discovery = DiscoveryServer(node, self.clock, self.config, self.log, self._memory("listing"), self.seed)
        self.servers["listing"] = discovery
        await discovery.start()
        for name in self.config.shelf:
            await self.start_one(name, False)
        for name in self.config.head:
            await self.start_one(name, False)

    async def start_one(self, name: str, cold: bool) -> None:
        node = self.nodes[name] = self.virtual_loop.node(name)
        if name in self.config.head:
            incarnation = self.incarnations[name] = self.incarnations.get(name, -1) + 1
            config = self.gateway_config
            block = msgspec.structs.replace(config.head[name], seed=self.seed * 1000 + incarnation)
            config = msgspec.structs.replace(config, head={**config.head, name: block})
            records, clock = self._memory(f"head-{name}"), clock_of(node)
            gateway = GatewayServer(node, clock, config, name, self.log, records, self.gateway_core)
            self.servers[name] = gateway
            if self.snapshot_age_ms is not None or self.script is not None:
                disk = self.fault_ground.disk(name, self.seed)
                snapshot_age = incarnation * (self.snapshot_age_ms or 0.0)
                wall_offset = self.fault_ground.wall_of(name)
                gateway.enable_snapshots(
                    disk,
                    lambda: (clock() + snapshot_age + wall_offset(), clock() + snapshot_age, "virtual"),
                    self.fault_ground.beside(name),
                )
            capture = self.captures[f"{name}.{incarnation}"] = bytearray()
            gateway.start_capture(CaptureWriter(capture.extend, name, self.clock(), self.clock()))
            await gateway.start()
            if self.config.member:
                start_config_watcher(
                    node,
                    clock,
                    self.config,
                    name,
                    gateway,
                    self.fault_ground.disk(name, self.seed),
                    self.log,
                    self.fault_ground.beside(name),
                )
            return
        if name in self.config.member:
            disk, incarnation = self.fault_ground.disk(name, self.seed), self.incarnations.get(name, -1) + 1
            self.incarnations[name] = incarnation
            member = MemberServer(
                node, clock_of(node), self.config, name, disk, self.log, self.seed * 1000 + incarnation
            )
            self.servers[name] = member
            member.stopped.add_done_callback(lambda _: node.kill())  # the member's process ends
            await member.start()
            return
        release_name, config = name, self.config
        if self.releases.get(name):
            config = msgspec.structs.replace(config, shelf=dict(config.shelf))
            release_name = released(config, name, self.releases[name])
        contents = self.contents.setdefault(config.shelf[release_name].slot, Contents())
        records = self._memory(f"shelf-{release_name}")
        # Further incarnations differ by their seed alone, so that a restart does not replay the first hour.
        storage_node = StorageNodeServer(
            node, self.clock, config, release_name, self.log, records, contents, not cold, self.seed
        )
        speed = storage_node.machine.kind.speed
        storage_node.machine.speed = random.Random(f"{self.fleet_seed}/{release_name}").uniform(*speed)
        self.servers[name] = storage_node
        await storage_node.start()

    async def run_load(self, part: int, parts: int, start_ms: float) -> float:
        name = f"load{part + 1}"
        node = self.nodes[name] = self.virtual_loop.node(name)
        clients = Crowd(node, self.clock, self.config, self.day, self.seed, self._memory(name), part, parts, self.draw)
        self.servers[name] = clients
        await clients.connect_all()
        clients.start(start_ms)
        if part == 0 and self.config.copies is not None:
            copies = Copies(node, self.clock, self.config, self.day, self.seed, self._memory(name))
            copies.start(start_ms)
            await copies.ended
        await clients.ended
        await clients.close()
        return clients.late_ms

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

    # ---- results of the day

    def facts(self) -> DayFacts:
        day = DayFacts(self.config)
        for name, records in sorted(self.record_logs.items()):
            if name.startswith("load"):
                day.clients(records.rows)
            elif name == "lab":
                day.lab(records.rows)
            elif name == "listing":
                day.listing(records.rows)
            elif name.startswith("shelf-"):
                day.shelf(name.removeprefix("shelf-"), records.rows)
        return day

    def write(self, folder: Path) -> None:
        """Writes the records to files, as a fleet of processes does."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.conf").write_text("\n".join(render_settings(self.config)) + "\n")
        for name, data in self.captures.items():
            (folder / f"{name}.capture").write_bytes(data)
        for name, records in self.record_logs.items():
            (folder / f"{name}.jsonl").write_bytes(b"".join(_encode(row) + b"\n" for row in records.rows))


class VillageError(Exception):
    """A callback on the virtual loop raised an exception; holds the first one."""


def play(
    config: Config, day: str, seed: int, report_progress: Callable[[str], None] = lambda line: None, **more: Any
) -> tuple[SimulatedFleet, dict[str, Any]]:
    """Runs a whole day in virtual time; returns the fleet after the day and the laboratory's results."""
    loop = VirtualLoop(seed=seed)
    asyncio.set_event_loop(loop)
    try:
        fleet = SimulatedFleet(loop, config, day, seed, report_progress, **more)
        results = loop.run_until_complete(fleet.play())
        # Exceptions in callbacks would go unnoticed otherwise.
        if loop.callback_errors:
            context = loop.callback_errors[0]
            raise VillageError(f"{context.get('message')}: {context.get('exception')!r}") from context.get("exception")
        return fleet, results
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        asyncio.set_event_loop(None)
        loop.close()
