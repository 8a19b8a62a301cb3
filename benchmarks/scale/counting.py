"""What one process of a scale run tells of itself: frames by kind, processor time, memory, lag of its loop, and which
version its heads act on. Laid under a process before the program's own command line runs in it."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import uvloop

from pebblehinge.net import Peer
from pebblehinge.replicated_config import config_watcher
from pebblehinge.replicated_config.activation import allowances_of
from pebblehinge.wire import FrameDecoder, Kind

KIND_AT = 8  # a frame's kind stands behind its length and its checksum
SAMPLE_S, LOOK_S = 0.25, 0.02
PAGE = 4096
NAMES = {int(kind): kind.name for kind in Kind}


def resident(pid: int | str = "self") -> int:
    """Bytes of memory that a process holds now; 0 where it is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    except (OSError, IndexError):
        return 0


class Counting:
    """Writes a line of figures every SAMPLE_S and each change of what a head acts on, to files of a folder."""

    def __init__(self, folder: Path, name: str, shared: str, frames: bool) -> None:
        self.samples = (folder / f"{name}.samples").open("a")
        self.rows = (folder / f"{name}.rows").open("a")
        self.shared, self.frames = shared, frames
        self.out: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.came: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.lag = 0.0
        self.monotonic = time.monotonic  # before a laboratory's clock is laid under it
        self.pending: list[str] = []

    def lay(self) -> None:
        """Under connections, watchers and loop; after what the laboratory lays."""
        if self.frames:
            self._under_frames()
        self._under_watchers()
        make = uvloop.new_event_loop

        def new_event_loop() -> Any:
            loop = make()
            loop.call_soon(self._begin, loop)
            return loop

        uvloop.new_event_loop = new_event_loop  # type: ignore[assignment]

    def _under_frames(self) -> None:
        out, came, write, following = self.out, self.came, Peer._write, FrameDecoder.next

        def counted_write(peer: Peer, data: bytes) -> None:
            row = out[data[KIND_AT]]
            row[0] += 1
            row[1] += len(data)
            write(peer, data)

        def counted_next(frames: FrameDecoder) -> Any:
            before = frames.offset
            got = following(frames)
            if got is not None:
                row = came[got[0]]
                row[0] += 1
                row[1] += frames.offset - before
            return got

        Peer._write, FrameDecoder.next = counted_write, counted_next  # type: ignore[method-assign]

    def _under_watchers(self) -> None:
        counting = self

        class NotedWatcher(config_watcher.ConfigWatcher):
            """Tells of each change of what the head acts on."""

            def __init__(self, loop: Any, clock: Any, config: Any, application: Any, adopt: Any, *more: Any) -> None:
                def noted(new: Any, mode: str) -> None:
                    part = allowances_of(new, application.gateway).get(counting.shared, (0.0, 0.0))[0]
                    counting.note(head=application.gateway, version=application.active, mode=mode, part=part)
                    adopt(new, mode)

                super().__init__(loop, clock, config, application, noted, *more)

        config_watcher.ConfigWatcher = NotedWatcher  # type: ignore[misc]

    def note(self, **values: Any) -> None:
        self.pending.append(json.dumps({"t": round(self.monotonic(), 4), **values}))

    # ---- on the loop

    def _begin(self, loop: asyncio.AbstractEventLoop) -> None:
        self._look(loop, self.monotonic())
        self._sample(loop)

    def _look(self, loop: asyncio.AbstractEventLoop, expected: float) -> None:
        now = self.monotonic()
        self.lag = max(self.lag, now - expected)
        loop.call_later(LOOK_S, self._look, loop, now + LOOK_S)

    def _sample(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(SAMPLE_S, self._sample, loop)
        self.write()

    def write(self) -> None:
        figures = {
            "t": round(self.monotonic(), 4),
            "cpu": round(time.process_time(), 4),
            "rss": resident(),
            "lag_ms": round(self.lag * 1000.0, 2),
            "out": {NAMES[k]: v for k, v in self.out.items()},
            "in": {NAMES[k]: v for k, v in self.came.items()},
        }
        self.lag = 0.0
        self.samples.write(json.dumps(figures) + "\n")
        self.samples.flush()
        if self.pending:
            self.rows.write("\n".join(self.pending) + "\n")
            self.rows.flush()
            self.pending.clear()
