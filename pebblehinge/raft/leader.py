"""What a leader does: proposals, commits, membership changes, leadership transfer (paper, 5.3 and 5.4.2)."""

from __future__ import annotations

import msgspec

from pebblehinge.raft.entries import Entry, EntryKind, Membership
from pebblehinge.raft.errors import LeadershipTransferError, MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import AppendEntriesResponse, InstallSnapshotResponse, TimeoutNow
from pebblehinge.raft.progress import MAX_INFLIGHT_APPENDS
from pebblehinge.raft.read_index import ReadIndex
from pebblehinge.raft.replication import Replicator
from pebblehinge.raft.state import Role, ServerState

MAX_UNCOMMITTED_ENTRIES = 1024  # beyond that, proposals are not taken
MAX_NEW_VOTER_LAG = MAX_INFLIGHT_APPENDS  # entries that a learner may lack when it becomes a voter


class Leader:
    """Owns replication, reads and a transfer under way. It stands idle while this member does not lead."""

    def __init__(self, state: ServerState) -> None:
        """Idle until `assume_leadership`."""
        self.state = state
        self.replicator = Replicator(state)
        self.reads = ReadIndex(state, self.replicator)
        self.transferee: str | None = None  # whom leadership is being handed to: proposals wait meanwhile
        self.transfer_ticks = 0

    @property
    def is_leading(self) -> bool:
        """Whether this member leads."""
        return self.state.role is Role.LEADER

    def assume_leadership(self) -> None:
        """An election is won: the term begins with a no-op, since entries of old terms commit only with it."""
        state = self.state
        state.role = Role.LEADER
        state.leader_id = state.name
        state.ticks_elapsed = 0
        self.transferee = None
        self.reads.abort()
        self.replicator.reset()
        state.term_start_index = state.log.last_index + 1
        self._append(EntryKind.NOOP, b"")

    def step_down(self, term: int, leader_id: str | None) -> None:
        """Becomes a follower, whatever the role was; a leader's reads are lost."""
        was_leading = self.is_leading
        self.state.become_follower(term, leader_id)
        if was_leading:
            self.reads.abort()
            self.transferee = None

    def tick(self) -> None:
        """One tick of a leader: heartbeats, the check of the quorum, a transfer under way."""
        state = self.state
        self.replicator.tick()
        if state.ticks_elapsed % state.heartbeat_interval == 0:
            self.replicator.broadcast_heartbeat()
        if state.ticks_elapsed >= state.election_timeout:
            state.ticks_elapsed = 0
            if not self.replicator.check_quorum():
                self.step_down(state.current_term, None)  # a leader that hears no majority may be an old one
                return
        if self.transferee is not None:
            self._tick_transfer()

    # ---- requests

    def propose(self, data: bytes, session: str, serial: int) -> int | None:
        """Appends a command; see `Raft.propose`."""
        if not self.is_leading or self.transferee is not None:
            return None
        if self.state.log.last_index - self.state.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            return None
        return self._append(EntryKind.DATA, data, session, serial)

    def change_membership(self, membership: Membership) -> None:
        """Appends a new membership; see `Raft.change_membership`."""
        if not self.is_leading:
            raise NotLeaderError
        if self.state.membership_index > self.state.commit_index:
            raise MembershipChangeError("another change is under way")
        if self.state.commit_index < self.state.term_start_index:
            raise MembershipChangeError("this term has committed nothing yet")
        self._check_voters(membership)
        self._append(EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership))

    def transfer_leadership(self, to: str) -> None:
        """Begins to hand over; see `Raft.transfer_leadership`."""
        if not self.is_leading:
            raise NotLeaderError
        if to not in self.state.membership.voters or to == self.state.name:
            raise LeadershipTransferError(f"{to} is no other voter")
        self.transferee = to
        self.transfer_ticks = 0
        self._send_timeout_now()

    def read_index(self, context: int) -> bool:
        """Takes a read; see `Raft.read_index`."""
        return self.is_leading and self.reads.add(context)

    # ---- events

    def on_persisted(self) -> None:
        """More of this member's own log is on disk: a leader counts itself only now."""
        if self.is_leading:
            self._advance_commit_index()

    def on_append_entries_response(self, response: AppendEntriesResponse) -> None:
        """A follower has taken entries, or its log conflicts."""
        if not self.is_leading or response.source not in self.replicator.progress:
            return
        progress = self.replicator.progress[response.source]
        progress.note_response()
        progress.inflight_appends = max(0, progress.inflight_appends - 1)
        self.reads.on_response(response.source, response.read_round)
        if response.success:
            self._on_success(response)
        else:
            self.replicator.on_conflict(response)
        self._send_timeout_now()

    def on_install_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        """A follower has taken a piece of a snapshot."""
        if self.is_leading and response.source in self.replicator.progress:
            self.replicator.on_snapshot_response(response)

    # ---- helpers

    def _append(self, kind: EntryKind, data: bytes, session: str = "", serial: int = 0) -> int:
        """Appends an entry of this term and replicates it; returns its index."""
        state = self.state
        entry = Entry(state.current_term, state.log.last_index + 1, kind, data, session, serial)
        state.log.append(entry)
        state.pending.entries.append(entry)
        if kind is EntryKind.MEMBERSHIP:
            state.refresh_membership()
            self.replicator.sync_membership()
        self.replicator.broadcast()
        return entry.index

    def _on_success(self, response: AppendEntriesResponse) -> None:
        progress = self.replicator.progress[response.source]
        if response.index > progress.match_index:
            progress.match_index = response.index
            self._advance_commit_index()
        if progress.is_probing:
            progress.replicate_from_match()
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self.replicator.replicate(response.source)

    def _advance_commit_index(self) -> None:
        """Commits what a majority has persisted, and only through an entry of this term (paper, 5.4.2)."""
        state = self.state
        index = self.replicator.majority_match_index()
        if index <= state.commit_index or state.log.term_at(index) != state.current_term:
            return
        state.commit_index = index
        self.reads.begin_round()
        self.replicator.broadcast_heartbeat()
        if state.membership_index <= state.commit_index and not state.is_voter:
            self.step_down(state.current_term, None)  # it was removed: the others go on

    def _check_voters(self, new: Membership) -> None:
        """Raises MembershipChangeError unless one voter at most changes, and one that joins has caught up."""
        old = self.state.membership
        if not new.voters or set(new.voters) & set(new.learners):
            raise MembershipChangeError("no sound membership")
        if len(set(old.voters) ^ set(new.voters)) > 1:
            raise MembershipChangeError("more than one voter would change")
        for name in new.voters:
            if name not in old.voters:
                self._check_new_voter(name)

    def _check_new_voter(self, name: str) -> None:
        if name not in self.state.membership.learners:
            raise MembershipChangeError(f"{name} must learn first")
        progress = self.replicator.progress.get(name)
        if progress is None or progress.match_index + MAX_NEW_VOTER_LAG < self.state.log.last_index:
            raise MembershipChangeError(f"{name} has not caught up")

    def _tick_transfer(self) -> None:
        self.transfer_ticks += 1
        if self.transfer_ticks > self.state.election_timeout:
            self.transferee = None  # it did not come to it: proposals go on here
        else:
            self._send_timeout_now()

    def _send_timeout_now(self) -> None:
        """Asks the transferee to campaign as soon as it has the whole log."""
        state = self.state
        if self.transferee is None:
            return
        progress = self.replicator.progress.get(self.transferee)
        if progress is not None and progress.match_index == state.log.last_index:
            state.send(TimeoutNow(state.name, self.transferee, state.current_term))
