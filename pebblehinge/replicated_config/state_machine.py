"""The replicated state machine: versions of the configuration, which one is active, and what heads have taken up.

Commands are msgpack arrays in the log's entries. Everything here follows from the log alone: no clock, no chance, so
every instance holds the same. A proposal that is sent twice is applied once, by its session and serial.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from pebblehinge.raft import Entry, EntryKind
from pebblehinge.replicated_config.version_cache import read
from pebblehinge.settings import SettingsError

SESSIONS = 1024  # remembered: the one least recently used goes first
VERSIONS = 200  # kept with their text


class Version(msgspec.Struct, array_like=True):
    """One version of the configuration."""

    number: int
    text: str
    author: str
    note: str
    refused: str = ""  # why it was never activated


class HeadRow(msgspec.Struct, array_like=True):
    """What the group knows of one head: the newest version that it acknowledged."""

    name: str
    version: int


class Kept(msgspec.Struct, array_like=True):
    """A snapshot."""

    versions: list[Version]
    active: int
    pending: int
    aside: dict[str, tuple[float, float]]
    heads: dict[str, HeadRow]
    sessions: list[tuple[str, int, str]]
    changed: int = 0


def command(*parts: Any) -> bytes:
    return msgspec.msgpack.encode(parts)


class State:
    """Version 0 is the empty beginning; `active` is what heads act on, `pending` what they prepare for, or 0."""

    def __init__(self) -> None:
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.active = self.pending = 0
        self.aside: dict[str, tuple[float, float]] = {}
        self.heads: dict[str, HeadRow] = {}
        self.sessions: OrderedDict[str, tuple[int, str]] = OrderedDict()
        self.changed = 0  # counts what heads must hear of

    def apply(self, entry: Entry) -> str:
        """Applies a committed entry; "" where it was done, else the reason why not."""
        if entry.kind != EntryKind.DATA:
            return ""
        if entry.session:
            known = self.sessions.get(entry.session)
            if known is not None and known[0] >= entry.serial:
                return known[1] if known[0] == entry.serial else "an older proposal of this session"
        verb, *rest = msgspec.msgpack.decode(entry.data)
        said = getattr(self, f"_{verb}")(*rest)
        if entry.session:
            self.sessions[entry.session] = (entry.serial, said)
            self.sessions.move_to_end(entry.session)
            if len(self.sessions) > SESSIONS:
                self.sessions.popitem(last=False)
        return said

    # ---- commands

    def _propose(self, base: int, text: str, author: str, note: str) -> str:
        """A new version, if none came since the proposer looked, and if it is sound."""
        newest = self.newest
        if base != newest:
            return f"it is based on version {base}, the newest is {newest}: look again"
        if self.pending:
            return f"version {self.pending} is being taken up: wait for it"
        try:
            read(text, f"version {newest + 1}")
        except SettingsError as error:
            return str(error)
        self.versions[newest + 1] = Version(newest + 1, text, author, note)
        self.pending = newest + 1
        self.changed += 1
        while len(self.versions) > VERSIONS:
            for number in list(self.versions):
                if number not in self._needed():
                    del self.versions[number]
                    break
            else:
                break
        return ""

    def _acknowledge(self, head: str, version: int) -> str:
        """A head is careful between its version and this one, or acts on it already. Alone in an entry only in logs of
        before `taken_up`."""
        if version not in self.versions:
            return f"version {version} is not known"
        row = self.heads.get(head)
        if row is None or version > row.version:
            self.heads[head] = HeadRow(head, version)
            self.changed += 1
        return ""

    def _taken_up(self, versions: dict[str, int]) -> str:
        """What many heads acknowledge, in one entry. A version that is not known any more is passed over; so is one
        that was refused while the word was on its way: its heads have gone back."""
        for head, version in versions.items():
            if version in self.versions and not self.versions[version].refused:
                self._acknowledge(head, version)
        return ""

    def _refuse(self, version: int, reason: str) -> str:
        """A head can't use it: it is given up as a whole, and heads that prepared go back."""
        if version != self.pending:
            return f"version {version} is not pending"
        self.versions[version].refused = reason
        self.pending = 0
        # Who acknowledged it was careful towards it; what it acts on is the active one again.
        for row in self.heads.values():
            row.version = min(row.version, self.active) if row.version == version else row.version
        self.changed += 1
        return ""

    def _activate(self, version: int, aside: dict[str, Any], basis: int) -> str:
        """Version is active, with so much set aside for heads that may be cut off. `basis` is the state that the
        leader reckoned from: a head that was heard of since is not in its reckoning."""
        if basis != self.changed:
            return "the state has moved on since this was reckoned"
        if version not in (self.pending, self.active):
            return f"version {version} is neither pending nor active"
        fresh = {k: (float(v[0]), float(v[1])) for k, v in aside.items()}
        if version == self.active and fresh == self.aside:
            return ""
        self.active, self.aside = version, fresh
        if self.pending == version:
            self.pending = 0
        self.changed += 1
        return ""

    def _forget(self, head: str) -> str:
        """The operator vouches that this head will not come back as it was."""
        if head not in self.heads:
            return f"head {head!r} is not known"
        del self.heads[head]
        self.changed += 1
        return ""

    # ---- looks

    @property
    def newest(self) -> int:
        return max(self.versions, default=0)

    def _needed(self) -> set[int]:
        return {self.active, self.pending, self.newest, *(r.version for r in self.heads.values())}

    def text(self, number: int) -> str | None:
        version = self.versions.get(number)
        return version.text if version is not None else None

    # ---- snapshots

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(
            Kept(
                list(self.versions.values()),
                self.active,
                self.pending,
                self.aside,
                self.heads,
                [(name, serial, said) for name, (serial, said) in self.sessions.items()],
                self.changed,
            )
        )

    @classmethod
    def restore(cls, data: bytes) -> State:
        state = cls()
        if data:
            kept = msgspec.msgpack.decode(data, type=Kept)
            state.versions = OrderedDict((v.number, v) for v in kept.versions)
            state.active, state.pending, state.aside = kept.active, kept.pending, kept.aside
            state.heads, state.changed = kept.heads, kept.changed
            state.sessions = OrderedDict((name, (serial, said)) for name, serial, said in kept.sessions)
        return state
