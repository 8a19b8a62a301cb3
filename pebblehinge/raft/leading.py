"""What a leader does: proposals, changes of members, replication, commits, handing over (paper 5.3 and 5.4.2)."""

from __future__ import annotations

import msgspec

from pebblehinge.raft.common import Common
from pebblehinge.raft.log import DATA, MEMBERS, Entry, Membership
from pebblehinge.raft.messages import CHUNK, INFLIGHT, MOST_BYTES, MOST_WAITING, Message, Role


class Leading(Common):
    """The leader's part."""

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

    def stored(self, index: int) -> None:
        """Entries up to an index are on disk here: a leader counts itself only now."""
        self.stored_to = max(self.stored_to, min(index, self.log.last))
        if self.role is Role.LEADER:
            self._advance()

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

    def _append(self, kind: int, data: bytes, session: str = "", serial: int = 0) -> int:
        entry = Entry(self.term, self.log.last + 1, kind, data, session, serial)
        self.log.append(entry)
        self.out.entries.append(entry)
        if kind == MEMBERS:
            self._take_members()
        for name in self.progress:
            self._replicate(name)
        return entry.index

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
            self.commit = index
            self._begin_round()
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
