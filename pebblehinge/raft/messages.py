"""What instances send each other, what a core wants done, and the bounds of both."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pebblehinge.raft.log import Entry, Membership, Snapshot

INFLIGHT = 16  # appends to one follower with no answer yet
MOST_BYTES = 256 << 10  # of entries in one message
CHUNK = 64 << 10  # of a snapshot in one message
MOST_READS = 4096  # linearizable reads that wait for their round: 36 bytes each here, whoever asked keeps more
MOST_WAITING = 1024  # proposals in the log that are not committed


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message between instances; `kind` says which of the values mean something.

    vote, pre-vote: `index`, `log_term` of the last entry, `hint` 1 where a leader asked for it; answers `ok`.
    append: `index`, `log_term` before the entries, `commit`, `context` of a read round; its answer: `ok`, `index`
    matched or rejected, `hint` and `log_term` to back off to, `context`.
    snapshot: `index`, `log_term`, `offset` of `data`, `hint` total size, `members`; its answer: `offset` wanted next.
    timeout: start an election now.
    """

    kind: str
    source: str
    to: str
    term: int
    index: int = 0
    log_term: int = 0
    commit: int = 0
    ok: bool = False
    hint: int = 0
    entries: tuple[Entry, ...] = ()
    offset: int = 0
    data: bytes = b""
    members: Membership | None = None
    context: int = 0


@dataclass(slots=True)
class Ready:
    """What is to be done now, in this order."""

    hard_state: tuple[int, str | None] | None = None  # term and vote, to be stored
    snapshot: Snapshot | None = None  # to be stored in place of all before it
    cut: int | None = None  # entries from this index on are no longer true
    entries: list[Entry] = field(default_factory=list)  # to be stored
    messages: list[Message] = field(default_factory=list)  # at once
    after: list[Message] = field(default_factory=list)  # when all above is stored
    committed: list[Entry] = field(default_factory=list)  # to be applied, each once, in order
    restored: Snapshot | None = None  # the state machine begins anew from here, before `committed`
    reads: list[tuple[int, int]] = field(default_factory=list)  # context, index that must be applied first; -1: lost

    def __bool__(self) -> bool:
        return bool(
            self.hard_state or self.snapshot or self.cut or self.entries or self.messages or self.after
            or self.committed or self.restored or self.reads
        )  # fmt: skip


class Progress:
    """What a leader knows of one other instance."""

    __slots__ = ("match", "next", "inflight", "probing", "active", "snapshot", "offset", "quiet")

    def __init__(self, next_: int) -> None:
        self.match, self.next = 0, next_
        self.inflight = 0  # appends on their way
        self.probing = True  # one at a time until it is known where the logs meet
        self.active = True  # heard of since the last look at the quorum
        self.snapshot: Snapshot | None = None  # being sent
        self.offset = 0
        self.quiet = 0  # ticks since it was last heard of
