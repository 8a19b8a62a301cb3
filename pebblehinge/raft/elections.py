"""Elections: pre-vote, votes, and what changes when an instance leads or follows (paper 5.2, thesis 4.2.3 and 9.6)."""

from __future__ import annotations

from pebblehinge.raft.common import Common
from pebblehinge.raft.log import NOOP
from pebblehinge.raft.messages import Message, Progress, Role


class Elections(Common):
    """Who leads."""

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
        self._lose_reads()
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
            self._lose_reads()
            self.transferee = None

    def _on_timeout(self, m: Message) -> None:
        if self.name in self.members.voters:
            self._campaign(pre=False, asked=True)
