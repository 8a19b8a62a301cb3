"""One Raft instance of the simulated group: its disk, its core and its state machine."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.raft import Entry, EntryKind, Raft, initial_snapshot
from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.storage import Storage
from pebblehinge.store.disk import StorageError

if TYPE_CHECKING:
    from raft_client import Client
    from raft_world import World


class Instance:
    """One instance with its disk and its state machine: a list of what was applied, and what sessions were told."""

    def __init__(self, world: World, name: str, voters: list[str]) -> None:
        self.world, self.name, self.voters = world, name, voters
        self.disk = FaultyDisk(random.Random(f"{world.seed}/{name}/disk"))
        self.lives = 0
        self.up = False
        self.rate, self.part = 1.0, 0.0  # ticks of its clock in one of the world, and what is left of one
        self.start()

    def start(self) -> None:
        self.storage = Storage(self.disk)
        snapshot = self.storage.snapshot or initial_snapshot(self.voters)
        self.lives += 1
        self.raft = Raft(
            self.name,
            snapshot,
            self.storage.entries,
            self.storage.hard_state,
            random.Random(f"{self.world.seed}/{self.name}/{self.lives}"),
        )
        self.reads: list[ReadState] = []
        # context of a read -> what had been committed then, who asks, and for which of its questions
        self.asked: dict[int, tuple[int, int, Client | None]] = {}
        self.waiting: dict[tuple[str, int], Client] = {}  # session and serial -> who waits here for its outcome
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
        self.up = False
        self.disk.crash()

    def work(self) -> None:
        """Does what the core wants, in the order that it asks for."""
        while self.up and (ready := self.raft.ready()):
            try:
                self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            except StorageError:
                self.up = False
                return
            if ready.entries or ready.snapshot:
                self.raft.persisted(self.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                self.restore(ready.snapshot_to_restore.data, ready.snapshot_to_restore.index)
            for entry in ready.committed_entries:
                self.apply(entry)
            self.reads += ready.read_states
            for read in ready.read_states:
                floor, serial, client = self.asked.pop(read.context, (0, 0, None))
                index = read.index
                assert index is None or index >= floor, f"{self.name} reads at {index} what had reached {floor}"
                if client is not None and index is not None:
                    texts = self.texts()
                    client.hears(serial, (len(texts), texts[-1] if texts else None))
            for message in [*ready.messages, *ready.messages_after_persist]:
                self.world.post(message)

    def apply(self, entry: Entry) -> None:
        assert entry.index == self.applied_index + 1, f"{self.name} applies {entry.index} after {self.applied_index}"
        self.applied_index = entry.index
        known = self.world.committed.setdefault(entry.index, entry)
        self.world.top = max(self.world.top, entry.index)
        assert known == entry, f"two entries committed at {entry.index}: {known} and {entry}"
        if entry.kind == EntryKind.DATA:
            self.take(entry)
        self.raft.applied(entry.index)

    def texts(self) -> list[str]:
        """What sessions have set, in order: its length is the version."""
        return [t for t in self.applied if t != "last"]

    def take(self, entry: Entry) -> None:
        """A text, or `expected version=text` of a session: once each, with the outcome kept for who asks again."""
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
        client = self.waiting.pop((entry.session, entry.serial), None)
        if client is not None and entry.serial >= serial:
            client.hears(entry.serial, outcome)

    def compact(self) -> None:
        state = msgspec.json.encode((self.applied, dict(sorted(self.sessions.items()))))
        snapshot = self.raft.compact(state, self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)
