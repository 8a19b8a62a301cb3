"""What members send each other, named as in the paper and in Ongaro's thesis. `codec` says how they look on the wire.

A message may be lost, repeated or overtaken; `term` is the sender's, but for the term that a PreVote asks for.
"""

from __future__ import annotations

import msgspec

from pebblehinge.raft.entries import Entry, Membership


class Message(msgspec.Struct, frozen=True):
    """Base of all messages: sender, receiver, term."""

    source: str
    to: str
    term: int


class VoteRequest(Message, frozen=True):
    """Base of RequestVote and PreVote: the end of the candidate's log.

    `leadership_transfer`: the leader asked for this election, so that it may unseat a leader that others still hear.
    """

    last_log_index: int
    last_log_term: int
    leadership_transfer: bool = False


class RequestVote(VoteRequest, frozen=True):
    """A candidate asks for a vote in `term` (paper, 5.2)."""


class RequestVoteResponse(Message, frozen=True):
    """Whether the vote is granted."""

    granted: bool = False


class PreVote(VoteRequest, frozen=True):
    """Asks whether a vote in `term`, which nobody has entered yet, would be granted (thesis, 9.6)."""


class PreVoteResponse(Message, frozen=True):
    """Whether it would; `term` is the term asked for if so, and the sender's own if not."""

    granted: bool = False


class AppendEntries(Message, frozen=True):
    """Entries after `prev_log_index`, or none: a heartbeat (paper, 5.3).

    `read_round` is the number of the leader's newest round for reads; the response names it back.
    """

    prev_log_index: int
    prev_log_term: int
    leader_commit: int = 0
    entries: tuple[Entry, ...] = ()
    read_round: int = 0


class AppendEntriesResponse(Message, frozen=True):
    """How far the follower's log is known to match the leader's, or where to try next.

    `index` is the match index after a success. After a conflict it is the rejected `prev_log_index`, and
    `conflict_index` is where to go on: the first index of the conflicting term's run (`conflict_term`), or the end of a
    log that is too short (`conflict_term` 0). In answer to a leader of an old term, it is the last index.
    """

    success: bool = False
    index: int = 0
    conflict_index: int = 0
    conflict_term: int = 0
    read_round: int = 0


class InstallSnapshot(Message, frozen=True):
    """One piece of a snapshot of `total_bytes` (paper, 7)."""

    last_included_index: int
    last_included_term: int
    leader_commit: int
    total_bytes: int
    offset: int
    data: bytes
    membership: Membership


class InstallSnapshotResponse(Message, frozen=True):
    """`installed`, or the `offset` of the piece that is wanted next."""

    last_included_index: int
    installed: bool = False
    offset: int = 0


class TimeoutNow(Message, frozen=True):
    """The leader asks the receiver to start an election at once (leadership transfer; thesis, 3.10)."""
