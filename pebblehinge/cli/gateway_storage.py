"""A gateway's storage on disk: its journal and snapshots of the scheduler's state.

Packages that only a gateway needs are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.gateway import GatewayServer
    from pebblehinge.store import RealDisk

SWITCH_INTERVAL_S = 0.0005
"""The interpreter's thread switch interval while a journal is in use.

When the disk has synced a batch, the syncing thread must get the interpreter lock back: with the default of 5 ms each
batch would wait that long.
"""


def read_machine_times() -> tuple[float, float, str]:
    """Returns the wall clock and the monotonic clock, in ms, and the id of the machine's current boot."""
    try:
        boot_id = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        boot_id = ""
    return time.time() * 1000.0, time.monotonic() * 1000.0, boot_id


def open_storage(loop: asyncio.AbstractEventLoop, config: Config, name: str, server: GatewayServer) -> None:
    """Opens a gateway's folder for snapshots and, if it has buffered volumes, its journal.

    Syncs run in a thread, so that they don't block the event loop.

    Raises:
        StorageError: If the folder is missing from the settings or can't be used.
        OSError: If the disk fails.
    """
    from pebblehinge.store import RealDisk, StorageError  # noqa: PLC0415
    from pebblehinge.store.background import thread_runner  # noqa: PLC0415

    folder = config.head[name].store
    buffered = any(v.save == "buffered" for v in config.volume.values())
    if folder is None:
        if buffered:
            raise StorageError("buffered volumes need a folder for their journal: store PATH in the head's block")
        return
    disk = RealDisk(folder)
    disk.acquire_lock()
    server.enable_snapshots(disk, read_machine_times, thread_runner(loop))
    if buffered:
        enable_journal(loop, disk, server)


def enable_journal(loop: asyncio.AbstractEventLoop, disk: RealDisk, server: GatewayServer) -> None:
    """Enables write-back with a journal on a disk."""
    from pebblehinge.store import JournalFencedError  # noqa: PLC0415
    from pebblehinge.store.journal import FENCE_FILE, Batch  # noqa: PLC0415

    sys.setswitchinterval(SWITCH_INTERVAL_S)

    def append_and_sync(batch: Batch) -> None:
        disk.append(batch.file_name, batch.data)
        disk.sync(batch.file_name)
        if batch.creates_file:
            disk.sync_folder()

    async def write_batch(batch: Batch) -> None:
        if disk.exists(FENCE_FILE):
            raise JournalFencedError("another has taken this journal over")
        await loop.run_in_executor(None, append_and_sync, batch)

    server.enable_write_back(disk, write_batch)
