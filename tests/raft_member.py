"""One Raft instance of the simulated group: its disk, its core and its state machine."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.raft import Entry, EntryKind, Raft, initial_snapshot
from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.storage import Storage
from pebblehinge.store.errors import StorageError

if TYPE_CHECKING:
    from raft_client import Client
    from raft_cluster import World


@dataclass(frozen=True)
class PendingRead:
    """A read that a core was asked for: the index that its answer must have reached, who asked, as which operation."""

    floor: int
    client: Client
    serial: int


class Instance:
    """One instance with its disk and its state machine: texts that were applied, and each session's last outcome."""

    def __init__(self, world: World, name: str, voters: list[str]) -> None:
        self.world = world
        self.name = name
        self.voters = voters
        self.disk = FaultyDisk(random.Random(f"{world.seed}/{name}/disk"))
        self.incarnation = 0
        self.up = False
        self.clock_rate = 1.0  # ticks of its clock in one of the world's
        self.clock_remainder = 0.0  # part of a tick that has passed
        self.start()

    def start(self) -> None:
        """Starts from what is on the disk."""
        self.storage = Storage(self.disk)
        snapshot = self.storage.snapshot or initial_snapshot(self.voters)
        self.incarnation += 1
        self.raft = Raft(
            self.name,
            snapshot,
            self.storage.entries,
            self.storage.hard_state,
            random.Random(f"{self.world.seed}/{self.name}/{self.incarnation}"),
        )
        self.reads: list[ReadState] = []
        self.pending_reads: dict[int, PendingRead] = {}  # by context
        self.pending_proposals: dict[tuple[str, int], Client] = {}  # by session and serial
        self.restore(snapshot.data, snapshot.index)
        self.up = True

    def restore(self, data: bytes, index: int) -> None:
        """The state machine as a snapshot holds it."""
        self.applied: list[str]
        self.sessions: dict[str, tuple[int, tuple[str, int]]]
        self.applied, self.sessions = msgspec.json.decode(
            data or b"[[],{}]", type=tuple[list[str], dict[str, tuple[int, tuple[str, int]]]]
        )
        self.applied_index = index

    def crash(self) -> None:
        """Stops, and loses what was not synced."""
        self.up = False
        self.disk.crash()

    def process_ready(self) -> None:
        """Does what the core wants, in the order that it asks for."""
        while self.up and (ready := self.raft.ready()):
            try:
                self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            except StorageError:
                self.up = False
                return
            if ready.entries or ready.snapshot:
                self.raft.mark_persisted(self.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                self.restore(ready.snapshot_to_restore.data, ready.snapshot_to_restore.index)
            for entry in ready.committed_entries:
                self.apply(entry)
            self.reads += ready.read_states
            for read in ready.read_states:
                self.finish_read(read)
            for message in [*ready.messages, *ready.messages_after_persist]:
                self.world.send(message)

    def finish_read(self, read: ReadState) -> None:
        """Answers a read from what is applied, unless it is lost; it must see all that was committed when it came."""
        pending = self.pending_reads.pop(read.context, None)
        index = read.index
        if pending is None or index is None:
            return
        assert index >= pending.floor, f"{self.name} reads at {index} what had reached {pending.floor}"
        texts = self.texts()
        pending.client.on_result(pending.serial, (len(texts), texts[-1] if texts else None))

    def apply(self, entry: Entry) -> None:
        """Applies a committed entry; it must be the next one, and what anyone else has applied there."""
        assert entry.index == self.applied_index + 1, f"{self.name} applies {entry.index} after {self.applied_index}"
        self.applied_index = entry.index
        known = self.world.committed.setdefault(entry.index, entry)
        self.world.highest_applied = max(self.world.highest_applied, entry.index)
        assert known == entry, f"two entries committed at {entry.index}: {known} and {entry}"
        if entry.kind == EntryKind.DATA:
            self.apply_data(entry)
        self.raft.mark_applied(entry.index)

    def texts(self) -> list[str]:
        """What sessions have set, in order: its length is the version."""
        return [t for t in self.applied if t != "last"]

    def apply_data(self, entry: Entry) -> None:
        """A text, or `expected version=text` of a session: once each, with the outcome kept for retries."""
        if not entry.session:
            self.applied.append(entry.data.decode())
            return
        serial, outcome = self.sessions.get(entry.session, (0, ("", 0)))
        if entry.serial > serial:
            expected, _, text = entry.data.decode().partition("=")
            version = len(self.texts())
            if int(expected) == version:
                self.applied.append(text)
                outcome = ("set", version + 1)
            else:
                outcome = ("refused", version)
            self.sessions[entry.session] = (entry.serial, outcome)
        client = self.pending_proposals.pop((entry.session, entry.serial), None)
        if client is not None and entry.serial >= serial:
            client.on_result(entry.serial, outcome)

    def compact(self) -> None:
        """Takes a snapshot, and stores it."""
        state = msgspec.json.encode((self.applied, dict(sorted(self.sessions.items()))))
        snapshot = self.raft.compact(state, self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)
