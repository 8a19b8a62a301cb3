"""The numbers, strings and file indexes of rsync's wire, by hand, as the published protocol says.

Each vector says why it is so; none was made by the code that it tests.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rsync_fuzz import drive, stream_of

from pebblehinge.rsync.numbers import (
    DONE,
    FileIndexReader,
    FileIndexWriter,
    longint,
    read_longint,
    read_varint,
    read_varlong,
    read_vstring,
    varint,
    varlong,
    vstring,
)


@pytest.mark.parametrize(
    "value, raw",
    [
        (0, "00"),  # below 128: itself
        (0x7F, "7f"),
        (0x80, "80 80"),  # one leading 1: one byte follows; no room for bit 7 beside it
        (0x3FFF, "bf ff"),  # 10 and six bits, then the low byte
        (0x4000, "c0 00 40"),  # 110: two follow, lowest first
        (0x1FFFFF, "df ff ff"),
        (-1, "f0 ff ff ff ff"),  # 32 bits: 11110000 and all four
    ],
)
def test_variable_numbers(value: int, raw: str) -> None:
    assert varint(value) == bytes.fromhex(raw)
    assert drive(read_varint(stream_of(bytes.fromhex(raw)))) == value


@pytest.mark.parametrize(
    "value, least, raw",
    [
        (0, 3, "00 00 00"),  # three bytes at least, the highest first, then the others from the lowest on
        (1, 3, "00 01 00"),
        (0x123456, 3, "12 56 34"),
        (0x800000, 3, "80 00 00 80"),  # bit 23 has no room in the first byte
        (1 << 32, 3, "c1 00 00 00 00"),  # past 4 GiB: 110 says two more than three, 00001 are bits 32 to 36
        (8 << 30, 3, "c2 00 00 00 00"),
        (1_700_000_000, 4, "65 00 f1 53"),  # 0x6553f100
    ],
)
def test_variable_long_numbers(value: int, least: int, raw: str) -> None:
    assert varlong(value, least) == bytes.fromhex(raw)
    assert drive(read_varlong(stream_of(bytes.fromhex(raw)), least)) == value


def test_long_numbers_of_older_versions() -> None:
    assert longint(5) == bytes.fromhex("05 00 00 00")
    assert longint(1 << 32) == bytes.fromhex("ff ff ff ff 00 00 00 00 01 00 00 00")
    assert drive(read_longint(stream_of(longint(1 << 32)))) == 1 << 32


def test_strings_with_their_length() -> None:
    assert vstring(b"md5") == b"\x03md5"
    assert vstring(b"x" * 200)[:2] == bytes.fromhex("80 c8")  # bit 7 says that the length has a second byte
    assert drive(read_vstring(stream_of(vstring(b"x" * 300)))) == b"x" * 300


def test_file_indexes() -> None:
    """Differences from version 30 on: 0 -> 1 after -1; 300 is 299 on; 5 is back, so whole with the highest bit set."""
    out = FileIndexWriter(30)
    raw = out(0) + out(1) + out(300) + out(5) + out(DONE) + out(6)
    assert raw == bytes.fromhex("01 01 fe 01 2b fe 80 05 00 00 00 01")
    read, stream = FileIndexReader(30), stream_of(raw)
    assert [drive(read(stream)) for _ in range(6)] == [0, 1, 300, 5, DONE, 6]
    assert FileIndexWriter(29)(DONE) == b"\xff\xff\xff\xff" and FileIndexWriter(29)(7) == bytes.fromhex("07 00 00 00")


@given(st.integers(-(2**31), 2**31 - 1), st.integers(0, 2**62), st.integers(3, 4))
def test_numbers_come_back(small: int, large: int, least: int) -> None:
    assert drive(read_varint(stream_of(varint(small)))) == small
    assert drive(read_varlong(stream_of(varlong(large, least)), least)) == large


@given(st.lists(st.integers(-1, 2**30), max_size=30).map(lambda xs: [x for x in xs if x >= -1]))
def test_indexes_come_back(indexes: list[int]) -> None:
    for version in (29, 30):
        out, read = FileIndexWriter(version), FileIndexReader(version)
        stream = stream_of(b"".join(out(i) for i in indexes))
        assert [drive(read(stream)) for _ in indexes] == indexes
