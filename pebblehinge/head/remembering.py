"""What a running head has learned, kept on a disk for its next life."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from pebblehinge.head.house import House
from pebblehinge.store import StorageError, memory
from pebblehinge.store.background import Background, inline


class Remembering:
    """Takes up and keeps. A disk that fails costs the memory and nothing else."""

    def __init__(
        self, house: House, disk: Any, times: Callable[[], tuple[float, float, str]], beside: Background = inline
    ) -> None:
        self.house, self.disk, self.times, self.beside = house, disk, times, beside
        self.writing = threading.Lock()  # one at a time: the last of a life waits for the one before it
        self.mark = memory.mark_of(house.config.module_settings(house.block))

    def take_up(self) -> None:
        house = self.house
        if not self.disk.exists(memory.FILE):
            return
        try:
            data = self.disk.read(memory.FILE)
            recalled = memory.recall(data, house.name, self.mark, *self.times())
        except (StorageError, OSError) as error:
            house.log.warning("memory is not taken up", why=str(error))
            return
        house.core.module.recall(house.clock(), recalled.state, recalled.age_ms, recalled.complete)
        shelfs, extents = len(recalled.state["shelfs"]), len(recalled.state["thinks"])
        house.log.info("memory", what=recalled.summary, shelfs=shelfs, extents=extents)

    def keep(self, whole: bool = False) -> None:
        """Writes what is known now; whole where nothing is sent after it."""
        house = self.house
        self.mark = memory.mark_of(house.config.module_settings(house.block))
        state = house.core.module.remembered(house.clock())
        kept = memory.Snapshot(house.name, self.mark, *self.times(), whole, state)

        def write() -> None:
            with self.writing:
                memory.save(self.disk, kept)

        (inline if whole else self.beside)(write, self._written)

    def _written(self, error: BaseException | None) -> None:
        if error is not None:
            self.house.log.warning("memory is not kept", why=str(error))

    def begin(self) -> None:
        """Keeps from now on, every `buffer memory`, as long as the head runs."""
        self.house.loop.call_later(self.house.config.buffer.memory / 1000.0, self._again)

    def _again(self) -> None:
        if not self.house.stopped.done():
            self.keep()
            self.begin()
