"""A state of the group that `model` explores, what must hold in it, and when two states count as the same."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import msgspec

from pebblehinge.raft.codec import encode_message
from pebblehinge.raft.core import Raft
from pebblehinge.raft.entries import Entry
from pebblehinge.raft.errors import SafetyViolationError
from pebblehinge.raft.messages import Message
from pebblehinge.raft.state import Role

_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class GroupState:
    """One state: members, messages in transit, what was ever committed, and what is left of the bounds."""

    rafts: list[Raft]
    in_transit: tuple[Message, ...]
    committed: dict[int, Entry]
    leaders: dict[int, str]  # by term
    proposals: int
    crashes: int
    heartbeats: int

    def process_ready(self, member: int, max_in_transit: int) -> None:
        """Does what a member asks for: entries persisted at once, messages in transit, committed entries compared.

        Beyond `max_in_transit` messages the oldest are lost. Raises SafetyViolationError.
        """
        raft = self.rafts[member]
        while ready := raft.ready():
            if ready.entries:
                raft.mark_persisted(raft.log.last_index)
            for entry in ready.committed_entries:
                if self.committed.setdefault(entry.index, entry) != entry:
                    raise SafetyViolationError(f"two entries are committed at {entry.index}")
                raft.mark_applied(entry.index)
            sent = (*ready.messages, *ready.messages_after_persist)
            fresh = [message for message in sent if message not in self.in_transit]
            self.in_transit = (self.in_transit + tuple(dict.fromkeys(fresh)))[-max_in_transit:]

    def check(self) -> None:
        """Election safety, leader completeness, log matching (paper, figure 3). Raises SafetyViolationError."""
        for raft in self.rafts:
            if raft.role is Role.LEADER:
                self._check_leader(raft)
        for one, other in itertools.combinations(self.rafts, 2):
            _check_logs_match(one, other)

    def _check_leader(self, raft: Raft) -> None:
        term = raft.current_term
        if self.leaders.setdefault(term, raft.name) != raft.name:
            raise SafetyViolationError(f"two leaders in term {term}")
        if term != max(self.leaders):
            return
        for index, entry in self.committed.items():
            if entry.term < term and raft.log.term_at(index) != entry.term:
                raise SafetyViolationError(f"the leader of term {term} lacks committed entry {index}")

    def canonical_key(self) -> bytes:
        """The same for states that differ by members' names alone."""
        names = [raft.name for raft in self.rafts]
        orders = itertools.permutations(range(len(names)))
        return min(self._key(order, {names[old]: str(new) for new, old in enumerate(order)}) for order in orders)

    def _key(self, order: tuple[int, ...], renamed: dict[str, str]) -> bytes:
        rafts = [_raft_key(self.rafts[member], renamed) for member in order]
        in_transit = sorted(_message_key(message, renamed) for message in self.in_transit)
        committed = [(index, e.term, e.kind, e.data) for index, e in sorted(self.committed.items())]
        leaders = [(term, renamed[name]) for term, name in sorted(self.leaders.items())]
        return _encode((rafts, in_transit, committed, leaders, self.proposals, self.crashes, self.heartbeats))


def _check_logs_match(one: Raft, other: Raft) -> None:
    """Logs that agree on a term at an index agree on all before it."""
    for index in range(min(one.log.last_index, other.log.last_index), 0, -1):
        if one.log.term_at(index) == other.log.term_at(index):
            if one.log.slice(1, index) != other.log.slice(1, index):
                raise SafetyViolationError(f"logs match at {index} and not before")
            return


def _raft_key(raft: Raft, renamed: dict[str, str]) -> tuple[object, ...]:
    state = raft.state
    votes: list[tuple[str, bool]] = []
    progress: list[tuple[str, int, int, int, bool]] = []
    if state.role is Role.LEADER:
        progress = [
            (renamed[name], p.match_index, p.next_index, p.inflight_appends, p.is_probing)
            for name, p in raft.leader.replicator.progress.items()
        ]
    else:
        votes = [(renamed[name], granted) for name, granted in raft.election.votes.items()]
    return (
        state.current_term,
        renamed[state.voted_for] if state.voted_for is not None else "",
        state.role.value,
        renamed[state.leader_id] if state.leader_id is not None else "",
        [(entry.term, entry.index, entry.kind, entry.data) for entry in state.log.entries],
        state.commit_index,
        state.delivered_index,
        sorted(votes),
        sorted(progress),
    )


def _message_key(message: Message, renamed: dict[str, str]) -> bytes:
    copy = msgspec.structs.replace(message, source=renamed[message.source], to=renamed[message.to])
    return encode_message(copy)
