"""The leader's replication of its log and snapshot to the other members (paper, 5.3 and 7)."""

from __future__ import annotations

from pebblehinge.raft.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from pebblehinge.raft.progress import Progress
from pebblehinge.raft.state import ServerState

MAX_APPEND_BYTES = 256 << 10  # entries per AppendEntries; a single larger entry is still sent
SNAPSHOT_CHUNK_BYTES = 64 << 10  # snapshot data per InstallSnapshot


class Replicator:
    """The progress of each other member, valid only while this member is the leader; empty until `reset`."""

    def __init__(self, state: ServerState) -> None:
        self.state = state
        self.progress: dict[str, Progress] = {}

    def reset(self) -> None:
        """Forgets the members' progress, as a new leader must, and probes from the end of its own log."""
        self.progress = {}
        self.sync_membership()

    def sync_membership(self) -> None:
        """Adds progress for members that joined, and removes it for members that left."""
        members = self.state.membership.all_members()
        for name in members:
            if name != self.state.name and name not in self.progress:
                self.progress[name] = Progress(self.state.log.last_index + 1)
        for name in [name for name in self.progress if name not in members]:
            del self.progress[name]

    def tick(self) -> None:
        """Counts a tick since each member's last response."""
        for progress in self.progress.values():
            progress.ticks_since_response += 1

    def check_quorum(self) -> bool:
        """Returns whether a majority responded since the last successful check; if so, starts the next period."""
        voters = self.state.membership.voters
        active = sum(progress.recently_active for name, progress in self.progress.items() if name in voters)
        if active + self.state.is_voter < self.state.membership.quorum():
            return False
        for progress in self.progress.values():
            progress.recently_active = False
        return True

    def majority_match_index(self) -> int:
        """Returns the highest index that a majority of voters has persisted, 0 if too few have a known progress."""
        match_indexes: list[int] = []
        for name in self.state.membership.voters:
            if name == self.state.name:
                match_indexes.append(self.state.persisted_index)
            elif name in self.progress:
                match_indexes.append(self.progress[name].match_index)
        quorum = self.state.membership.quorum()
        if len(match_indexes) < quorum:
            return 0
        return sorted(match_indexes, reverse=True)[quorum - 1]

    # ---- sending

    def broadcast(self) -> None:
        """Sends each member the entries it lacks, within its window."""
        for name in self.progress:
            self.replicate(name)

    def broadcast_heartbeat(self) -> None:
        """Sends each member at least an empty AppendEntries; restarts probing of members that do not respond."""
        for name, progress in self.progress.items():
            if progress.ticks_since_response >= self.state.election_timeout and not progress.is_probing:
                # The messages in flight may be lost, so the member's match index must be probed again.
                progress.is_probing = True
                progress.next_index = progress.match_index + 1
            if progress.ticks_since_response >= self.state.heartbeat_interval * 2:
                progress.inflight_appends = 0
            self.replicate(name, heartbeat=True)

    def replicate(self, name: str, heartbeat: bool = False) -> None:
        """Sends a member the entries it lacks, within its window; with `heartbeat`, at least one message."""
        progress = self.progress[name]
        if progress.snapshot is not None:
            if heartbeat:
                self._send_snapshot_chunk(name, progress)
            return
        while self._send_append(name, progress, heartbeat):
            heartbeat = False

    def _send_append(self, name: str, progress: Progress, heartbeat: bool) -> bool:
        """Sends one message, an empty one only if `heartbeat`; returns whether it had entries and more may follow."""
        state = self.state
        prev_log_index = progress.next_index - 1
        prev_log_term = state.log.term_at(prev_log_index)
        if prev_log_term is None:
            progress.start_snapshot(state.log.snapshot)
            self._send_snapshot_chunk(name, progress)
            return False
        entries = (
            []
            if progress.is_window_full
            else state.log.slice(progress.next_index, state.log.last_index, max_bytes=MAX_APPEND_BYTES)
        )
        if not entries and not heartbeat:
            return False
        message = AppendEntries(
            state.name,
            name,
            state.current_term,
            prev_log_index=prev_log_index,
            prev_log_term=prev_log_term,
            leader_commit=min(state.commit_index, prev_log_index + len(entries)),
            entries=tuple(entries),
            read_round=state.read_round,
        )
        state.send(message)
        if not entries:
            return False
        progress.inflight_appends += 1
        if not progress.is_probing:
            progress.next_index += len(entries)
        return True

    def _send_snapshot_chunk(self, name: str, progress: Progress) -> None:
        snapshot = progress.snapshot
        if snapshot is None:
            return
        offset = progress.snapshot_offset
        message = InstallSnapshot(
            self.state.name,
            name,
            self.state.current_term,
            last_included_index=snapshot.index,
            last_included_term=snapshot.term,
            leader_commit=self.state.commit_index,
            total_bytes=len(snapshot.data),
            offset=offset,
            data=snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            membership=snapshot.membership,
        )
        self.state.send(message)

    # ---- responses

    def on_conflict(self, response: AppendEntriesResponse) -> None:
        """Backs up the next index by whole terms (paper, 5.3), never below the match index."""
        progress = self.progress[response.source]
        if response.index <= progress.match_index and not progress.is_probing:
            return  # an outdated response, since a later success was received first
        log = self.state.log
        next_index = response.conflict_index
        if response.conflict_term:
            last_of_term = log.last_index_of_term(response.conflict_term)
            if last_of_term is not None:
                next_index = min(last_of_term + 1, response.index)
        progress.probe_from(max(progress.match_index + 1, min(next_index, log.last_index + 1), 1))
        self.replicate(response.source)

    def on_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        """Sends the next chunk, or the entries after the snapshot once it is installed."""
        progress = self.progress[response.source]
        progress.record_response()
        snapshot = progress.snapshot
        if snapshot is None or response.last_included_index != snapshot.index:
            return
        if response.installed:
            progress.finish_snapshot(snapshot)
            self.replicate(response.source)
        elif response.offset != progress.snapshot_offset or response.offset == 0:
            progress.snapshot_offset = min(response.offset, len(snapshot.data))
            self._send_snapshot_chunk(response.source, progress)
