"""The messages between members, named as in the paper and in Ongaro's thesis. `codec` defines their wire format.

A message may be lost, duplicated or reordered. `term` is the sender's current term, except in a PreVote and in a
granted PreVoteResponse, where it is the term that the pre-candidate would enter.
"""

from __future__ import annotations

import msgspec

from pebblehinge.raft.entries import Entry, Membership


class Message(msgspec.Struct, frozen=True):
    """The base class of all messages: the sender, the receiver and the term."""

    source: str
    to: str
    term: int


class VoteRequest(Message, frozen=True):
    """The base class of RequestVote and PreVote.

    Attributes:
        last_log_index: The index of the candidate's last log entry.
        last_log_term: The term of the candidate's last log entry.
        leadership_transfer: Whether the leader itself requested this election by TimeoutNow; members then grant their
            vote even while they have a live leader.
    """

    last_log_index: int
    last_log_term: int
    leadership_transfer: bool = False


class RequestVote(VoteRequest, frozen=True):
    """A candidate's request for a vote in `term` (paper, 5.2)."""


class RequestVoteResponse(Message, frozen=True):
    """The response to a RequestVote: whether the vote is granted."""

    granted: bool = False


class PreVote(VoteRequest, frozen=True):
    """A pre-candidate's inquiry whether a vote in `term`, which it has not entered, would be granted (thesis, 9.6)."""


class PreVoteResponse(Message, frozen=True):
    """The response to a PreVote: `term` is the requested term if the pre-vote is granted, else the sender's own."""

    granted: bool = False


class AppendEntries(Message, frozen=True):
    """The leader's entries after `prev_log_index`, or none in a heartbeat (paper, 5.3).

    `read_round` is the number of the leader's latest read index round; the response returns it.
    """

    prev_log_index: int
    prev_log_term: int
    leader_commit: int = 0
    entries: tuple[Entry, ...] = ()
    read_round: int = 0


class AppendEntriesResponse(Message, frozen=True):
    """The response to an AppendEntries: the match index, or the index from which the leader should retry.

    Attributes:
        success: Whether the follower's log matched at `prev_log_index` and holds the entries now.
        index: After a success, the match index; after a conflict, the rejected `prev_log_index`; in a response to a
            leader of an old term, the last index of the log.
        conflict_index: After a conflict, the first index of the run of entries with `conflict_term`, or the index after
            the last entry if the log is too short.
        conflict_term: After a conflict, the term of the entry at `prev_log_index`; 0 if the log is too short.
        read_round: The read index round of the AppendEntries.
    """

    success: bool = False
    index: int = 0
    conflict_index: int = 0
    conflict_term: int = 0
    read_round: int = 0


class InstallSnapshot(Message, frozen=True):
    """A chunk of a snapshot that has `total_bytes` in all (paper, 7); `offset` is the chunk's position in bytes."""

    last_included_index: int
    last_included_term: int
    leader_commit: int
    total_bytes: int
    offset: int
    data: bytes
    membership: Membership


class InstallSnapshotResponse(Message, frozen=True):
    """The response to an InstallSnapshot: `installed`, or the `offset` in bytes of the chunk that is expected next."""

    last_included_index: int
    installed: bool = False
    offset: int = 0


class TimeoutNow(Message, frozen=True):
    """The leader's request that the receiver start an election immediately (leadership transfer; thesis, 3.10)."""
