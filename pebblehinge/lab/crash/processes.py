"""Crash rounds with processes on sockets: the gateway is killed with SIGKILL."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pebblehinge.client import Client, connect
from pebblehinge.lab.crash.settings import SETTINGS
from pebblehinge.lab.crash.verdict import judge
from pebblehinge.lab.crash.writers import Writer, WriteRecords
from pebblehinge.settings.load import loads
from pebblehinge.storage_node import Contents
from pebblehinge.storage_node.journal import read_journal


class ProcessCrashTrial:
    """Crash rounds with real processes: SIGKILL ends the gateway, whose journal is in a real folder.

    The machine does not lose power, so the system's page cache survives; the gateway's memory does not.
    """

    def __init__(self, folder: Path, loopback: str, seed: int) -> None:
        self.folder, self.loopback, self.seed = folder, loopback, seed
        self.rng = random.Random(f"{seed}/sockets")
        self.conf = folder / "crash.conf"
        self.conf.write_text(SETTINGS)
        self.config = loads(SETTINGS, loopback=loopback)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.books = WriteRecords()
        self.kills = 0

    async def start(self, name: str, *role: str) -> None:
        command = [sys.executable, "-m", "pebblehinge", *role, str(self.conf), "--loopback", self.loopback]
        command += ["--name", name] if name != "listing" else []
        command += ["--store", str(self.folder / "store")] if name != "listing" else []
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 30.0)
        if not line.startswith(b"ready"):
            raise RuntimeError(f"{name} did not start")
        self.processes[name] = process

    async def writes(self, writer: Writer, until: float) -> None:
        loop = asyncio.get_running_loop()
        client: Client | None = None
        while loop.time() < until:
            if client is None or client.closed or client.failed:
                try:
                    address = self.config.head["h1"].listen
                    client = await connect(address, name=writer.name, loop=loop, within_ms=500.0)
                except OSError:
                    await asyncio.sleep(0.01)
                    continue
            await writer.one(client, None)
            await asyncio.sleep(writer.rng.uniform(0.0, 0.004))
        if client is not None:
            client.close()

    async def play(self, rounds: int, on_progress: Callable[[str], None]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        try:
            await self.start("listing", "listing")
            await asyncio.gather(*(self.start(name, "shelf") for name in self.config.shelf))
            await self.start("h1", "head")
            for n in range(rounds):
                # All rounds are judged together at the end, when the gateway has written everything to its nodes.
                writers = [Writer(f"r{n}c{i}", random.Random(f"{self.seed}/{n}/{i}"), self.books) for i in range(3)]
                tasks = [asyncio.ensure_future(self.writes(w, loop.time() + 0.45)) for w in writers]
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                self.processes["h1"].kill()
                await self.processes["h1"].wait()
                self.kills += 1
                await self.start("h1", "head")
                await asyncio.gather(*tasks)
                if n % 20 == 19:
                    on_progress(f"round {n + 1} of {rounds}: {len(self.books.confirmed)} confirmed")
            self.processes["h1"].terminate()  # the gateway writes the rest to the nodes before it exits
            code = await asyncio.wait_for(self.processes["h1"].wait(), 40.0)
            totals = judge(self.books, *self.read_effects())
            return {"rounds": rounds, **totals, "fault": int(code != 0)}
        finally:
            for process in self.processes.values():
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    def read_effects(self) -> tuple[dict[str, bytearray], list[tuple[str, int]]]:
        """Returns extents and effects as read from the files of the storage nodes' journals of effects."""
        extents: dict[str, bytearray] = {}
        rows = []
        for path in sorted((self.folder / "store").rglob("effects.journal")):
            contents = Contents()
            for entry in read_journal(path):
                contents.apply(entry.effect)
                if entry.effect.key:
                    rows.append((entry.effect.time_ms, len(rows), entry.effect.key))
            extents |= {x.removeprefix("bids/"): data for x, data in contents.extents.items()}
        rows.sort()
        return extents, [(x.removeprefix("wb.").rpartition(".")[0], n) for n, (_, _, x) in enumerate(rows)]
