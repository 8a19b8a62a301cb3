"""What a long life costs: memory over a million entries, catch-up of 100,000.

    python benchmarks/raft_size.py [ENTRIES]

Three cores with their storage, messages handed over at once, disks in memory (so fsync costs nothing); proposals 500 at
a time, a snapshot every 10,000 entries, as instances do. The state machine keeps a count alone.
"""

from __future__ import annotations

import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from pebblehinge.lab.disk import FaultyDisk  # noqa: E402
from pebblehinge.raft import HardState, Raft, Role, initial_snapshot  # noqa: E402
from pebblehinge.raft.storage import Storage  # noqa: E402

NAMES = ["a", "b", "c"]
BATCH, KEEP = 500, 10_000


class One:
    """An instance whose state machine counts."""

    def __init__(self, name: str, seed: int) -> None:
        self.disk = FaultyDisk(random.Random(seed))
        self.storage = Storage(self.disk)
        self.raft = Raft(name, initial_snapshot(NAMES), [], HardState(), random.Random(seed))
        self.count = self.at = 0
        self.up = True

    def work(self, way: list) -> None:
        while ready := self.raft.ready():
            self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            if ready.entries or ready.snapshot:
                self.raft.mark_persisted(self.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                self.count, self.at = int(ready.snapshot_to_restore.data[:20]), ready.snapshot_to_restore.index
            for entry in ready.committed_entries:
                self.count += entry.kind == 1
                self.at = entry.index
            self.raft.mark_applied(self.at)
            way += [*ready.messages, *ready.messages_after_persist]

    def compact(self) -> None:
        snapshot = self.raft.compact(b"%020d" % self.count, self.at)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)


class Three:
    def __init__(self) -> None:
        self.all = {n: One(n, i) for i, n in enumerate(NAMES)}
        self.way: list = []

    def deliver(self) -> None:
        while self.way:
            way, self.way = self.way, []
            for m in way:
                one = self.all[m.to]
                if one.up:
                    one.raft.step(m)
                    one.work(self.way)

    def tick(self) -> None:
        for one in self.all.values():
            if one.up:
                one.raft.tick()
                one.work(self.way)
        self.deliver()

    def leader(self) -> One:
        while True:
            for one in self.all.values():
                if one.up and one.raft.role is Role.LEADER:
                    return one
            self.tick()

    def propose(self, count: int, keep: int = KEEP) -> None:
        leader = self.leader()
        for n in range(count):
            while leader.raft.propose(b"x" * 100) is None:
                leader.work(self.way)
                self.deliver()
            if n % BATCH == BATCH - 1 or n == count - 1:
                leader.work(self.way)
                self.deliver()
                self.tick()
                if keep and leader.at - leader.raft.log.snapshot_index >= keep:
                    for one in self.all.values():
                        one.compact()


def resident() -> float:
    """MB that this process holds now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


def catch_up(entries: int, by_snapshot: bool) -> dict[str, float]:
    three = Three()
    leader = three.leader()
    lone = next(o for o in three.all.values() if o is not leader)
    lone.up = False
    three.propose(entries, keep=0)
    if by_snapshot:
        leader.compact()
    lone.up = True
    began, ticks = time.perf_counter(), 0
    while lone.at < leader.at:
        three.tick()
        ticks += 1
    assert lone.count == leader.count == entries, (lone.count, leader.count)
    return {"seconds": round(time.perf_counter() - began, 2), "ticks": ticks}


def main() -> None:
    entries = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000
    told = {f"catch-up of 100,000 by {'snapshot' if s else 'log'}": catch_up(100_000, s) for s in (False, True)}
    three = Three()
    marks = {}
    began = time.perf_counter()
    for done in range(entries // 10, entries + 1, entries // 10):
        three.propose(entries // 10)
        marks[done] = round(resident(), 1)
    assert {o.count for o in three.all.values()} == {entries}
    told["memory, MB by entries"] = marks
    told["entries a second"] = round(entries / (time.perf_counter() - began))
    told["bytes on a disk at the end"] = sum(len(f) for f in three.leader().disk.files.values())
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
