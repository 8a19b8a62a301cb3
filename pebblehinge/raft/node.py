"""Carries out what the core wants, on asyncio: stores, sends, applies, and keeps links to the other instances."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.net import Peer, dial
from pebblehinge.raft.core import Message, Raft, Role
from pebblehinge.raft.log import Entry
from pebblehinge.raft.storage import Storage, StorageError
from pebblehinge.wire import Kind, Session

_encode = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(Message).decode
MOST_QUEUED = 256  # messages for one instance that does not take them; Raft sends again what matters


class _Link(Peer):
    FRAMES = frozenset({Kind.TOLD})

    def __init__(self, owner: PeerLink, session: Session) -> None:
        super().__init__(owner.loop, session, owner.stall_ms, owner.keepalive_ms)
        self.owner = owner

    def ready(self) -> None:
        self.owner.wire = self
        self.owner.push()

    def writable(self) -> None:
        self.owner.push()

    def gone(self, exc: Exception | None) -> None:
        self.owner.lost(self)

    def on_told(self, *_: Any) -> None:
        pass


class PeerLink:
    """The way to one other instance. A slow one fills its own queue and holds up nobody."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, name: str, address: str, limit: int, stall_ms: float, keepalive_ms: float
    ) -> None:
        self.loop, self.name, self.address, self.limit = loop, name, address, limit
        self.stall_ms, self.keepalive_ms = stall_ms, keepalive_ms
        self.queue: deque[bytes] = deque(maxlen=MOST_QUEUED)
        self.wire: _Link | None = None
        self.task: asyncio.Task | None = None
        self.again: asyncio.TimerHandle | None = None
        self.closed = False

    def send(self, message: Message) -> None:
        self.queue.append(_encode(message))
        if self.wire is None and self.task is None and self.again is None:
            self._connect()
        self.push()

    def push(self) -> None:
        while self.queue and self.wire is not None and not self.wire.paused:
            self.wire.send(Kind.RAFT, self.queue.popleft())

    def _connect(self) -> None:
        self.again = None
        if not self.closed:
            self.task = self.loop.create_task(self._try())

    async def _try(self) -> None:
        link = _Link(self, Session("member", self.name, self.limit, 64, greets=True))
        try:
            async with asyncio.timeout(1.0):
                await dial(self.loop, link, self.address)
        except (OSError, TimeoutError):
            self._later()
        finally:
            self.task = None

    def _later(self) -> None:
        if not self.closed and self.again is None:
            self.again = self.loop.call_later(0.1, self._connect)

    def lost(self, wire: _Link) -> None:
        if self.wire is wire:
            self.wire = None
        self._later()

    def close(self) -> None:
        self.closed = True
        for handle in (self.task, self.again):
            if handle is not None:
                handle.cancel()
        if self.wire is not None:
            self.wire.close()


class Node:
    """One instance's core with its storage and links. `apply(entry)` and `restore(data)` feed the state machine,
    `state()` gives its snapshot; `failed` hears of a storage that can't be trusted any more, once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        raft: Raft,
        storage: Storage,
        links: dict[str, PeerLink],
        tick_ms: float,
        compact: int,
        apply: Callable[[Entry], None],
        restore: Callable[[bytes], None],
        state: Callable[[], bytes],
        read: Callable[[int, bool], None],
        failed: Callable[[str], None],
    ) -> None:
        self.loop, self.raft, self.storage, self.links = loop, raft, storage, links
        self.tick_ms, self.compact = tick_ms, compact
        self.apply, self.restore, self.state, self.read_done, self.failed = apply, restore, state, read, failed
        self.waiting_reads: list[tuple[int, int]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.up = True
        self.working = False

    def start(self) -> None:
        self.timer = self.loop.call_later(self.tick_ms / 1000.0, self._tick)

    def stop(self) -> None:
        self.up = False
        if self.timer is not None:
            self.timer.cancel()
        for link in self.links.values():
            link.close()

    def _tick(self) -> None:
        if self.up:
            self.timer = self.loop.call_later(self.tick_ms / 1000.0, self._tick)
            self.raft.tick()
            self.work()

    def came(self, data: bytes) -> None:
        """A message from another instance; raises msgspec.DecodeError where it is none."""
        if self.up:
            self.raft.step(decode_message(data))
            self.work()

    def work(self) -> None:
        """Store, then promise, then apply, until the core wants nothing more."""
        if self.working:
            return
        self.working = True
        try:
            while self.up and (ready := self.raft.ready()):
                for message in ready.messages:
                    self._send(message)
                if ready.hard_state or ready.cut or ready.entries or ready.snapshot:
                    self.storage.store(ready.hard_state, ready.cut, ready.entries, ready.snapshot)
                    self.raft.stored(self.raft.log.last)
                for message in ready.after:
                    self._send(message)
                if ready.restored is not None:
                    self.restore(ready.restored.data)
                    self.raft.applied(ready.restored.index)
                for entry in ready.committed:
                    self.apply(entry)
                    self.raft.applied(entry.index)
                for context, index in ready.reads:
                    if index < 0:
                        self.read_done(context, False)
                    else:
                        self.waiting_reads.append((context, index))
                due = [c for c, i in self.waiting_reads if i <= self.raft.applied_to]
                self.waiting_reads = [(c, i) for c, i in self.waiting_reads if i > self.raft.applied_to]
                for context in due:
                    self.read_done(context, True)
                if self.raft.applied_to - self.raft.log.at >= self.compact:
                    snapshot = self.raft.snapshot_taken(self.state(), self.raft.applied_to)
                    if snapshot is not None:
                        self.storage.store(None, None, [], snapshot)
        except StorageError as error:
            # What is on disk is not known: to go on would be to promise what may be lost.
            self.stop()
            self.failed(str(error))
        finally:
            self.working = False

    def _send(self, message: Message) -> None:
        link = self.links.get(message.to)
        if link is not None:
            link.send(message)

    @property
    def leads(self) -> bool:
        return self.up and self.raft.role is Role.LEADER
