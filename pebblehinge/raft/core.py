"""One instance of Raft as a state machine that only returns what is to be done.

Calls: `tick` (time passes), `step` (a message came), `propose`, `change`, `transfer`, `read`, `stored` (what `ready`
asked to be stored is on disk), `applied` and `compacted`. After each, `ready()` tells what to store, to send and to
apply. Whoever drives it keeps one order: store, fsync, then `stored`; messages that promise something stand in
`Ready.after` and go out only once all that was asked to be stored is; the rest may go at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pebblehinge.raft.log import DATA, MEMBERS, NOOP, Entry, Log, Membership, Snapshot

__all__ = ["Entry", "Message", "Raft", "Ready", "Role"]

INFLIGHT = 16  # appends to one follower with no answer yet
MOST_BYTES = 256 << 10  # of entries in one message
CHUNK = 64 << 10  # of a snapshot in one message
MOST_READS = 256  # linearizable reads that wait for their round
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


class Raft:
    """One instance. `election` and `heartbeat` are in ticks; chance comes from `rng`."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        entries: list[Entry],
        term: int,
        vote: str | None,
        rng: random.Random,
        election: int = 10,
        heartbeat: int = 2,
    ) -> None:
        self.name, self.rng = name, rng
        self.election, self.heartbeat = election, heartbeat
        self.log = Log(snapshot, entries)
        self.term, self.vote = term, vote
        self.commit = self.applied_to = snapshot.index
        self.handed = snapshot.index  # committed entries handed out by `ready`
        self.stored_to = self.log.last
        self.members, self.members_at = self.log.members()
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.votes: dict[str, bool] = {}
        self.progress: dict[str, Progress] = {}
        self.elapsed = 0
        self.timeout = self._draw()
        self.heard = 0  # ticks since this follower heard of its leader
        self.transferee: str | None = None
        self.transfer_ticks = 0
        self.reads: list[tuple[int, int, dict[str, None]]] = []  # round, index, who has answered
        self.waiting_reads: list[int] = []  # asked before this term has committed anything
        self.round = 0
        self.read_of_round: dict[int, int] = {}  # round -> the caller's context
        self.partial: tuple[int, int, bytearray] | None = None  # a snapshot that comes in pieces: index, term, bytes
        self.term_start = 0  # index of the leader's own no-op
        self.out = Ready()

    # ---- calls

    def tick(self) -> None:
        """One unit of time has passed."""
        self.elapsed += 1
        self.heard += 1
        if self.role is Role.LEADER:
            self._leader_tick()
        elif self.elapsed >= self.timeout and self.name in self.members.voters:
            self._campaign(pre=True)

    def step(self, m: Message) -> None:
        """A message has come. One that is of no use any more changes nothing."""
        if m.to != self.name:
            return
        if m.term > self.term:
            if m.kind in ("vote", "pre-vote") and not m.hint and self._has_leader():
                return  # an instance that was cut off must not unseat a leader that others hear (thesis 4.2.3)
            if m.kind != "pre-vote" and not (m.kind == "pre-vote-answer" and m.ok):
                self._follow(m.term, m.source if m.kind in ("append", "snapshot") else None)
        elif m.term < self.term:
            if m.kind in ("append", "snapshot"):
                # So that an old leader hears of the new term; also what frees one that was removed and came back.
                self._send(Message("append-answer", self.name, m.source, self.term, index=self.log.last))
            elif m.kind == "pre-vote":
                self._send(Message("pre-vote-answer", self.name, m.source, self.term))
            return
        getattr(self, "_on_" + m.kind.replace("-", "_"))(m)

    def propose(self, data: bytes, session: str = "", serial: int = 0) -> int | None:
        """Appends an entry; its index, or None where this is no leader, or too much waits already."""
        if self.role is not Role.LEADER or self.transferee is not None:
            return None
        if self.log.last - self.commit >= MOST_WAITING:
            return None
        return self._append(DATA, data, session, serial)

    def change(self, members: Membership) -> str | None:
        """Proposes another membership; the reason where it can't be now.

        One instance at a time, a new one as a learner first; and only after this term has committed an entry, or
        two leaders could change by one each and not meet (the published correction to single-server changes).
        """
        if self.role is not Role.LEADER:
            return "not the leader"
        if self.members_at > self.commit:
            return "another change is under way"
        if self.commit < self.term_start:
            return "this term has committed nothing yet"
        old, new = self.members, members
        if not new.voters or set(new.voters) & set(new.learners):
            return "no sound membership"
        if len(set(old.voters) ^ set(new.voters)) > 1:
            return "more than one voter would change"
        joins = set(new.voters) - set(old.voters)
        for name in joins:
            if name not in old.learners:
                return f"{name} must learn first"
            progress = self.progress.get(name)
            if progress is None or progress.match + INFLIGHT < self.log.last:
                return f"{name} has not caught up"
        self._append(MEMBERS, msgspec.msgpack.encode(new))
        return None

    def transfer(self, to: str) -> str | None:
        """Hands leadership over; the reason where it can't be."""
        if self.role is not Role.LEADER:
            return "not the leader"
        if to not in self.members.voters or to == self.name:
            return f"{to} is no other voter"
        self.transferee, self.transfer_ticks = to, 0
        self._hurry_transfer()
        return None

    def read(self, context: int) -> bool:
        """Asks for an index at which a read is linearizable; it comes in `Ready.reads`. False: not the leader."""
        if self.role is not Role.LEADER or len(self.reads) + len(self.waiting_reads) >= MOST_READS:
            return False
        if self.commit < self.term_start:
            self.waiting_reads.append(context)
            return True
        self.round += 1
        self.read_of_round[self.round] = context
        self.reads.append((self.round, self.commit, {self.name: None}))
        self._heartbeat()
        self._count_reads()
        return True

    def stored(self, index: int) -> None:
        """Entries up to an index are on disk here: a leader counts itself only now."""
        self.stored_to = max(self.stored_to, min(index, self.log.last))
        if self.role is Role.LEADER:
            self._advance()

    def applied(self, index: int) -> None:
        self.applied_to = max(self.applied_to, index)

    def snapshot_taken(self, data: bytes, index: int) -> Snapshot | None:
        """The state machine's state at an applied index: the log before it may go. To be stored by the caller."""
        term = self.log.term(index)
        if index <= self.log.at or index > self.applied_to or term is None:
            return None
        snapshot = Snapshot(term, index, self.log.members(index)[0], data)
        self.log.compact(snapshot)
        return snapshot

    def ready(self) -> Ready:
        """What is to be done since the last call."""
        if self.commit > self.handed:
            self.out.committed += self.log.between(self.handed + 1, self.commit)
            self.handed = self.commit
        out, self.out = self.out, Ready()
        return out

    # ---- time

    def _leader_tick(self) -> None:
        for progress in self.progress.values():
            progress.quiet += 1
        if self.elapsed % self.heartbeat == 0:
            self._heartbeat()
        if self.elapsed >= self.election:
            self.elapsed = 0
            active = sum(p.active for n, p in self.progress.items() if n in self.members.voters) + 1
            if self.name not in self.members.voters:
                active -= 1
            if active < self.members.quorum():
                self._follow(self.term, None)  # check-quorum: a leader that hears no majority may be an old one
                return
            for progress in self.progress.values():
                progress.active = False
        if self.transferee is not None:
            self.transfer_ticks += 1
            if self.transfer_ticks > self.election:
                self.transferee = None  # it did not come to it: proposals go on here
            else:
                self._hurry_transfer()

    def _draw(self) -> int:
        return self.rng.randint(self.election, 2 * self.election - 1)

    def _has_leader(self) -> bool:
        """Whether a leader was heard of lately; a leader itself has one."""
        return self.role is Role.LEADER or (self.leader is not None and self.heard < self.election)

    # ---- elections

    def _campaign(self, pre: bool, asked: bool = False) -> None:
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        self.leader, self.elapsed, self.timeout = None, 0, self._draw()
        if not pre:
            self._set_term(self.term + 1, self.name)
        self.votes = {self.name: True}
        if self._won():
            self._elected(pre)
            return
        for name in self.members.voters:
            if name != self.name:
                kind, term = ("pre-vote", self.term + 1) if pre else ("vote", self.term)
                m = Message(kind, self.name, name, term, self.log.last, self.log.last_term, hint=int(asked))
                # A vote for itself is a promise too: it must be on disk before it is counted anywhere.
                (self.out.messages if pre else self.out.after).append(m)

    def _on_vote(self, m: Message) -> None:
        self._answer_vote(m, "vote-answer")

    def _on_pre_vote(self, m: Message) -> None:
        self._answer_vote(m, "pre-vote-answer")

    def _answer_vote(self, m: Message, kind: str) -> None:
        newer = (m.log_term, m.index) >= (self.log.last_term, self.log.last)
        if kind == "pre-vote-answer":
            ok = newer and m.term > self.term and (bool(m.hint) or not self._has_leader())
            self._send(Message(kind, self.name, m.source, m.term if ok else self.term, ok=ok))
            return
        ok = newer and self.vote in (None, m.source) and self.role is not Role.LEADER
        if ok:
            self._set_term(self.term, m.source)
            self.elapsed = 0
        self.out.after.append(Message(kind, self.name, m.source, self.term, ok=ok))

    def _on_vote_answer(self, m: Message) -> None:
        if self.role is Role.CANDIDATE:
            self.votes[m.source] = m.ok
            self._count(pre=False)

    def _on_pre_vote_answer(self, m: Message) -> None:
        if self.role is Role.PRE_CANDIDATE:
            self.votes[m.source] = m.ok
            self._count(pre=True)

    def _count(self, pre: bool) -> None:
        if self._won():
            self._elected(pre)
        elif sum(not ok for n, ok in self.votes.items() if n in self.members.voters) >= self.members.quorum():
            self.role = Role.FOLLOWER

    def _won(self) -> bool:
        return sum(ok for n, ok in self.votes.items() if n in self.members.voters) >= self.members.quorum()

    def _elected(self, pre: bool) -> None:
        if pre:
            self._campaign(pre=False)
            return
        self.role, self.leader, self.elapsed = Role.LEADER, self.name, 0
        self.transferee = None
        self.reads, self.waiting_reads, self.read_of_round = [], [], {}
        self.progress = {n: Progress(self.log.last + 1) for n in self.members.all() if n != self.name}
        self.term_start = self.log.last + 1
        self._append(NOOP, b"")

    def _follow(self, term: int, leader: str | None) -> None:
        was_leader = self.role is Role.LEADER
        if term > self.term:
            self._set_term(term, None)
        self.role, self.leader = Role.FOLLOWER, leader
        self.elapsed, self.timeout = 0, self._draw()
        if was_leader:
            lost = [self.read_of_round[r] for r, _, _ in self.reads] + self.waiting_reads
            self.out.reads += [(context, -1) for context in lost]
            self.reads, self.waiting_reads, self.read_of_round = [], [], {}
            self.transferee = None

    def _set_term(self, term: int, vote: str | None) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.out.hard_state = (term, vote)

    def _on_timeout(self, m: Message) -> None:
        if self.name in self.members.voters:
            self._campaign(pre=False, asked=True)

    # ---- replication, leader

    def _append(self, kind: int, data: bytes, session: str = "", serial: int = 0) -> int:
        entry = Entry(self.term, self.log.last + 1, kind, data, session, serial)
        self.log.append(entry)
        self.out.entries.append(entry)
        if kind == MEMBERS:
            self._take_members()
        for name in self.progress:
            self._replicate(name)
        return entry.index

    def _take_members(self) -> None:
        self.members, self.members_at = self.log.members()
        if self.role is Role.LEADER:
            for name in self.members.all():
                if name != self.name and name not in self.progress:
                    self.progress[name] = Progress(self.log.last + 1)
            for name in [n for n in self.progress if n not in self.members.all()]:
                del self.progress[name]

    def _replicate(self, name: str, beat: bool = False) -> None:
        """Sends what an instance lacks, as far as it has room; `beat` sends an empty append at least."""
        progress = self.progress[name]
        if progress.snapshot is not None:
            if beat:
                self._send_chunk(name)
            return
        while True:
            before = progress.next - 1
            term = self.log.term(before)
            if term is None:  # what it lacks is compacted away
                progress.snapshot, progress.offset = self.log.snapshot, 0
                self._send_chunk(name)
                return
            full = progress.inflight >= (1 if progress.probing else INFLIGHT)
            entries = [] if full else self.log.between(progress.next, self.log.last, MOST_BYTES)
            if not entries and not beat:
                return
            self._send(Message(
                "append", self.name, name, self.term, before, term, min(self.commit, before + len(entries)),
                entries=tuple(entries), context=self.round,
            ))  # fmt: skip
            if not entries:
                return
            beat = False
            progress.inflight += 1
            if not progress.probing:
                progress.next += len(entries)

    def _heartbeat(self) -> None:
        for name, progress in self.progress.items():
            if progress.quiet >= self.election and not progress.probing:
                # What was on its way to it may be lost: find out where it stands.
                progress.probing, progress.next = True, progress.match + 1
            if progress.quiet >= self.heartbeat * 2:
                progress.inflight = 0
            self._replicate(name, beat=True)

    def _send_chunk(self, name: str) -> None:
        progress = self.progress[name]
        snapshot = progress.snapshot
        assert snapshot is not None
        piece = snapshot.data[progress.offset : progress.offset + CHUNK]
        self._send(Message(
            "snapshot", self.name, name, self.term, snapshot.index, snapshot.term, self.commit, hint=len(snapshot.data),
            offset=progress.offset, data=piece, members=snapshot.members,
        ))  # fmt: skip

    def _on_append_answer(self, m: Message) -> None:
        if self.role is not Role.LEADER or m.source not in self.progress:
            return
        progress = self.progress[m.source]
        progress.active, progress.quiet = True, 0
        progress.inflight = max(0, progress.inflight - 1)
        self._note_read(m.source, m.context)
        if m.ok:
            if m.index > progress.match:
                progress.match = m.index
                self._advance()
            if progress.probing:
                progress.probing, progress.inflight = False, 0
                progress.next = progress.match + 1
            progress.next = max(progress.next, progress.match + 1)
            if m.source in self.progress:
                self._replicate(m.source)
        elif m.index >= progress.match + 1 or progress.probing:
            # Conflict: back off by whole terms (paper 5.3), never below what is known to match.
            back = m.hint
            if m.log_term:
                mine = self.log.last_of_term(m.log_term)
                if mine:
                    back = min(mine + 1, m.index)
            progress.probing, progress.inflight = True, 0
            progress.next = max(progress.match + 1, min(back, self.log.last + 1), 1)
            self._replicate(m.source)
        self._hurry_transfer()

    def _on_snapshot_answer(self, m: Message) -> None:
        if self.role is not Role.LEADER or m.source not in self.progress:
            return
        progress = self.progress[m.source]
        progress.active, progress.quiet = True, 0
        snapshot = progress.snapshot
        if snapshot is None or m.index != snapshot.index:
            return
        if m.ok:
            progress.snapshot = None
            progress.match = max(progress.match, snapshot.index)
            progress.next, progress.probing, progress.inflight = progress.match + 1, False, 0
            self._replicate(m.source)
        elif m.offset != progress.offset or m.offset == 0:
            progress.offset = min(m.offset, len(snapshot.data))
            self._send_chunk(m.source)

    def _advance(self) -> None:
        """Commits what a majority has stored, and only through an entry of this term (paper 5.4.2)."""
        matches = sorted(
            (self.stored_to if n == self.name else self.progress[n].match for n in self.members.voters
             if n == self.name or n in self.progress), reverse=True,
        )  # fmt: skip
        if len(matches) < self.members.quorum():
            return
        index = matches[self.members.quorum() - 1]
        if index > self.commit and self.log.term(index) == self.term:
            first = self.commit < self.term_start
            self.commit = index
            if first and self.commit >= self.term_start:
                waiting, self.waiting_reads = self.waiting_reads, []
                for context in waiting:
                    self.read(context)
            if self.members_at <= self.commit and self.name not in self.members.voters:
                self._heartbeat()
                self._follow(self.term, None)  # it was removed: the others go on
                return
            self._heartbeat()

    def _hurry_transfer(self) -> None:
        to = self.transferee
        if to is None or to not in self.progress:
            return
        if self.progress[to].match == self.log.last:
            self._send(Message("timeout", self.name, to, self.term))

    # ---- reads

    def _note_read(self, source: str, context: int) -> None:
        if source in self.members.voters:
            for round_, _, who in self.reads:
                if context >= round_:
                    who[source] = None
            self._count_reads()

    def _count_reads(self) -> None:
        while self.reads and len([n for n in self.reads[0][2] if n in self.members.voters]) >= self.members.quorum():
            round_, index, _ = self.reads.pop(0)
            self.out.reads.append((self.read_of_round.pop(round_), index))

    # ---- replication, follower

    def _on_append(self, m: Message) -> None:
        self._hear(m.source)
        if m.index < self.commit:
            # What is committed is settled: the leader is told where to go on.
            self.out.after.append(Message("append-answer", self.name, m.source, self.term, self.commit, ok=True,
                                          context=m.context))  # fmt: skip
            return
        if self.log.term(m.index) != m.log_term:
            self._reject(m)
            return
        last = m.index + len(m.entries)
        for entry in m.entries:
            if entry.index <= self.log.last:
                if self.log.term(entry.index) == entry.term:
                    continue
                self.log.cut(entry.index)
                self.out.cut = min(self.out.cut or entry.index, entry.index)
                self.out.entries = [e for e in self.out.entries if e.index < entry.index]
                self.stored_to = min(self.stored_to, entry.index - 1)
            self.log.append(entry)
            self.out.entries.append(entry)
        if self.out.cut is not None or any(e.kind == MEMBERS for e in m.entries):
            self._take_members()
        self.commit = max(self.commit, min(m.commit, last))
        self.out.after.append(
            Message("append-answer", self.name, m.source, self.term, last, ok=True, context=m.context)
        )

    def _reject(self, m: Message) -> None:
        hint, term = self.log.last + 1, 0
        if m.index <= self.log.last:
            term = self.log.term(m.index) or 0
            hint = self.log.first_of_term(term, m.index) if term else m.index
        self._send(Message(
            "append-answer", self.name, m.source, self.term, m.index, term, hint=hint, context=m.context
        ))  # fmt: skip

    def _on_snapshot(self, m: Message) -> None:
        self._hear(m.source)
        if m.index <= self.commit:
            self.partial = None
            self.out.after.append(Message("snapshot-answer", self.name, m.source, self.term, m.index, ok=True))
            return
        if m.offset == 0 or self.partial is None or self.partial[:2] != (m.index, m.log_term):
            self.partial = (m.index, m.log_term, bytearray())
        have = self.partial[2]
        if m.offset == len(have):
            have += m.data
        if len(have) < m.hint:
            self._send(Message("snapshot-answer", self.name, m.source, self.term, m.index, offset=len(have)))
            return
        assert m.members is not None
        snapshot = Snapshot(m.log_term, m.index, m.members, bytes(have))
        self.partial = None
        self.log.compact(snapshot)
        self._take_members()
        self.commit = self.handed = max(self.commit, m.index)
        self.stored_to = max(min(self.stored_to, self.log.last), m.index)
        self.out.committed, self.out.entries = [], [e for e in self.out.entries if e.index > m.index]
        self.out.snapshot = self.out.restored = snapshot
        self.out.after.append(Message("snapshot-answer", self.name, m.source, self.term, m.index, ok=True))

    def _hear(self, leader: str) -> None:
        if self.role is not Role.FOLLOWER:
            self._follow(self.term, leader)
        self.leader, self.elapsed, self.heard = leader, 0, 0

    def _send(self, message: Message) -> None:
        self.out.messages.append(message)
