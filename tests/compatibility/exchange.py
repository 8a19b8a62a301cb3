"""A group of four Raft members that exchange messages in a fixed order: all bytes sent, and one member's folder.

Elections, proposals of every command, a leader that is cut off and whose last entry is replaced, a snapshot for a new
learner, a linearizable read and a transfer of leadership. No clock; chance comes from fixed seeds.
"""

from __future__ import annotations

import random
from pathlib import Path

import msgspec

from pebblehinge.raft import Entry, HardState, Membership, Raft, initial_snapshot
from pebblehinge.raft.codec import decode_message, encode_message
from pebblehinge.raft.identity import ensure_identity
from pebblehinge.raft.ready import ReadState
from pebblehinge.raft.storage import Storage
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.store.disk import RealDisk

VERSION = """\
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan capped {{
    rate 5/s
    limit {limit}/s
    burst 20
}}
volume v {{
    plan capped
    heads 2
    through h1 h2
}}
head h1 {{
    listen 127.0.0.1:7001
}}
head h2 {{
    listen 127.0.0.1:7002
}}
"""


def version(limit: int) -> str:
    """The text of one version of the configuration."""
    return VERSION.format(limit=limit)


def stored(*parts: object) -> bytes:
    """A command as the log stores it."""
    return msgspec.msgpack.encode(parts)


class Member:
    """One member: its core, its folder and its state machine."""

    def __init__(self, name: str, folder: Path) -> None:
        disk = RealDisk(folder)
        ensure_identity(disk, "porto", name, True)
        self.storage = Storage(disk)
        snapshot = initial_snapshot(["a", "b", "c"])
        self.raft = Raft(name, snapshot, [], HardState(), random.Random(f"exchange/{name}"))
        self.state = ConfigState()
        self.reads: list[ReadState] = []

    def apply(self, entry: Entry) -> None:
        self.state.apply(entry)
        self.raft.mark_applied(entry.index)

    def compact(self) -> None:
        snapshot = self.raft.compact(self.state.dump(), self.raft.last_applied)
        assert snapshot is not None
        self.storage.store(None, None, [], snapshot)


class Exchange:
    """The members and the messages between them, delivered first in, first out."""

    def __init__(self, folder: Path) -> None:
        self.members = {name: Member(name, folder / name) for name in "abcd"}
        self.sent: list[bytes] = []
        self.queue: list[bytes] = []
        self.isolated = ""

    def settle(self) -> None:
        """Carries out what the members want until they want nothing more."""
        while True:
            for member in self.members.values():
                self._work(member)
            if not self.queue:
                return
            message = decode_message(self.queue.pop(0))
            if self.isolated not in (message.source, message.to):
                self.members[message.to].raft.step(message)

    def _work(self, member: Member) -> None:
        while ready := member.raft.ready():
            if ready.must_persist:
                member.storage.store(ready.hard_state, ready.truncate_from, ready.entries, ready.snapshot)
                member.raft.mark_persisted(member.raft.log.last_index)
            if ready.snapshot_to_restore is not None:
                member.state = ConfigState.restore(ready.snapshot_to_restore.data)
                member.raft.mark_applied(ready.snapshot_to_restore.index)
            for entry in ready.committed_entries:
                member.apply(entry)
            member.reads += ready.read_states
            for message in (*ready.messages, *ready.messages_after_persist):
                data = encode_message(message)
                self.sent.append(data)
                self.queue.append(data)

    def tick(self, names: str, count: int) -> None:
        for _ in range(count):
            for name in names:
                self.members[name].raft.tick()
            self.settle()

    def propose(self, name: str, serial: int, *parts: object) -> None:
        assert self.members[name].raft.propose(stored(*parts), "operator", serial) is not None
        self.settle()


def play(folder: Path) -> Exchange:
    """The whole exchange."""
    group = Exchange(folder)
    leader = group.members["a"]
    group.tick("a", 20)
    for serial, parts in enumerate(
        (
            ("propose", 0, version(100), "ana", "first"),
            ("acknowledge", "h1", 1),
            ("taken_up", {"h2": 1}),
            ("activate", 1, {}, 3),
            ("propose", 1, version(60), "rui", "second"),
            ("acknowledge", "h1", 2),
            ("refuse", 2, "h2: no"),
            ("propose", 2, version(80), "rui", ""),
            ("taken_up", {"h1": 3, "h3": 1}),
            ("activate", 3, {"v": (10.0, 4.5)}, 9),
            ("activate", 3, {"v": (10.0, 4.5)}, 10),
            ("forget", "h9"),
            ("propose", 0, version(1), "x", ""),
            ("propose", 3, "nonsense", "x", ""),
            ("acknowledge", "h1", 77),
            ("activate", 9, {}, 11),
            ("refuse", 3, "late"),
        ),
        1,
    ):
        group.propose("a", serial, *parts)
    leader.compact()
    assert leader.raft.read_index(7)
    group.settle()
    group.isolated = "a"
    assert leader.raft.propose(stored("forget", "h1"), "lost", 1) is not None
    group.settle()
    group.tick("bc", 30)
    group.isolated = ""
    group.tick("bc", 4)
    new = next(n for n in "bc" if group.members[n].raft.leader_id == n)
    group.propose(new, 18, "forget", "h3")
    group.members[new].compact()
    group.members[new].raft.change_membership(Membership(("a", "b", "c"), ("d",)))
    group.settle()
    group.tick(new, 4)
    group.members[new].raft.transfer_leadership("a")
    group.settle()
    leader.storage = Storage(leader.storage.disk)  # as after a restart: a new segment
    group.propose("a", 19, "propose", 3, version(90), "ana", "after the transfer")
    return group


def one_of_each() -> list[tuple[object, ...]]:
    """Messages of each kind by place, with every value that it may hold."""
    entries = (Entry(3, 8, 1, b"\x01\xff", "s", 4), Entry(3, 9, 0))
    members = Membership(("a", "b"), ("c",))
    return [
        ("vote", "a", "b", 4, 17, 3, 0, False, 1),
        ("vote-answer", "b", "a", 4, 0, 0, 0, True),
        ("pre-vote", "a", "b", 4, 17, 3, 0, False, 0),
        ("pre-vote-answer", "b", "a", 4, 0, 0, 0, True),
        ("append", "a", "b", 4, 7, 3, 6, False, 0, entries, 0, b"", None, 12),
        ("append-answer", "b", "a", 4, 9, 3, 0, True, 5, (), 0, b"", None, 12),
        ("snapshot", "a", "b", 4, 9, 3, 9, False, 70_000, (), 65_536, b"piece", members, 0),
        ("snapshot-answer", "b", "a", 4, 9, 0, 0, False, 0, (), 65_536),
        ("timeout", "a", "b", 4),
    ]
