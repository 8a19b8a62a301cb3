"""Snapshots of the learned scheduler state, which a gateway saves on a disk for its next incarnation."""

from __future__ import annotations

import threading
from collections.abc import Callable

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.store import StorageError, memory
from pebblehinge.store.background import BackgroundRunner, run_inline
from pebblehinge.store.disk import Disk

ReadClocks = Callable[[], tuple[float, float, str]]
"""Returns the wall clock time and the time since the machine started, in milliseconds, and the boot id."""


class SnapshotManager:
    """Restores and saves snapshots. A disk failure loses the snapshot and has no other effect."""

    def __init__(
        self,
        context: GatewayContext,
        disk: Disk,
        read_clocks: ReadClocks,
        run_in_background: BackgroundRunner = run_inline,
    ) -> None:
        """Creates a manager.

        Args:
            context: The running gateway.
            disk: The folder of the snapshot.
            read_clocks: Returns the times that a snapshot states.
            run_in_background: Runs the disk calls while the event loop continues.
        """
        self.context = context
        self.disk = disk
        self.read_clocks = read_clocks
        self.run_in_background = run_in_background
        self.settings_hash = memory.hash_settings(context.config.scheduler_settings(context.gateway_settings))
        self._write_lock = threading.Lock()  # keeps an earlier snapshot from replacing the last one of an incarnation

    def restore(self) -> None:
        """Restores the scheduler state of an earlier incarnation, if its snapshot is valid and recent."""
        context = self.context
        if not self.disk.exists(memory.SNAPSHOT_FILE):
            return
        try:
            data = self.disk.read(memory.SNAPSHOT_FILE)
            restored = memory.restore(data, context.name, self.settings_hash, *self.read_clocks())
        except (StorageError, OSError) as error:
            context.log.warning("snapshot is not restored", why=str(error))
            return
        context.core.scheduler.restore(context.clock(), restored.state, restored.age_ms, restored.complete)
        node_count, extent_count = len(restored.state["shelfs"]), len(restored.state["thinks"])
        context.log.info("memory", what=restored.summary, shelfs=node_count, extents=extent_count)

    def save(self, complete: bool = False) -> None:
        """Saves the present scheduler state; `complete` states that nothing is sent to storage nodes afterwards."""
        context = self.context
        self.settings_hash = memory.hash_settings(context.config.scheduler_settings(context.gateway_settings))
        state = context.core.scheduler.snapshot(context.clock())
        snapshot = memory.Snapshot(context.name, self.settings_hash, *self.read_clocks(), complete, state)

        def write() -> None:
            with self._write_lock:
                memory.save(self.disk, snapshot)

        (run_inline if complete else self.run_in_background)(write, self._on_saved)

    def start_saving(self) -> None:
        """Starts to save snapshots at the interval of the setting `buffer.memory`, until the gateway has stopped."""
        self.context.loop.call_later(self.context.config.buffer.memory / 1000.0, self._save_periodically)

    def _on_saved(self, error: BaseException | None) -> None:
        if error is not None:
            self.context.log.warning("snapshot is not saved", why=str(error))

    def _save_periodically(self) -> None:
        if not self.context.stopped.done():
            self.save()
            self.start_saving()
