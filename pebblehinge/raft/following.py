"""What a follower does with entries and snapshots of its leader (paper 5.3 and 7)."""

from __future__ import annotations

from pebblehinge.raft.common import Common
from pebblehinge.raft.log import MEMBERS, Snapshot
from pebblehinge.raft.messages import Message, Role


class Following(Common):
    """The follower's part."""

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
