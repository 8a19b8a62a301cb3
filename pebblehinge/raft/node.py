"""The asyncio driver of a Raft core: its ticks, storage, links to the other members and state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pebblehinge.raft.codec import decode_message
from pebblehinge.raft.core import Raft
from pebblehinge.raft.entries import Entry, Snapshot
from pebblehinge.raft.messages import Message
from pebblehinge.raft.ready import ReadState, Ready
from pebblehinge.raft.state import Role
from pebblehinge.raft.storage import Storage
from pebblehinge.raft.transport import PeerLink
from pebblehinge.store.errors import StorageError


@dataclass(frozen=True, slots=True)
class NodeCallbacks:
    """The functions through which a node reaches the state machine and its owner.

    Attributes:
        apply: Applies a committed entry; called once per entry, in order.
        restore: Replaces the state machine's state by that of a snapshot.
        take_snapshot: Returns the state machine's state after the last applied entry.
        on_read_done: Receives a read's context and whether the read may be served now.
        on_storage_failed: Receives the error, once, after the node has stopped.
    """

    apply: Callable[[Entry], None]
    restore: Callable[[bytes], None]
    take_snapshot: Callable[[], bytes]
    on_read_done: Callable[[int, bool], None]
    on_storage_failed: Callable[[StorageError], None]


class Node:
    """One member: a core with its storage, and its links to the other members by name."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        raft: Raft,
        storage: Storage,
        links: Mapping[str, PeerLink],
        callbacks: NodeCallbacks,
        tick_ms: float,
        snapshot_interval_entries: int,
    ) -> None:
        """Sets up the node, which takes a snapshot after every `snapshot_interval_entries` applied entries."""
        self.loop = loop
        self.raft = raft
        self.storage = storage
        self.links = links
        self.callbacks = callbacks
        self.tick_s = tick_ms / 1000.0
        self.snapshot_interval_entries = snapshot_interval_entries
        self.waiting_reads: list[ReadState] = []  # reads whose read index is not applied yet
        self.tick_timer: asyncio.TimerHandle | None = None
        self.is_running = True
        self.is_processing = False

    @property
    def is_leader(self) -> bool:
        """Returns whether this member is running and, to its knowledge, the leader."""
        return self.is_running and self.raft.role is Role.LEADER

    def start(self) -> None:
        """Starts the core's ticks."""
        self.tick_timer = self.loop.call_later(self.tick_s, self._tick)

    def stop(self) -> None:
        """Stops permanently: nothing is sent, stored or applied afterwards."""
        self.is_running = False
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        for link in self.links.values():
            link.close()

    def receive(self, data: bytes) -> None:
        """Handles an encoded message from another member. Raises msgspec.DecodeError if it is invalid."""
        if self.is_running:
            self.raft.step(decode_message(data))
            self.process_ready()

    def process_ready(self) -> None:
        """Carries out the core's work until none is left; to be called after each request to the core."""
        if self.is_processing:
            return
        self.is_processing = True
        try:
            while self.is_running and (ready := self.raft.ready()):
                self._handle_ready(ready)
        except StorageError as error:
            # The state on disk is unknown, so the member could acknowledge data that is lost later.
            self.stop()
            self.callbacks.on_storage_failed(error)
        finally:
            self.is_processing = False

    def _tick(self) -> None:
        if self.is_running:
            self.tick_timer = self.loop.call_later(self.tick_s, self._tick)
            self.raft.tick()
            self.process_ready()

    def _handle_ready(self, ready: Ready) -> None:
        """Persists the new state, then sends the messages that depend on it, then applies committed entries."""
        self._send(ready.messages)
        if ready.must_persist:
            self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            self.raft.mark_persisted(self.raft.log.last_index)
        self._send(ready.messages_after_persist)
        if ready.snapshot_to_restore is not None:
            self._restore_snapshot(ready.snapshot_to_restore)
        for entry in ready.committed_entries:
            self.callbacks.apply(entry)
            self.raft.mark_applied(entry.index)
        self._finish_reads(ready.read_states)
        if self.raft.last_applied - self.raft.log.snapshot_index >= self.snapshot_interval_entries:
            self._compact()

    def _send(self, messages: Iterable[Message]) -> None:
        for message in messages:
            link = self.links.get(message.to)
            if link is not None:
                link.send(message)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.callbacks.restore(snapshot.data)
        self.raft.mark_applied(snapshot.index)

    def _finish_reads(self, read_states: Iterable[ReadState]) -> None:
        """Reports the reads that failed, and those whose read index is applied."""
        for read in read_states:
            if read.index is None:
                self.callbacks.on_read_done(read.context, False)
            else:
                self.waiting_reads.append(read)
        servable = [read for read in self.waiting_reads if read.is_servable(self.raft.last_applied)]
        self.waiting_reads = [read for read in self.waiting_reads if not read.is_servable(self.raft.last_applied)]
        for read in servable:
            self.callbacks.on_read_done(read.context, True)

    def _compact(self) -> None:
        snapshot = self.raft.compact(self.callbacks.take_snapshot(), self.raft.last_applied)
        if snapshot is not None:
            self.storage.store(snapshot=snapshot)
