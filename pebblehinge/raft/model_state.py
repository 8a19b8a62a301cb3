"""The states that `model` explores, with their safety checks and the key by which equivalent states are recognized."""

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
    """One state of the group.

    Attributes:
        rafts: The members.
        in_transit: The messages in transit, oldest first.
        committed_entries: All entries that any member has committed, by index.
        leaders_by_term: The names of all leaders so far, by term.
        remaining_proposals: The proposals that the bounds still allow.
        remaining_crashes: The crashes that the bounds still allow.
        remaining_heartbeats: The heartbeat events that the bounds still allow.
    """

    rafts: list[Raft]
    in_transit: tuple[Message, ...]
    committed_entries: dict[int, Entry]
    leaders_by_term: dict[int, str]
    remaining_proposals: int
    remaining_crashes: int
    remaining_heartbeats: int

    def process_ready(self, member_index: int, max_in_transit: int) -> None:
        """Carries out a member's work: persists entries, sends messages, and checks and applies committed entries.

        Beyond `max_in_transit` messages the oldest are lost.

        Raises:
            SafetyViolationError: Another entry is committed at the same index.
        """
        raft = self.rafts[member_index]
        while ready := raft.ready():
            if ready.entries:
                raft.mark_persisted(raft.log.last_index)
            for entry in ready.committed_entries:
                if self.committed_entries.setdefault(entry.index, entry) != entry:
                    raise SafetyViolationError(f"two entries are committed at index {entry.index}")
                raft.mark_applied(entry.index)
            messages = (*ready.messages, *ready.messages_after_persist)
            new_messages = [message for message in messages if message not in self.in_transit]
            self.in_transit = (self.in_transit + tuple(dict.fromkeys(new_messages)))[-max_in_transit:]

    def check_safety(self) -> None:
        """Checks election safety, leader completeness and log matching (paper, figure 3).

        Raises:
            SafetyViolationError: One of the properties does not hold.
        """
        for raft in self.rafts:
            if raft.role is Role.LEADER:
                self._check_leader(raft)
        for first, second in itertools.combinations(self.rafts, 2):
            _check_logs_match(first, second)

    def _check_leader(self, raft: Raft) -> None:
        term = raft.current_term
        if self.leaders_by_term.setdefault(term, raft.name) != raft.name:
            raise SafetyViolationError(f"two leaders in term {term}")
        if term != max(self.leaders_by_term):
            return
        for index, entry in self.committed_entries.items():
            if entry.term < term and raft.log.term_at(index) != entry.term:
                raise SafetyViolationError(f"the leader of term {term} lacks committed entry {index}")

    def canonical_key(self) -> bytes:
        """Returns a key that is the same for states that differ only in the members' names."""
        names = [raft.name for raft in self.rafts]
        orders = itertools.permutations(range(len(names)))
        return min(self._key_for(order, {names[old]: str(new) for new, old in enumerate(order)}) for order in orders)

    def _key_for(self, order: tuple[int, ...], new_names: dict[str, str]) -> bytes:
        rafts = [_raft_key(self.rafts[member_index], new_names) for member_index in order]
        in_transit = sorted(_message_key(message, new_names) for message in self.in_transit)
        committed = [(index, e.term, e.kind, e.data) for index, e in sorted(self.committed_entries.items())]
        leaders = [(term, new_names[name]) for term, name in sorted(self.leaders_by_term.items())]
        return _encode(
            (
                rafts,
                in_transit,
                committed,
                leaders,
                self.remaining_proposals,
                self.remaining_crashes,
                self.remaining_heartbeats,
            )
        )


def _check_logs_match(first: Raft, second: Raft) -> None:
    """Checks log matching: two logs with the same term at an index must have the same entries up to it."""
    for index in range(min(first.log.last_index, second.log.last_index), 0, -1):
        if first.log.term_at(index) == second.log.term_at(index):
            if first.log.slice(1, index) != second.log.slice(1, index):
                raise SafetyViolationError(f"two logs have the same term at index {index} and differ before it")
            return


def _raft_key(raft: Raft, new_names: dict[str, str]) -> tuple[object, ...]:
    state = raft.state
    votes: list[tuple[str, bool]] = []
    progress: list[tuple[str, int, int, int, bool]] = []
    if state.role is Role.LEADER:
        progress = [
            (new_names[name], p.match_index, p.next_index, p.inflight_appends, p.is_probing)
            for name, p in raft.leader.replicator.progress.items()
        ]
    else:
        votes = [(new_names[name], granted) for name, granted in raft.election.votes.items()]
    return (
        state.current_term,
        new_names[state.voted_for] if state.voted_for is not None else "",
        state.role.value,
        new_names[state.leader_id] if state.leader_id is not None else "",
        [(entry.term, entry.index, entry.kind, entry.data) for entry in state.log.entries],
        state.commit_index,
        state.delivered_index,
        sorted(votes),
        sorted(progress),
    )


def _message_key(message: Message, new_names: dict[str, str]) -> bytes:
    renamed_message = msgspec.structs.replace(message, source=new_names[message.source], to=new_names[message.to])
    return encode_message(renamed_message)
