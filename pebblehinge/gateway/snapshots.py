"""Snapshots of what a running gateway's scheduler has learned, on a disk for its next incarnation."""

from __future__ import annotations

import threading
from collections.abc import Callable

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.store import StorageError, memory
from pebblehinge.store.background import BackgroundRunner, run_inline
from pebblehinge.store.disk import Disk

Times = Callable[[], tuple[float, float, str]]
"""Returns the wall clock, the time since the machine started (both in milliseconds), and which start that was."""


class SnapshotKeeper:
    """Restores and saves snapshots. A disk that fails costs the snapshot and nothing else."""

    def __init__(
        self, context: GatewayContext, disk: Disk, times: Times, background: BackgroundRunner = run_inline
    ) -> None:
        """Keeps them on `disk`; `beside` runs what waits for it beside the loop."""
        self.context = context
        self.disk = disk
        self.times = times
        self.background = background
        self.settings_mark = memory.hash_settings(context.config.module_settings(context.block))
        self._write_lock = threading.Lock()  # the last snapshot of an incarnation waits for the one before it

    def restore(self) -> None:
        """Gives the scheduler what an earlier incarnation saved, if that is sound and recent."""
        context = self.context
        if not self.disk.exists(memory.SNAPSHOT_FILE):
            return
        try:
            data = self.disk.read(memory.SNAPSHOT_FILE)
            recalled = memory.restore(data, context.name, self.settings_mark, *self.times())
        except (StorageError, OSError) as error:
            context.log.warning("memory is not taken up", why=str(error))
            return
        context.core.scheduler.restore(context.clock(), recalled.state, recalled.age_ms, recalled.complete)
        shelfs, extents = len(recalled.state["shelfs"]), len(recalled.state["thinks"])
        context.log.info("memory", what=recalled.summary, shelfs=shelfs, extents=extents)

    def save(self, complete: bool = False) -> None:
        """Saves what the scheduler knows now; `complete` says that nothing is sent after it."""
        context = self.context
        self.settings_mark = memory.hash_settings(context.config.module_settings(context.block))
        state = context.core.scheduler.snapshot(context.clock())
        snapshot = memory.Snapshot(context.name, self.settings_mark, *self.times(), complete, state)

        def write() -> None:
            with self._write_lock:
                memory.save(self.disk, snapshot)

        (run_inline if complete else self.background)(write, self._on_saved)

    def begin(self) -> None:
        """Saves from now on, each time `buffer memory` has passed, as long as the gateway runs."""
        self.context.loop.call_later(self.context.config.buffer.memory / 1000.0, self._save_again)

    def _on_saved(self, error: BaseException | None) -> None:
        if error is not None:
            self.context.log.warning("memory is not kept", why=str(error))

    def _save_again(self) -> None:
        if not self.context.stopped.done():
            self.save()
            self.begin()
