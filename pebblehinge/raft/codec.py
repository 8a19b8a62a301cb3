"""The wire format of messages: one msgpack array layout for all kinds, with defaults for the fields a kind leaves out.

The strings in `WIRE_KINDS` and the order of the fields of `_Frame` are the format and must not change.
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
    """The array layout shared by all kinds of messages.

    `hint` holds `leadership_transfer`, `conflict_index` or `total_bytes`, depending on the kind.
    """

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
    """Returns the encoded message."""
    return _encode_frame(_to_frame(message))


def decode_message(data: bytes) -> Message:
    """Returns the decoded message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message.
    """
    frame = _decode_frame(data)
    decode = _DECODERS.get(frame.kind)
    if decode is None:
        raise msgspec.DecodeError(f"unknown message kind {frame.kind!r}")
    return decode(frame)


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


def _decode_request_vote(frame: _Frame) -> Message:
    return RequestVote(frame.source, frame.to, frame.term, frame.index, frame.log_term, bool(frame.hint))


def _decode_pre_vote(frame: _Frame) -> Message:
    return PreVote(frame.source, frame.to, frame.term, frame.index, frame.log_term, bool(frame.hint))


def _decode_request_vote_response(frame: _Frame) -> Message:
    return RequestVoteResponse(frame.source, frame.to, frame.term, frame.ok)


def _decode_pre_vote_response(frame: _Frame) -> Message:
    return PreVoteResponse(frame.source, frame.to, frame.term, frame.ok)


def _decode_append_entries(frame: _Frame) -> Message:
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


def _decode_append_entries_response(frame: _Frame) -> Message:
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


def _decode_install_snapshot(frame: _Frame) -> Message:
    if frame.membership is None:
        raise msgspec.DecodeError("snapshot message has no membership")
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


def _decode_install_snapshot_response(frame: _Frame) -> Message:
    return InstallSnapshotResponse(frame.source, frame.to, frame.term, frame.index, frame.ok, frame.offset)


def _decode_timeout_now(frame: _Frame) -> Message:
    return TimeoutNow(frame.source, frame.to, frame.term)


_DECODERS: dict[str, Callable[[_Frame], Message]] = {
    WIRE_KINDS[RequestVote]: _decode_request_vote,
    WIRE_KINDS[RequestVoteResponse]: _decode_request_vote_response,
    WIRE_KINDS[PreVote]: _decode_pre_vote,
    WIRE_KINDS[PreVoteResponse]: _decode_pre_vote_response,
    WIRE_KINDS[AppendEntries]: _decode_append_entries,
    WIRE_KINDS[AppendEntriesResponse]: _decode_append_entries_response,
    WIRE_KINDS[InstallSnapshot]: _decode_install_snapshot,
    WIRE_KINDS[InstallSnapshotResponse]: _decode_install_snapshot_response,
    WIRE_KINDS[TimeoutNow]: _decode_timeout_now,
}
