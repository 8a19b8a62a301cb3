"""One instance of Raft as a state machine that only returns what is to be done.

Calls: `tick` (time passes), `step` (a message came), `propose`, `change`, `transfer`, `read`, `stored` (what `ready`
asked to be stored is on disk), `applied` and `compacted`. After each, `ready()` tells what to store, to send and to
apply. Whoever drives it keeps one order: store, fsync, then `stored`; messages that promise something stand in
`Ready.after` and go out only once all that was asked to be stored is; the rest may go at once.
"""

from __future__ import annotations

from pebblehinge.raft.elections import Elections
from pebblehinge.raft.following import Following
from pebblehinge.raft.leading import Leading
from pebblehinge.raft.log import Entry
from pebblehinge.raft.messages import CHUNK, Message, Ready, Role
from pebblehinge.raft.reads import Reads

__all__ = ["CHUNK", "Entry", "Message", "Raft", "Ready", "Role"]


class Raft(Elections, Leading, Reads, Following):
    """One instance. `election` and `heartbeat` are in ticks; chance comes from `rng`."""

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
