"""Tests of the exact bytes of Raft messages and stored records, which must stay those of the first version."""

from __future__ import annotations

import msgspec
import pytest

from pebblehinge.raft import Entry, HardState, Membership, Message, Snapshot
from pebblehinge.raft.codec import WIRE_KINDS, decode_message, encode_message
from pebblehinge.raft.identity import Identity
from pebblehinge.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from pebblehinge.raft.records import Truncation, decode_checksummed, decode_segment, encode_checksummed, encode_record

ENTRY = Entry(7, 6, 1, b"x", "s", 3)
MEMBERSHIP = Membership(("a", "b"), ("c",))
MESSAGES = [
    (RequestVote("a", "b", 7, 5, 6, leadership_transfer=True), "9ea4766f7465a161a16207050600c2019000c400c000"),
    (RequestVote("a", "b", 7, 5, 6), "9ea4766f7465a161a16207050600c2009000c400c000"),
    (RequestVoteResponse("b", "a", 7, granted=True), "9eab766f74652d616e73776572a162a16107000000c3009000c400c000"),
    (PreVote("a", "b", 8, 5, 6), "9ea87072652d766f7465a161a16208050600c2009000c400c000"),
    (PreVoteResponse("b", "a", 7), "9eaf7072652d766f74652d616e73776572a162a16107000000c2009000c400c000"),
    (
        AppendEntries("a", "b", 7, 5, 6, leader_commit=4, entries=(ENTRY, Entry(7, 7, 0)), read_round=9),
        "9ea6617070656e64a161a16207050604c2009296070601c40178a1730396070700c400a00000c400c009",
    ),
    (
        AppendEntriesResponse("b", "a", 7, success=True, index=7, read_round=9),
        "9ead617070656e642d616e73776572a162a16107070000c3009000c400c009",
    ),
    (
        AppendEntriesResponse("b", "a", 7, index=5, conflict_index=2, conflict_term=3, read_round=9),
        "9ead617070656e642d616e73776572a162a16107050300c2029000c400c009",
    ),
    (
        InstallSnapshot(
            "a", "b", 7, 5, 6, leader_commit=4, total_bytes=10, offset=2, data=b"yz", membership=MEMBERSHIP
        ),
        "9ea8736e617073686f74a161a16207050604c20a9002c402797a9292a161a16291a16300",
    ),
    (
        InstallSnapshotResponse("b", "a", 7, 5, offset=4),
        "9eaf736e617073686f742d616e73776572a162a16107050000c2009004c400c000",
    ),
    (
        InstallSnapshotResponse("b", "a", 7, 5, installed=True),
        "9eaf736e617073686f742d616e73776572a162a16107050000c3009000c400c000",
    ),
    (TimeoutNow("a", "b", 7), "9ea774696d656f7574a161a16207000000c2009000c400c000"),
]
RECORDS = [(ENTRY, "0000000bb776e1730196070601c40178a17303"), (Truncation(6), "00000002761e28400206")]
CHECKSUMMED_VALUES = [
    (HardState(3, "b"), "0ec529c79203a162"),
    (HardState(), "6be5c2909200c0"),
    (Identity("grp", "g1"), "241f65e692a3677270a26731"),
    (Snapshot(6, 5, MEMBERSHIP, b"state"), "e1af2ecf9406059292a161a16291a163c4057374617465"),
]


@pytest.mark.parametrize(("message", "wire"), MESSAGES)
def test_message_is_encoded_to_and_decoded_from_these_bytes(message: Message, wire: str) -> None:
    assert encode_message(message).hex() == wire
    assert decode_message(bytes.fromhex(wire)) == message


def test_every_kind_of_message_is_covered() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(WIRE_KINDS)


@pytest.mark.parametrize("wire", ["", "9e", "80", "9ea3666f6fa161a16207050600c2019000c400c000", "9401a161a16207"])
def test_invalid_message_raises_a_decode_error(wire: str) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_message(bytes.fromhex(wire))


@pytest.mark.parametrize(("record", "stored"), RECORDS)
def test_record_is_encoded_to_and_decoded_from_these_bytes(record: Entry | Truncation, stored: str) -> None:
    assert encode_record(record).hex() == stored
    assert decode_segment(bytes.fromhex(stored), "log-00000001.raft", newest=False).records == [record]


@pytest.mark.parametrize(("value", "stored"), CHECKSUMMED_VALUES)
def test_checksummed_value_is_encoded_to_and_decoded_from_these_bytes(value: object, stored: str) -> None:
    assert encode_checksummed(value).hex() == stored
    assert decode_checksummed(bytes.fromhex(stored), type(value), "file") == value
