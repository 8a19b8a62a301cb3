"""Snapshots of what a running gateway's scheduler has learned, on a disk for its next incarnation."""

from __future__ import annotations

import threading
from collections.abc import Callable

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.store import StorageError, memory
from pebblehinge.store.background import BackgroundRunner, run_inline
from pebblehinge.store.disk import Disk

ReadClocks = Callable[[], tuple[float, float, str]]
"""Returns the wall clock, the time since the machine started (both in milliseconds), and which start that was."""


class SnapshotManager:
    """Restores and saves snapshots. A disk that fails costs the snapshot and nothing else."""

    def __init__(
        self,
        context: GatewayContext,
        disk: Disk,
        read_clocks: ReadClocks,
        run_in_background: BackgroundRunner = run_inline,
    ) -> None:
        """Keeps them on `disk`; `beside` runs what waits for it beside the loop."""
        self.context = context
        self.disk = disk
        self.read_clocks = read_clocks
        self.run_in_background = run_in_background
        self.settings_hash = memory.hash_settings(context.config.module_settings(context.gateway_settings))
        self._write_lock = threading.Lock()  # the last snapshot of an incarnation waits for the one before it

    def restore(self) -> None:
        """Gives the scheduler what an earlier incarnation saved, if that is sound and recent."""
        context = self.context
        if not self.disk.exists(memory.SNAPSHOT_FILE):
            return
        try:
            data = self.disk.read(memory.SNAPSHOT_FILE)
            restored = memory.restore(data, context.name, self.settings_hash, *self.read_clocks())
        except (StorageError, OSError) as error:
            context.log.warning("memory is not taken up", why=str(error))
            return
        context.core.scheduler.restore(context.clock(), restored.state, restored.age_ms, restored.complete)
        node_count, extent_count = len(restored.state["shelfs"]), len(restored.state["thinks"])
        context.log.info("memory", what=restored.summary, shelfs=node_count, extents=extent_count)

    def save(self, complete: bool = False) -> None:
        """Saves what the scheduler knows now; `complete` says that nothing is sent after it."""
        context = self.context
        self.settings_hash = memory.hash_settings(context.config.module_settings(context.gateway_settings))
        state = context.core.scheduler.snapshot(context.clock())
        snapshot = memory.Snapshot(context.name, self.settings_hash, *self.read_clocks(), complete, state)

        def write() -> None:
            with self._write_lock:
                memory.save(self.disk, snapshot)

        (run_inline if complete else self.run_in_background)(write, self._on_saved)

    def start_saving(self) -> None:
        """Saves from now on, each time `buffer memory` has passed, as long as the gateway runs."""
        self.context.loop.call_later(self.context.config.buffer.memory / 1000.0, self._save_periodically)

    def _on_saved(self, error: BaseException | None) -> None:
        if error is not None:
            self.context.log.warning("memory is not kept", why=str(error))

    def _save_periodically(self) -> None:
        if not self.context.stopped.done():
            self.save()
            self.start_saving()
