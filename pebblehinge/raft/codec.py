"""Messages on the wire: one msgpack array for all kinds, with defaults in the places that a kind leaves out.

The table of words (`WIRE_KINDS`) and the order of `_Frame` are the format: they may not change.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pebblehinge.raft.entries import Entry, Membership
from pebblehinge.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    VoteRequest,
)

WIRE_KINDS: dict[type[Message], str] = {
    RequestVote: "vote",
    RequestVoteResponse: "vote-answer",
    PreVote: "pre-vote",
    PreVoteResponse: "pre-vote-answer",
    AppendEntries: "append",
    AppendEntriesResponse: "append-answer",
    InstallSnapshot: "snapshot",
    InstallSnapshotResponse: "snapshot-answer",
    TimeoutNow: "timeout",
}


class _Frame(msgspec.Struct, array_like=True, frozen=True):
    """The layout of every kind. `hint` is a flag, a total size or an index, by kind."""

    kind: str
    source: str
    to: str
    term: int
    index: int = 0
    log_term: int = 0
    commit: int = 0
    ok: bool = False
    hint: int = 0
    entries: tuple[Entry, ...] = ()
    offset: int = 0
    data: bytes = b""
    membership: Membership | None = None
    read_round: int = 0


_encode_frame = msgspec.msgpack.Encoder().encode
_decode_frame = msgspec.msgpack.Decoder(_Frame).decode


def encode_message(message: Message) -> bytes:
    """The bytes of a message."""
    return _encode_frame(_to_frame(message))


def decode_message(data: bytes) -> Message:
    """The message in these bytes. Raises msgspec.DecodeError if they are not a message."""
    frame = _decode_frame(data)
    read = _READERS.get(frame.kind)
    if read is None:
        raise msgspec.DecodeError(f"unknown kind of message {frame.kind!r}")
    return read(frame)


def _to_frame(message: Message) -> _Frame:
    kind = WIRE_KINDS[type(message)]
    source, to, term = message.source, message.to, message.term
    match message:
        case VoteRequest():
            hint = int(message.leadership_transfer)
            return _Frame(kind, source, to, term, message.last_log_index, message.last_log_term, hint=hint)
        case RequestVoteResponse() | PreVoteResponse():
            return _Frame(kind, source, to, term, ok=message.granted)
        case AppendEntries():
            return _Frame(
                kind,
                source,
                to,
                term,
                message.prev_log_index,
                message.prev_log_term,
                message.leader_commit,
                entries=message.entries,
                read_round=message.read_round,
            )
        case AppendEntriesResponse():
            return _Frame(
                kind,
                source,
                to,
                term,
                message.index,
                message.conflict_term,
                ok=message.success,
                hint=message.conflict_index,
                read_round=message.read_round,
            )
        case InstallSnapshot():
            return _Frame(
                kind,
                source,
                to,
                term,
                message.last_included_index,
                message.last_included_term,
                message.leader_commit,
                hint=message.total_bytes,
                offset=message.offset,
                data=message.data,
                membership=message.membership,
            )
        case InstallSnapshotResponse():
            return _Frame(
                kind, source, to, term, message.last_included_index, ok=message.installed, offset=message.offset
            )
    return _Frame(kind, source, to, term)


def _read_request_vote(frame: _Frame) -> Message:
    return RequestVote(frame.source, frame.to, frame.term, frame.index, frame.log_term, bool(frame.hint))


def _read_pre_vote(frame: _Frame) -> Message:
    return PreVote(frame.source, frame.to, frame.term, frame.index, frame.log_term, bool(frame.hint))


def _read_request_vote_response(frame: _Frame) -> Message:
    return RequestVoteResponse(frame.source, frame.to, frame.term, frame.ok)


def _read_pre_vote_response(frame: _Frame) -> Message:
    return PreVoteResponse(frame.source, frame.to, frame.term, frame.ok)


def _read_append_entries(frame: _Frame) -> Message:
    return AppendEntries(
        frame.source,
        frame.to,
        frame.term,
        prev_log_index=frame.index,
        prev_log_term=frame.log_term,
        leader_commit=frame.commit,
        entries=frame.entries,
        read_round=frame.read_round,
    )


def _read_append_entries_response(frame: _Frame) -> Message:
    return AppendEntriesResponse(
        frame.source,
        frame.to,
        frame.term,
        success=frame.ok,
        index=frame.index,
        conflict_index=frame.hint,
        conflict_term=frame.log_term,
        read_round=frame.read_round,
    )


def _read_install_snapshot(frame: _Frame) -> Message:
    if frame.membership is None:
        raise msgspec.DecodeError("a snapshot without its membership")
    return InstallSnapshot(
        frame.source,
        frame.to,
        frame.term,
        last_included_index=frame.index,
        last_included_term=frame.log_term,
        leader_commit=frame.commit,
        total_bytes=frame.hint,
        offset=frame.offset,
        data=frame.data,
        membership=frame.membership,
    )


def _read_install_snapshot_response(frame: _Frame) -> Message:
    return InstallSnapshotResponse(frame.source, frame.to, frame.term, frame.index, frame.ok, frame.offset)


def _read_timeout_now(frame: _Frame) -> Message:
    return TimeoutNow(frame.source, frame.to, frame.term)


_READERS: dict[str, Callable[[_Frame], Message]] = {
    WIRE_KINDS[RequestVote]: _read_request_vote,
    WIRE_KINDS[RequestVoteResponse]: _read_request_vote_response,
    WIRE_KINDS[PreVote]: _read_pre_vote,
    WIRE_KINDS[PreVoteResponse]: _read_pre_vote_response,
    WIRE_KINDS[AppendEntries]: _read_append_entries,
    WIRE_KINDS[AppendEntriesResponse]: _read_append_entries_response,
    WIRE_KINDS[InstallSnapshot]: _read_install_snapshot,
    WIRE_KINDS[InstallSnapshotResponse]: _read_install_snapshot_response,
    WIRE_KINDS[TimeoutNow]: _read_timeout_now,
}
