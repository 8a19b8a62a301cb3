"""Bytes on every wire are those of commit 6837705: each kind of frame, each message of Raft, what peers are told."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from exchange import play
from plain import native, plain, saved
from raft_messages import message_of, places

from pebblehinge.raft.codec import decode_message, encode_message
from pebblehinge.wire import FrameDecoder, Kind, Session, WireError, encode


def check_frame(row: dict[str, Any]) -> None:
    """Reads the saved bytes, compares their values, writes the values and compares the bytes."""
    frames = FrameDecoder(1 << 20)
    frames.feed(bytes.fromhex(row["bytes"]))
    frame = frames.next()
    assert frame is not None
    assert (int(frame[0]), plain(frame[1])) == (row["kind"], row["values"])
    assert encode(Kind(row["kind"]), *native(row["values"])).hex() == row["bytes"]
    frames.feed(encode(Kind(row["kind"]), *([None] * len(row["values"]))))
    with pytest.raises(WireError) as refused:
        frames.next()
    assert str(refused.value) == row["refused"]


def check_message(row: dict[str, Any]) -> None:
    """The same for a message between members of a group."""
    data = bytes.fromhex(row["bytes"])
    message = decode_message(data)
    assert places(message)[: len(row["values"])] == row["values"]
    assert encode_message(message) == data
    built = message_of(row["values"])
    assert built == message
    assert encode_message(built) == data


def test_every_kind_of_frame_has_the_bytes_and_values_of_before() -> None:
    rows = saved("frames")["frames"]
    assert sorted({row["kind"] for row in rows}) == sorted(int(kind) for kind in Kind)
    for row in rows:
        check_frame(row)


def test_the_greeting_and_what_comes_too_early_are_answered_as_before() -> None:
    expected = saved("frames")
    assert Session("client", "c-1", 1 << 20, 64, dialed=True).encode_greeting().hex() == expected["opening"]
    session = Session("head", "h1", 4096, 8, dialed=False)
    session.feed(encode(Kind.PING, 1))
    with pytest.raises(WireError) as refused:
        session.next()
    assert str(refused.value) == expected["before_greeting"]


def test_every_kind_of_message_between_members_has_the_bytes_and_values_of_before() -> None:
    for row in saved("raft")["kinds"]:
        check_message(row)


def test_a_group_sends_the_same_bytes_in_the_same_order(tmp_path: Path) -> None:
    expected = saved("raft")
    group = play(tmp_path)
    assert [data.hex() for data in group.sent] == expected["sent"]
    assert plain(group.members["a"].reads) == expected["reads"]
    kinds = {msgspec.msgpack.decode(data)[0] for data in group.sent}
    assert kinds == {row["values"][0] for row in expected["kinds"]}


def changed(value: Any) -> Any:
    """Another value of the same type."""
    if isinstance(value, bool):
        return not value
    if isinstance(value, int | float):
        return value + 1
    if isinstance(value, str):
        return value + "x"
    if isinstance(value, list):
        return [changed(value[0]), *value[1:]] if value else value
    if isinstance(value, dict) and value:
        first = next(iter(value))
        return {**value, first: value[first] + "00" if first == "hex" else changed(value[first])}
    return value


def test_the_checks_fail_on_any_changed_value_byte_or_word() -> None:
    for rows, check in ((saved("frames")["frames"], check_frame), (saved("raft")["kinds"], check_message)):
        for row in rows:
            for place, value in enumerate(row["values"]):
                other = changed(value)
                if other != value:
                    with pytest.raises((AssertionError, ValueError)):
                        check({**row, "values": [*row["values"][:place], other, *row["values"][place + 1 :]]})
            last = int(row["bytes"][-2:], 16) ^ 1
            with pytest.raises((AssertionError, ValueError, WireError, msgspec.MsgspecError)):
                check({**row, "bytes": row["bytes"][:-2] + f"{last:02x}"})
    row = saved("frames")["frames"][0]
    with pytest.raises(AssertionError):
        check_frame({**row, "refused": row["refused"].replace("HELLO", "GREETING")})
