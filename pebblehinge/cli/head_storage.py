"""What a running head keeps on disk: its journal, and what it has learned."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from pebblehinge.settings import Config


def times_of_machine() -> tuple[float, float, str]:
    """Wall clock and time since the machine started, in ms, and the name of that start."""
    try:
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        boot = ""
    return time.time() * 1000.0, time.monotonic() * 1000.0, boot


def buffer_of(loop: asyncio.AbstractEventLoop, config: Config, name: str, server: Any) -> None:
    """Gives a head its journal, where it has buffered volumes; syncs go to a thread, so that the loop goes on."""
    from pebblehinge.store import JournalFencedError, RealDisk, StorageError
    from pebblehinge.store.background import in_thread
    from pebblehinge.store.journal import FENCE_FILE, Batch

    buffered = any(v.save == "buffered" for v in config.volume.values())
    if config.head[name].store is None:
        if buffered:
            raise StorageError("buffered volumes need a folder for their journal: store PATH in the head's block")
        return
    disk = RealDisk(config.head[name].store)
    disk.own()
    server.keep_snapshots(disk, times_of_machine, in_thread(loop))
    if not buffered:
        return
    # A sync's thread asks for its turn when the disk is done: with the usual 5 ms each batch would wait that long.
    sys.setswitchinterval(0.0005)

    def write(batch: Batch) -> None:
        disk.append(batch.name, batch.data)
        disk.sync(batch.name)
        if batch.new_file:
            disk.sync_folder()

    async def write_batch(batch: Batch) -> None:
        if disk.exists(FENCE_FILE):
            raise JournalFencedError("another has taken this journal over")
        await loop.run_in_executor(None, write, batch)

    server.enable_write_back(disk, write_batch)
