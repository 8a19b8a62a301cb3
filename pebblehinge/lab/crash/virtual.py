"""A crash round in virtual time, with a simulated disk that loses what was not synced."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from pebblehinge.client import Client, connect
from pebblehinge.discovery import DiscoveryServer
from pebblehinge.gateway import GatewayServer
from pebblehinge.lab.crash.settings import SETTINGS
from pebblehinge.lab.crash.verdict import judge
from pebblehinge.lab.crash.writers import Writer, WriteRecords
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.simulated_fleet import InMemoryRecords, WarningLog
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.settings.load import loads
from pebblehinge.storage_node import Contents, StorageNodeServer
from pebblehinge.store import StorageError
from pebblehinge.store.journal import Batch


class VirtualCrashTrial:
    """The crash trial of one seed, on an in-memory network with a simulated disk."""

    def __init__(self, seed: int, disk: type[FaultyDisk] = FaultyDisk) -> None:
        self.seed, self.rng = seed, random.Random(f"{seed}/crash")
        self.loop = VirtualLoop(seed=seed)
        self.config = loads(SETTINGS)
        self.disk = disk(random.Random(f"{seed}/disk"), holes=True)
        self.contents = [Contents() for _ in range(3)]
        self.books = WriteRecords()
        self.log = WarningLog()
        self.stall_ms = 0.0
        self.node: Node | None = None
        self.head: GatewayServer | None = None
        self.incarnation = 0
        self.shelfs: list[StorageNodeServer] = []

    def clock(self) -> float:
        return self.loop.now * 1000.0

    async def append_and_sync(self, batch: Batch) -> None:
        """Appends, waits and syncs, as a background thread does."""
        incarnation = self.incarnation
        self.disk.append(batch.file_name, batch.data)
        await asyncio.sleep(self.rng.uniform(0.0002, 0.004) + self.stall_ms / 1000.0)
        if incarnation != self.incarnation:
            raise OSError(5, "the process is gone")
        self.disk.sync(batch.file_name)

    async def start_head(self) -> None:
        self.incarnation += 1
        self.node = self.loop.node("h1")
        head = self.head = GatewayServer(self.node, self.clock, self.config, "h1", self.log, InMemoryRecords())
        head.enable_write_back(self.disk, self.append_and_sync)
        await head.start()

    def kill_head(self) -> None:
        assert self.node is not None and self.head is not None
        self.incarnation += 1
        self.node.kill()
        if self.head.write_back is not None:
            self.head.write_back.close()
        self.disk.crash()

    def stored_extents(self) -> dict[str, bytearray]:
        return {x.removeprefix("bids/"): data for c in self.contents for x, data in c.extents.items()}

    def effects(self) -> list[tuple[str, int]]:
        rows = sorted((e.time_ms, i, e.key) for c in self.contents for i, e in enumerate(c.effects) if e.key)
        return [(label.removeprefix("wb.").rpartition(".")[0], n) for n, (_, _, label) in enumerate(rows)]

    async def writes(self, writer: Writer, until_ms: float) -> None:
        node = self.loop.node(writer.name)
        client: Client | None = None
        while self.clock() < until_ms:
            if client is None or client.closed or client.failed:
                try:
                    client = await connect(self.config.head["h1"].listen, name=writer.name, loop=node, within_ms=500.0)
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
            await writer.one(client, self.stored_extents)
            await asyncio.sleep(writer.rng.uniform(0.0, 0.01))
        if client is not None:
            client.close()

    async def main(self, kills: int) -> None:
        node = self.loop.node("listing")
        listing = DiscoveryServer(node, self.clock, self.config, self.log)
        await listing.start()
        for n, name in enumerate(self.config.shelf):
            node, notes = self.loop.node(name), InMemoryRecords()
            shelf = StorageNodeServer(
                node, self.clock, self.config, name, self.log, notes, self.contents[n], True, self.seed
            )
            self.shelfs.append(shelf)
            await shelf.start()
        await self.start_head()
        await asyncio.sleep(1.0)
        length = 700.0 * kills + 500.0
        end = self.clock() + length
        writers = [Writer(f"c{n}", random.Random(f"{self.seed}/{n}"), self.books) for n in range(4)]
        tasks = [asyncio.ensure_future(self.writes(w, end)) for w in writers]
        for _ in range(kills):
            await asyncio.sleep(self.rng.expovariate(1 / 0.35))
            if self.rng.random() < 0.2:
                shelf = self.rng.choice(self.shelfs)
                shelf.control("hang", {})
                self.loop.call_later(0.4, lambda s=shelf: s.control("hang", {"off": 1}))
            self.kill_head()
            await asyncio.sleep(self.rng.choice([0.0, 0.05, 0.3]))
            await self.start_head()
            if self.rng.random() < 0.3:  # killed again during recovery
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                self.kill_head()
                await self.start_head()
        await asyncio.gather(*tasks)
        assert self.head is not None and self.head.write_back is not None
        back, until = self.head.write_back, self.loop.now + 60.0
        while len(back.dirty) and self.loop.now < until:
            await asyncio.sleep(0.05)

    def play(self, kills: int) -> dict[str, Any]:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self.main(kills))
            faults = [v for _, event, v in self.log.lines if event == "fault"]
            if faults or self.loop.callback_errors:
                raise RuntimeError(str(faults or self.loop.callback_errors[0]))
            return judge(self.books, self.stored_extents(), self.effects())
        finally:
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            asyncio.set_event_loop(None)
            self.loop.close()


def one(seed: int, kills: int = 3) -> dict[str, Any]:
    """Runs one seed; an error raised by the gateway counts as a violation."""
    try:
        return VirtualCrashTrial(seed).play(kills)
    except (AssertionError, RuntimeError, StorageError) as error:
        return {
            "confirmed": 0,
            "missing": 0,
            "doubled": 0,
            "claimed_wrongly": 0,
            "order_broken": 0,
            "unknown": 0,
            "flushes": 0,
            "barriers": 0,
            "first": f"{type(error).__name__}: {error}",
            "fault": 1,
        }
