"""Measures a long-lived Raft group: memory over a million entries, and the time to catch up on 100,000.

    python benchmarks/raft_size.py [ENTRIES]

Three cores with their storage exchange messages without delay, on disks in memory, so fsync costs nothing. Proposals
come 500 at a time, with a snapshot every 10,000 entries, as members do. The state machine only counts the entries.
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

MEMBER_NAMES = ["a", "b", "c"]
BATCH_ENTRIES, SNAPSHOT_INTERVAL_ENTRIES = 500, 10_000


class CountingMember:
    """A member whose state machine counts the applied commands."""

    def __init__(self, name: str, seed: int) -> None:
        self.disk = FaultyDisk(random.Random(seed))
        self.storage = Storage(self.disk)
        self.raft = Raft(name, initial_snapshot(MEMBER_NAMES), [], HardState(), random.Random(seed))
        self.applied_commands = self.applied_index = 0
        self.is_running = True

    def process_ready(self, in_transit: list) -> None:
        """Carries out the core's work, and adds its messages to those in transit."""
        while ready := self.raft.ready():
            self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            if ready.entries or ready.snapshot:
                self.raft.mark_persisted(self.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                self.applied_commands, self.applied_index = (
                    int(ready.snapshot_to_restore.data[:20]),
                    ready.snapshot_to_restore.index,
                )
            for entry in ready.committed_entries:
                self.applied_commands += entry.kind == 1
                self.applied_index = entry.index
            self.raft.mark_applied(self.applied_index)
            in_transit += [*ready.messages, *ready.messages_after_persist]

    def compact(self) -> None:
        """Takes a snapshot, and stores it."""
        snapshot = self.raft.compact(b"%020d" % self.applied_commands, self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)


class CountingCluster:
    """Three members, and the messages in transit."""

    def __init__(self) -> None:
        self.members = {n: CountingMember(n, i) for i, n in enumerate(MEMBER_NAMES)}
        self.in_transit: list = []

    def deliver(self) -> None:
        """Delivers messages until none are in transit."""
        while self.in_transit:
            in_transit, self.in_transit = self.in_transit, []
            for message in in_transit:
                member = self.members[message.to]
                if member.is_running:
                    member.raft.step(message)
                    member.process_ready(self.in_transit)

    def tick(self) -> None:
        """Advances all running members by one tick, and delivers their messages."""
        for member in self.members.values():
            if member.is_running:
                member.raft.tick()
                member.process_ready(self.in_transit)
        self.deliver()

    def leader(self) -> CountingMember:
        """Returns the leader; runs the cluster until there is one."""
        while True:
            for member in self.members.values():
                if member.is_running and member.raft.role is Role.LEADER:
                    return member
            self.tick()

    def propose(self, count: int, snapshot_interval: int = SNAPSHOT_INTERVAL_ENTRIES) -> None:
        """Proposes commands in batches, with a snapshot per interval of entries; an interval of 0 means none."""
        leader = self.leader()
        for n in range(count):
            while leader.raft.propose(b"x" * 100) is None:
                leader.process_ready(self.in_transit)
                self.deliver()
            if n % BATCH_ENTRIES == BATCH_ENTRIES - 1 or n == count - 1:
                leader.process_ready(self.in_transit)
                self.deliver()
                self.tick()
                if snapshot_interval and leader.applied_index - leader.raft.log.snapshot_index >= snapshot_interval:
                    for member in self.members.values():
                        member.compact()


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


def catch_up(entries: int, by_snapshot: bool) -> dict[str, float]:
    """Returns the seconds and ticks in which a restarted member catches up, by the log or by a snapshot."""
    cluster = CountingCluster()
    leader = cluster.leader()
    lagging = next(member for member in cluster.members.values() if member is not leader)
    lagging.is_running = False
    cluster.propose(entries, snapshot_interval=0)
    if by_snapshot:
        leader.compact()
    lagging.is_running = True
    started_at, ticks = time.perf_counter(), 0
    while lagging.applied_index < leader.applied_index:
        cluster.tick()
        ticks += 1
    assert lagging.applied_commands == leader.applied_commands == entries, (
        lagging.applied_commands,
        leader.applied_commands,
    )
    return {"seconds": round(time.perf_counter() - started_at, 2), "ticks": ticks}


def main() -> None:
    entries = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000
    results = {f"catch-up of 100,000 by {'snapshot' if s else 'log'}": catch_up(100_000, s) for s in (False, True)}
    cluster = CountingCluster()
    memory_mb = {}
    started_at = time.perf_counter()
    for proposed in range(entries // 10, entries + 1, entries // 10):
        cluster.propose(entries // 10)
        memory_mb[proposed] = round(resident_mb(), 1)
    assert {member.applied_commands for member in cluster.members.values()} == {entries}
    results["memory, MB by entries"] = memory_mb
    results["entries a second"] = round(entries / (time.perf_counter() - started_at))
    results["bytes on a disk at the end"] = sum(len(f) for f in cluster.leader().disk.files.values())
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
