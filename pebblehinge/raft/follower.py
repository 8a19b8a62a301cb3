"""The follower's handling of the leader's entries and snapshots (paper, 5.3 and 7)."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.raft.entries import Entry, EntryKind, Snapshot
from pebblehinge.raft.leader import Leader
from pebblehinge.raft.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from pebblehinge.raft.state import Role, ServerState


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is received in chunks: its last index and term, and the bytes received so far."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """Handles AppendEntries and InstallSnapshot, and holds the snapshot that is being received.

    `leader` steps down when this member learns of the term's leader.
    """

    def __init__(self, state: ServerState, leader: Leader) -> None:
        self.state = state
        self.leader = leader
        self.incoming_snapshot: IncomingSnapshot | None = None

    # ---- entries

    def on_append_entries(self, request: AppendEntries) -> None:
        """Appends entries if the logs match before them, replacing conflicting ones, and advances the commit index."""
        state = self.state
        self._record_leader_contact(request.source)
        if request.prev_log_index < state.commit_index:
            # Committed entries never change: the response tells the leader to continue after the commit index.
            self._send_success(request, match_index=state.commit_index)
            return
        if state.log.term_at(request.prev_log_index) != request.prev_log_term:
            self._send_conflict(request)
            return
        match_index = request.prev_log_index + len(request.entries)
        for entry in request.entries:
            self._append_entry(entry)
        if state.pending.truncate_from is not None or any(e.kind == EntryKind.MEMBERSHIP for e in request.entries):
            state.refresh_membership()
        state.commit_index = max(state.commit_index, min(request.leader_commit, match_index))
        self._send_success(request, match_index)

    def _append_entry(self, entry: Entry) -> None:
        """Appends an entry unless the log holds it; first removes a conflicting entry and all entries after it."""
        log = self.state.log
        if entry.index <= log.last_index:
            if log.term_at(entry.index) == entry.term:
                return
            self._truncate_from(entry.index)
        log.append(entry)
        self.state.pending.entries.append(entry)

    def _truncate_from(self, index: int) -> None:
        state = self.state
        state.log.truncate_from(index)
        state.pending.truncate_from = min(state.pending.truncate_from or index, index)
        state.pending.entries = [entry for entry in state.pending.entries if entry.index < index]
        state.persisted_index = min(state.persisted_index, index - 1)

    def _send_success(self, request: AppendEntries, match_index: int) -> None:
        state = self.state
        response = AppendEntriesResponse(
            state.name,
            request.source,
            state.current_term,
            success=True,
            index=match_index,
            read_round=request.read_round,
        )
        state.send_after_persist(response)

    def _send_conflict(self, request: AppendEntries) -> None:
        state = self.state
        index = request.prev_log_index
        conflict_index = state.log.last_index + 1
        conflict_term = 0
        if index <= state.log.last_index:
            conflict_term = state.log.term_at(index) or 0
            conflict_index = state.log.first_index_of_term_run(conflict_term, index) if conflict_term else index
        response = AppendEntriesResponse(
            state.name,
            request.source,
            state.current_term,
            index=index,
            conflict_index=conflict_index,
            conflict_term=conflict_term,
            read_round=request.read_round,
        )
        state.send(response)

    # ---- snapshots

    def on_install_snapshot(self, request: InstallSnapshot) -> None:
        """Collects the chunks of a snapshot, and installs it once all have arrived."""
        state = self.state
        self._record_leader_contact(request.source)
        if request.last_included_index <= state.commit_index:
            self.incoming_snapshot = None
            self._send_installed(request)
            return
        data = self._append_chunk(request)
        if len(data) < request.total_bytes:
            state.send(
                InstallSnapshotResponse(
                    state.name, request.source, state.current_term, request.last_included_index, offset=len(data)
                )
            )
            return
        self.incoming_snapshot = None
        self._install(
            Snapshot(request.last_included_term, request.last_included_index, request.membership, bytes(data))
        )
        self._send_installed(request)

    def _append_chunk(self, request: InstallSnapshot) -> bytearray:
        """Appends a chunk if it is the next one; returns the bytes of the snapshot received so far."""
        incoming = self.incoming_snapshot
        last_included = (request.last_included_index, request.last_included_term)
        if request.offset == 0 or incoming is None or (incoming.index, incoming.term) != last_included:
            incoming = IncomingSnapshot(*last_included)
            self.incoming_snapshot = incoming
        if request.offset == len(incoming.data):
            incoming.data += request.data
        return incoming.data

    def _install(self, snapshot: Snapshot) -> None:
        state = self.state
        state.log.compact(snapshot)
        state.refresh_membership()
        state.commit_index = max(state.commit_index, snapshot.index)
        state.delivered_index = state.commit_index
        state.persisted_index = max(min(state.persisted_index, state.log.last_index), snapshot.index)
        state.pending.committed_entries = []
        state.pending.entries = [entry for entry in state.pending.entries if entry.index > snapshot.index]
        state.pending.snapshot = snapshot
        state.pending.snapshot_to_restore = snapshot

    def _send_installed(self, request: InstallSnapshot) -> None:
        state = self.state
        response = InstallSnapshotResponse(
            state.name, request.source, state.current_term, request.last_included_index, installed=True
        )
        state.send_after_persist(response)

    # ---- helpers

    def _record_leader_contact(self, leader_id: str) -> None:
        """Records contact with the leader of the current term, and becomes its follower."""
        if self.state.role is not Role.FOLLOWER:
            self.leader.step_down(self.state.current_term, leader_id)
        self.state.leader_id = leader_id
        self.state.ticks_elapsed = 0
        self.state.ticks_since_leader = 0
