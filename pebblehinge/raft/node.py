"""Drives one core on asyncio: ticks, storage, links to the other members, the state machine."""

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
    """What a node calls: the state machine, whoever asked for a read, and whoever stops the program."""

    apply: Callable[[Entry], None]  # a committed entry, each once, in order
    restore: Callable[[bytes], None]  # the state machine starts anew from a snapshot's bytes
    snapshot: Callable[[], bytes]  # the state machine's state, as of the last entry that was applied
    read_done: Callable[[int, bool], None]  # a read's context, and whether it may be served now
    storage_failed: Callable[[StorageError], None]  # once: the node has stopped


class Node:
    """One member: the core, its storage, its links by member's name."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        raft: Raft,
        storage: Storage,
        links: Mapping[str, PeerLink],
        callbacks: NodeCallbacks,
        tick_ms: float,
        compact_after: int,
    ) -> None:
        """A snapshot is taken whenever `compact_after` entries have been applied since the last."""
        self.loop = loop
        self.raft = raft
        self.storage = storage
        self.links = links
        self.callbacks = callbacks
        self.tick_s = tick_ms / 1000.0
        self.compact_after = compact_after
        self.waiting_reads: list[ReadState] = []  # until their index is applied
        self.timer: asyncio.TimerHandle | None = None
        self.is_running = True
        self.processing = False

    @property
    def is_leader(self) -> bool:
        """Whether this member runs, and believes that it leads."""
        return self.is_running and self.raft.role is Role.LEADER

    def start(self) -> None:
        """Time begins to pass for the core."""
        self.timer = self.loop.call_later(self.tick_s, self._tick)

    def stop(self) -> None:
        """Stops for good: nothing is sent, stored or applied any more."""
        self.is_running = False
        if self.timer is not None:
            self.timer.cancel()
        for link in self.links.values():
            link.close()

    def receive(self, data: bytes) -> None:
        """Takes a message from another member. Raises msgspec.DecodeError if these bytes are not one."""
        if self.is_running:
            self.raft.step(decode_message(data))
            self.process_ready()

    def process_ready(self) -> None:
        """Does what the core asks for, until it asks for nothing more. Called after each request to the core."""
        if self.processing:
            return
        self.processing = True
        try:
            while self.is_running and (ready := self.raft.ready()):
                self._process(ready)
        except StorageError as error:
            # What is on disk is not known: to go on would be to promise what may be lost.
            self.stop()
            self.callbacks.storage_failed(error)
        finally:
            self.processing = False

    def _tick(self) -> None:
        if self.is_running:
            self.timer = self.loop.call_later(self.tick_s, self._tick)
            self.raft.tick()
            self.process_ready()

    def _process(self, ready: Ready) -> None:
        """Persists, then promises, then applies."""
        self._send(ready.messages)
        if ready.must_persist:
            self.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
            self.raft.mark_persisted(self.raft.log.last_index)
        self._send(ready.messages_after_persist)
        if ready.snapshot_to_restore is not None:
            self._restore(ready.snapshot_to_restore)
        for entry in ready.committed_entries:
            self.callbacks.apply(entry)
            self.raft.mark_applied(entry.index)
        self._finish_reads(ready.read_states)
        if self.raft.last_applied - self.raft.log.snapshot_index >= self.compact_after:
            self._compact()

    def _send(self, messages: Iterable[Message]) -> None:
        for message in messages:
            link = self.links.get(message.to)
            if link is not None:
                link.send(message)

    def _restore(self, snapshot: Snapshot) -> None:
        self.callbacks.restore(snapshot.data)
        self.raft.mark_applied(snapshot.index)

    def _finish_reads(self, read_states: Iterable[ReadState]) -> None:
        """Tells of reads that failed, and of those whose index is applied by now."""
        for read in read_states:
            if read.index is None:
                self.callbacks.read_done(read.context, False)
            else:
                self.waiting_reads.append(read)
        done = [read for read in self.waiting_reads if read.is_reached(self.raft.last_applied)]
        self.waiting_reads = [read for read in self.waiting_reads if not read.is_reached(self.raft.last_applied)]
        for read in done:
            self.callbacks.read_done(read.context, True)

    def _compact(self) -> None:
        snapshot = self.raft.compact(self.callbacks.snapshot(), self.raft.last_applied)
        if snapshot is not None:
            self.storage.store(snapshot=snapshot)
