"""A head or more with their doors, shelfs that store, and stand-in rsync clients, in virtual time or on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.discovery import DiscoveryServer
from pebblehinge.gateway import GatewayServer
from pebblehinge.lab.rsync_call import Call
from pebblehinge.lab.rsync_client import call
from pebblehinge.lab.simulated_fleet import InMemoryRecords, WarningLog
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.net import parse_address
from pebblehinge.rsync.stream_protocol import StreamProtocol
from pebblehinge.settings.load import loads
from pebblehinge.storage_node import Contents, StorageNodeServer

SETTINGS = """
rules {
    cold-share 30%
    warm 2s
    fall-multiple 6x
    try-limit 3
    mean-units 2
    most-units 6
    stay-away-max 300ms
}
log {
    level error
}
rsync {
    stall 5s
    stop 3s
    login 2s
}
profile copy-read {
    importance 1
    expected 300ms
    patience 2s
    late-share 10%
    repeat redoable
}
profile copy-write {
    importance 1
    expected 300ms
    patience 2s
    late-share 10%
    repeat redoable
}
profile bid-save {
    importance 3
    expected 300ms
    patience 2s
    late-share 10%
    repeat irreversible
}
plan gold {
    rate 200/s
    reserve 200/s
}
volume files {
    plan gold
    heads 2
    slots 0 1 2
}
module tenders {
    volume files
    read copy-read
    write copy-write
    commit bid-save
    comment "Tender folders"
    read-only no
    patience 2s
    deadline 60s
    block 16KiB
    ahead 128KiB
    max-size 64MiB
    max-files 5000
}
module kept {
    volume files
    read copy-read
    write copy-write
    commit bid-save
    users ana
    allow 10.1.0.0/16 127.0.0.0/8
}
user ana {
    secret s3cret
}
kind k {
    cores 4
    unit-work 2ms
    noise 0
    flush 10m
    cold 2s
    cold-from 40%
    queue 200
}
fleet {
    heads 2
    shelfs 3
    kinds k
    rsync yes
}
"""


class Town:
    """Nodes of a virtual network: the list, shelfs s1 to s3, heads h1 and h2, and a node for each client."""

    def __init__(self, seed: int = 1, settings: str = SETTINGS) -> None:
        self.loop = VirtualLoop(seed=seed)
        self.config = loads(settings)
        self.seed = seed
        self.nodes: dict[str, Node] = {}
        self.servers: dict[str, Any] = {}
        self.contents: dict[int, Contents] = {}
        self.notes: dict[str, InMemoryRecords] = {}
        self.clients = 0
        self.lines: list[StreamProtocol] = []
        self.log = WarningLog()

    def clock(self) -> float:
        return self.loop.now * 1000.0

    async def start(self) -> None:
        node = self.nodes["listing"] = self.loop.node("listing")
        listing = self.servers["listing"] = DiscoveryServer(node, self.clock, self.config, self.log)
        await listing.start()
        for name in self.config.shelf:
            await self.start_shelf(name)
        for name in self.config.head:
            await self.start_head(name)
        await self.until(
            lambda: all(
                len(self.servers[h].core.scheduler.nodes.node_at_slot) == len(self.config.shelf)
                for h in self.config.head
            )
        )

    async def start_shelf(self, name: str, warm: bool = True) -> None:
        node = self.nodes[name] = self.loop.node(name)
        contents = self.contents.setdefault(self.config.shelf[name].slot, Contents())
        notes = self.notes.setdefault(name, InMemoryRecords())
        shelf = StorageNodeServer(node, self.clock, self.config, name, self.log, notes, contents, warm, self.seed)
        self.servers[name] = shelf
        await shelf.start()

    async def start_head(self, name: str) -> None:
        node = self.nodes[name] = self.loop.node(name)
        head = self.servers[name] = GatewayServer(node, self.clock, self.config, name, self.log, InMemoryRecords())
        await head.start()

    def kill(self, name: str) -> None:
        self.nodes[name].kill()

    async def until(self, what: Callable[[], Any], limit: float = 30.0) -> Any:
        end = self.loop.now + limit
        while not (got := what()):
            assert self.loop.now < end, "it did not come to it"
            await asyncio.sleep(0.01)
        return got

    async def line(self, head: str = "h1", stall_ms: float = 60_000.0) -> tuple[StreamProtocol, Node]:
        """A bare connection to a head's door."""
        self.clients += 1
        node = self.nodes[f"client{self.clients}"] = self.loop.node(f"client{self.clients}")
        line = StreamProtocol(node, stall_ms)
        host, port = parse_address(self.config.head[head].rsync)
        await node.create_connection(lambda: line, host, port)
        self.lines.append(line)
        return line, node

    async def call(self, verb: str, wanted: Call, path: str = "", head: str = "h1") -> Call:
        """One whole call of a stand-in client."""
        line, _ = await self.line(head)
        try:
            return await call(line.stream, wanted, verb, path)
        finally:
            line.close()

    async def push(self, files: dict[bytes, Any], path: str = "", head: str = "h1", **more: Any) -> Call:
        return await self.call("push", Call("tenders", files=dict(files), **more), path, head)

    async def pull(self, path: str = "", head: str = "h1", **more: Any) -> Call:
        return await self.call("pull", Call("tenders", **more), path, head)

    def labels(self) -> dict[str, int]:
        """How often each save's label took effect, by the shelfs' own records."""
        seen: dict[str, int] = {}
        for notes in self.notes.values():
            for row in notes.rows:
                if row["e"] == "effect" and row.get("label") and "/d/" in row["x"]:
                    seen[row["label"]] = seen.get(row["label"], 0) + 1
        return seen


def in_town(script: Callable[[Town], Any], seed: int = 1, settings: str = SETTINGS, limit: float = 9000.0) -> Town:
    """Plays a script in a town; whatever fails in a callback fails the test. No save may have landed twice."""
    town = Town(seed, settings)

    async def main() -> None:
        await town.start()
        await asyncio.wait_for(script(town), limit)

    asyncio.set_event_loop(town.loop)
    try:
        town.loop.run_until_complete(main())
        assert not town.loop.callback_errors, town.loop.callback_errors[0]
        faults = [values for _, event, values in town.log.lines if event == "fault"]
        assert not faults, faults[0]["where"]
        assert all(n == 1 for n in town.labels().values()), town.labels()
        return town
    finally:
        tasks = asyncio.all_tasks(town.loop)
        for task in tasks:
            task.cancel()
        town.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        town.loop.close()


def altered(settings: str, **values: str) -> str:
    """Settings with some directives' values replaced: `altered(SETTINGS, deadline="5s")`."""
    for name, value in values.items():
        lines = settings.splitlines()
        at = next(i for i, line in enumerate(lines) if line.split()[:1] == [name.replace("_", "-")])
        lines[at] = f"    {name.replace('_', '-')} {value}"
        settings = "\n".join(lines)
    return settings


__all__ = ["SETTINGS", "Town", "altered", "in_town", "msgspec"]
