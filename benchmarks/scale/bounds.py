"""What a scale run may take of the machine: looked at before anything starts, and by the run itself while it runs."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from pathlib import Path

from scale.counting import resident
from scale.settings import REAL_HEADS, REAL_SHELFS

MOST_BYTES, MOST_PROCESSES = 12 << 30, 300
HEADS_EACH, SHELFS_EACH = 100, 300  # hollow ones in a process
PROCESS_MB, HEAD_MB, SHELF_MB = 80, 1.0, 0.3  # taken as what they hold at the most
LOOK_S = 0.5


class TooMuch(Exception):
    """One line: what the machine can't hold, or what the run took."""


def available() -> int:
    """Bytes that may be taken without swapping, by the system's own reckoning: caches count as free."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) << 10
    return MOST_BYTES


def processes_of(heads: int, shelfs: int, members: int) -> int:
    hollow = -(-(heads - REAL_HEADS) // HEADS_EACH) + -(-(shelfs - REAL_SHELFS) // SHELFS_EACH)
    return members + REAL_HEADS + REAL_SHELFS + hollow + 3  # the list, the load, and this one


def check(heads: int, shelfs: int, members: int) -> None:
    """Before anything starts; raises TooMuch."""
    if heads <= REAL_HEADS or shelfs < REAL_SHELFS:
        raise TooMuch(f"{heads} heads, {shelfs} shelfs: more than {REAL_HEADS} heads, at least {REAL_SHELFS} shelfs")
    count = processes_of(heads, shelfs, members)
    if count > MOST_PROCESSES:
        raise TooMuch(f"{heads} heads, {shelfs} shelfs: {count} processes, at most {MOST_PROCESSES} may be started")
    wanted = int((count * PROCESS_MB + heads * HEAD_MB + shelfs * SHELF_MB + heads * shelfs * 0.0002) * 2**20)
    most = min(MOST_BYTES, available())
    if wanted > most:
        raise TooMuch(f"{heads} heads, {shelfs} shelfs: {wanted >> 20} MB of memory, {most >> 20} MB may be taken")
    files, soft = heads + shelfs + 200, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if files > soft:
        raise TooMuch(f"{heads} heads, {shelfs} shelfs: {files} open files in the node list, the limit is {soft}")


class Watch:
    """Looks at the whole run while it runs."""

    def __init__(self, pids: Callable[[], list[int]]) -> None:
        self.pids = pids
        self.most_bytes = self.most_processes = 0

    async def run(self) -> None:
        """Ends only by raising TooMuch."""
        while True:
            pids = self.pids()
            held = sum(resident(pid) for pid in pids) + resident()
            self.most_bytes = max(self.most_bytes, held)
            self.most_processes = max(self.most_processes, len(pids) + 1)
            if held > MOST_BYTES or len(pids) + 1 > MOST_PROCESSES:
                raise TooMuch(f"{len(pids) + 1} processes with {held >> 20} MB: the run ends itself")
            await asyncio.sleep(LOOK_S)
