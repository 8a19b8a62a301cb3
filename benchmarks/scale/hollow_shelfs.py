"""Many stand-in shelfs in one process: registered at the node list, listening, answering whoever asks, in memory."""

from __future__ import annotations

import asyncio
from typing import Any

import uvloop

from pebblehinge.cli import ms_clock
from pebblehinge.lab.in_memory_logs import WarningLog
from pebblehinge.settings import load
from pebblehinge.settings.schema import ShelfBlock
from pebblehinge.storage_node import StorageNodeServer
from scale.hollow_heads import serve

FIRST_SLOT = 1000  # no volume of the real clients lies there
FIRST_PORT = 30_000


class HollowShelfs:
    """All of one process."""

    def __init__(self, loop: Any, given: dict[str, Any], counting: Any) -> None:
        config = load(given["file"], given["loopback"])
        kind = next(iter(config.kind))
        self.loop, self.counting, self.stopped = loop, counting, loop.create_future()
        self.shelfs = []
        for n in given["numbers"]:
            name = f"y{n}"
            address = f"{given['loopback']}:{FIRST_PORT + n}"
            config.shelf[name] = ShelfBlock(listen=address, slot=FIRST_SLOT + n, kind=kind)
            self.shelfs.append(StorageNodeServer(loop, ms_clock(loop), config, name, WarningLog(), seed=given["seed"]))

    async def start(self) -> None:
        for shelf in self.shelfs:
            await shelf.start()
        await serve(self, self.loop)
        for shelf in self.shelfs:
            shelf.stop()

    def told(self, line: bytes) -> None:
        pass  # nothing is done to hollow shelfs

    def end(self) -> None:
        pass

    def stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)


def main(given: dict[str, Any], counting: Any) -> None:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(HollowShelfs(loop, given, counting).start())
