"""One Raft member of the simulated cluster: its disk, its core and its state machine."""

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
    from raft_cluster import Cluster


@dataclass(frozen=True)
class PendingRead:
    """A client's read for which the member has requested a read index.

    Attributes:
        min_index: The highest index that any member had applied when the read arrived; the read index may not be lower.
        client: The client that reads.
        serial: The number of the client's operation.
    """

    min_index: int
    client: Client
    serial: int


class Member:
    """One member with its disk and its state machine.

    The state machine holds the texts that were applied, and each session's last serial and outcome.
    """

    def __init__(self, cluster: Cluster, name: str, voters: list[str]) -> None:
        self.cluster = cluster
        self.name = name
        self.voters = voters
        self.disk = FaultyDisk(random.Random(f"{cluster.seed}/{name}/disk"))
        self.incarnation = 0
        self.is_running = False
        self.clock_rate = 1.0  # ticks of the member per tick of the cluster
        self.clock_remainder = 0.0  # the fraction of a tick that has accumulated
        self.start()

    def start(self) -> None:
        """Starts the member from its disk."""
        self.storage = Storage(self.disk)
        snapshot = self.storage.snapshot or initial_snapshot(self.voters)
        self.incarnation += 1
        self.raft = Raft(
            self.name,
            snapshot,
            self.storage.entries,
            self.storage.hard_state,
            random.Random(f"{self.cluster.seed}/{self.name}/{self.incarnation}"),
        )
        self.read_states: list[ReadState] = []
        self.pending_reads: dict[int, PendingRead] = {}  # by context
        self.pending_proposals: dict[tuple[str, int], Client] = {}  # by session and serial
        self.restore(snapshot.data, snapshot.index)
        self.is_running = True

    def restore(self, data: bytes, index: int) -> None:
        """Sets the state machine to the state in a snapshot."""
        self.applied_texts: list[str]
        self.sessions: dict[str, tuple[int, tuple[str, int]]]
        self.applied_texts, self.sessions = msgspec.json.decode(
            data or b"[[],{}]", type=tuple[list[str], dict[str, tuple[int, tuple[str, int]]]]
        )
        self.applied_index = index

    def crash(self) -> None:
        """Stops the member; data that was not synced may be lost."""
        self.is_running = False
        self.disk.crash()

    def process_ready(self) -> None:
        """Carries out the core's work in the order that `Ready` prescribes."""
        while self.is_running and (ready := self.raft.ready()):
            try:
                self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            except StorageError:
                self.is_running = False
                return
            if ready.entries or ready.snapshot:
                self.raft.mark_persisted(self.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                self.restore(ready.snapshot_to_restore.data, ready.snapshot_to_restore.index)
            for entry in ready.committed_entries:
                self.apply(entry)
            self.read_states += ready.read_states
            for read in ready.read_states:
                self.finish_read(read)
            for message in [*ready.messages, *ready.messages_after_persist]:
                self.cluster.send(message)

    def finish_read(self, read: ReadState) -> None:
        """Returns the applied state to the client, unless the read failed; it must cover what was applied before."""
        pending = self.pending_reads.pop(read.context, None)
        index = read.index
        if pending is None or index is None:
            return
        assert index >= pending.min_index, (
            f"{self.name} serves a read at index {index}, below the required index {pending.min_index}"
        )
        texts = self.client_texts()
        pending.client.on_result(pending.serial, (len(texts), texts[-1] if texts else None))

    def apply(self, entry: Entry) -> None:
        """Applies a committed entry: it must be the next one, and the same as on the other members."""
        assert entry.index == self.applied_index + 1, f"{self.name} applies {entry.index} after {self.applied_index}"
        self.applied_index = entry.index
        committed_entry = self.cluster.committed_entries.setdefault(entry.index, entry)
        self.cluster.highest_applied_index = max(self.cluster.highest_applied_index, entry.index)
        assert committed_entry == entry, f"two entries committed at {entry.index}: {committed_entry} and {entry}"
        if entry.kind == EntryKind.DATA:
            self.apply_data(entry)
        self.raft.mark_applied(entry.index)

    def client_texts(self) -> list[str]:
        """Returns the texts in order, without `run_script`'s final proposal; their number is the register's version."""
        return [text for text in self.applied_texts if text != "last"]

    def apply_data(self, entry: Entry) -> None:
        """Applies a text, or a session's `EXPECTED_VERSION=TEXT`.

        A session's proposal is applied only once; its outcome is kept for retries.
        """
        if not entry.session:
            self.applied_texts.append(entry.data.decode())
            return
        serial, outcome = self.sessions.get(entry.session, (0, ("", 0)))
        if entry.serial > serial:
            expected_version, _, text = entry.data.decode().partition("=")
            version = len(self.client_texts())
            if int(expected_version) == version:
                self.applied_texts.append(text)
                outcome = ("set", version + 1)
            else:
                outcome = ("refused", version)
            self.sessions[entry.session] = (entry.serial, outcome)
        client = self.pending_proposals.pop((entry.session, entry.serial), None)
        if client is not None and entry.serial >= serial:
            client.on_result(entry.serial, outcome)

    def compact(self) -> None:
        """Takes a snapshot, and stores it."""
        state = msgspec.json.encode((self.applied_texts, dict(sorted(self.sessions.items()))))
        snapshot = self.raft.compact(state, self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)
