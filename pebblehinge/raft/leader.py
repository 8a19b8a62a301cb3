"""The leader's duties: proposals, commits, membership changes and leadership transfer (paper, 5.3 and 5.4.2)."""

from __future__ import annotations

import msgspec

from pebblehinge.raft.entries import Entry, EntryKind, Membership
from pebblehinge.raft.errors import LeadershipTransferError, MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import AppendEntriesResponse, InstallSnapshotResponse, TimeoutNow
from pebblehinge.raft.progress import MAX_INFLIGHT_APPENDS
from pebblehinge.raft.read_index import ReadIndex
from pebblehinge.raft.replication import Replicator
from pebblehinge.raft.state import Role, ServerState

MAX_UNCOMMITTED_ENTRIES = 1024  # proposals beyond this are rejected
MAX_NEW_VOTER_LAG_ENTRIES = MAX_INFLIGHT_APPENDS  # lag of a learner's match index when it becomes a voter


class Leader:
    """The leader's replication, reads and leadership transfer; inactive while this member is not the leader.

    Attributes:
        state: The member's shared state.
        replicator: Sends entries and snapshots to the other members.
        reads: The pending read index requests.
        transferee: The target of the current leadership transfer, during which proposals are rejected.
        transfer_ticks: The ticks since the leadership transfer started.
    """

    def __init__(self, state: ServerState) -> None:
        self.state = state
        self.replicator = Replicator(state)
        self.reads = ReadIndex(state, self.replicator)
        self.transferee: str | None = None
        self.transfer_ticks = 0

    @property
    def is_leading(self) -> bool:
        """Returns whether this member is the leader."""
        return self.state.role is Role.LEADER

    def become_leader(self) -> None:
        """Becomes leader and appends a no-op, since entries of earlier terms commit only with one of the new term."""
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
        """Becomes a follower from any role; a leader's pending reads fail."""
        was_leading = self.is_leading
        self.state.become_follower(term, leader_id)
        if was_leading:
            self.reads.abort()
            self.transferee = None

    def tick(self) -> None:
        """Advances the leader by one tick: sends heartbeats, checks the quorum, continues a leadership transfer."""
        state = self.state
        self.replicator.tick()
        if state.ticks_elapsed % state.heartbeat_interval == 0:
            self.replicator.broadcast_heartbeat()
        if state.ticks_elapsed >= state.election_timeout:
            state.ticks_elapsed = 0
            if not self.replicator.check_quorum():
                self.step_down(state.current_term, None)  # without a majority, another leader may have been elected
                return
        if self.transferee is not None:
            self._tick_transfer()

    # ---- requests

    def propose(self, data: bytes, session: str, serial: int) -> int | None:
        """Appends a command to the log; see `Raft.propose`."""
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
            raise MembershipChangeError("another membership change is in progress")
        if self.state.commit_index < self.state.term_start_index:
            raise MembershipChangeError("the leader has not committed an entry of its term yet")
        self._check_voter_changes(membership)
        self._append(EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership))

    def transfer_leadership(self, transferee: str) -> None:
        """Starts a leadership transfer; see `Raft.transfer_leadership`."""
        if not self.is_leading:
            raise NotLeaderError
        if transferee not in self.state.membership.voters or transferee == self.state.name:
            raise LeadershipTransferError(f"{transferee} is no other voter")
        self.transferee = transferee
        self.transfer_ticks = 0
        self._send_timeout_now()

    def read_index(self, context: int) -> bool:
        """Requests a read index; see `Raft.read_index`."""
        return self.is_leading and self.reads.add(context)

    # ---- events

    def on_persisted(self) -> None:
        """Advances the commit index after more of the leader's own entries reached the disk, since only those count."""
        if self.is_leading:
            self._advance_commit_index()

    def on_append_entries_response(self, response: AppendEntriesResponse) -> None:
        """Handles a follower's success or conflict: advances its progress, or probes for the match index."""
        if not self.is_leading or response.source not in self.replicator.progress:
            return
        progress = self.replicator.progress[response.source]
        progress.record_response()
        progress.inflight_appends = max(0, progress.inflight_appends - 1)
        self.reads.on_response(response.source, response.read_round)
        if response.success:
            self._on_append_success(response)
        else:
            self.replicator.on_conflict(response)
        self._send_timeout_now()

    def on_install_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        """Handles a follower's response to a snapshot chunk."""
        if self.is_leading and response.source in self.replicator.progress:
            self.replicator.on_snapshot_response(response)

    # ---- helpers

    def _append(self, kind: EntryKind, data: bytes, session: str = "", serial: int = 0) -> int:
        """Appends an entry of the current term and replicates it; returns its index."""
        state = self.state
        entry = Entry(state.current_term, state.log.last_index + 1, kind, data, session, serial)
        state.log.append(entry)
        state.pending.entries.append(entry)
        if kind is EntryKind.MEMBERSHIP:
            state.refresh_membership()
            self.replicator.sync_membership()
        self.replicator.broadcast()
        return entry.index

    def _on_append_success(self, response: AppendEntriesResponse) -> None:
        progress = self.replicator.progress[response.source]
        if response.index > progress.match_index:
            progress.match_index = response.index
            self._advance_commit_index()
        if progress.is_probing:
            progress.replicate_from_match()
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self.replicator.replicate(response.source)

    def _advance_commit_index(self) -> None:
        """Commits the entries that a majority has persisted, if the last is of the current term (paper, 5.4.2)."""
        state = self.state
        index = self.replicator.majority_match_index()
        if index <= state.commit_index or state.log.term_at(index) != state.current_term:
            return
        state.commit_index = index
        self.reads.begin_round()
        self.replicator.broadcast_heartbeat()
        if state.membership_index <= state.commit_index and not state.is_voter:
            self.step_down(state.current_term, None)  # this member was removed; the other voters elect a leader

    def _check_voter_changes(self, new: Membership) -> None:
        """Raises MembershipChangeError unless at most one voter changes, and a new voter is an up-to-date learner."""
        old = self.state.membership
        if not new.voters or set(new.voters) & set(new.learners):
            raise MembershipChangeError("the membership has no voters, or a voter is a learner as well")
        if len(set(old.voters) ^ set(new.voters)) > 1:
            raise MembershipChangeError("more than one voter would change")
        for name in new.voters:
            if name not in old.voters:
                self._check_new_voter(name)

    def _check_new_voter(self, name: str) -> None:
        if name not in self.state.membership.learners:
            raise MembershipChangeError(f"{name} must be a learner first")
        progress = self.replicator.progress.get(name)
        if progress is None or progress.match_index + MAX_NEW_VOTER_LAG_ENTRIES < self.state.log.last_index:
            raise MembershipChangeError(f"{name} has not caught up with the log")

    def _tick_transfer(self) -> None:
        self.transfer_ticks += 1
        if self.transfer_ticks > self.state.election_timeout:
            self.transferee = None  # the transfer failed; this leader accepts proposals again
        else:
            self._send_timeout_now()

    def _send_timeout_now(self) -> None:
        """Requests an election from the transferee once its log is complete."""
        state = self.state
        if self.transferee is None:
            return
        progress = self.replicator.progress.get(self.transferee)
        if progress is not None and progress.match_index == state.log.last_index:
            state.send(TimeoutNow(state.name, self.transferee, state.current_term))
