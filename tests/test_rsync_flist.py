"""The bytes and the order of rsync's file lists, by hand, as the published protocol says.

Each vector says why it is so; none was made by the code that it tests.
"""

from __future__ import annotations

import stat

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rsync_fuzz import drive, stream_of

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.flist import ListedFile, ListFormat, sort_entries
from pebblehinge.rsync.flist_reader import FileListReader
from pebblehinge.rsync.flist_writer import FileListWriter
from pebblehinge.rsync.tree import normalize_path


def test_a_list_of_one_file() -> None:
    """Version 31: flags 01 (nothing to say, but 0 would end the list), length and name, size in three bytes, time in
    four, mode 0100644; then 0. Version 27: plain numbers, and an error count after the end."""
    one_file = ListedFile(b"a", 3, 1_700_000_000, 0o100644)
    out = FileListWriter(ListFormat(31))
    assert out.encode(one_file) + out.encode_end() == bytes.fromhex("01 01 61 00 03 00 65 00 f1 53 a4 81 00 00 00")
    out = FileListWriter(ListFormat(27))
    assert out.encode(one_file) + out.encode_end() == bytes.fromhex("01 01 61 03000000 00f15365 a4810000 00 00000000")


def test_a_second_file_says_what_differs() -> None:
    """Same mode (02), same time (80) and one byte of the name in common (20): flags a2, 1, then one byte `c`."""
    out = FileListWriter(ListFormat(31))
    out.encode(ListedFile(b"ab", 3, 1_700_000_000, 0o100644))
    raw = out.encode(ListedFile(b"ac", 70_000, 1_700_000_000, 0o100644))
    assert raw == bytes.fromhex("a2 01 01 63 01 70 11")


PART = st.binary(min_size=1, max_size=6).filter(lambda n: not {47, 0} & set(n) and n not in (b".", b".."))
NAMES = st.lists(PART, min_size=1, max_size=3).map(b"/".join)
MODES = st.sampled_from([0o100644, 0o40755, 0o120777])
ROWS = st.lists(st.tuples(NAMES, st.integers(0, 2**40), st.integers(0, 2**31 - 1), MODES), max_size=12)


@settings(deadline=None)
@given(ROWS, st.integers(27, 31), st.booleans(), st.booleans())
def test_lists_come_back(rows: list[tuple[bytes, int, int, int]], version: int, varints: bool, owners: bool) -> None:
    shape = ListFormat(version, owners, owners, True, digest_bytes=16, varint_flags=varints and version >= 30)
    entries = [
        ListedFile(n, s, t, m, b"d" * 16 * (stat.S_ISREG(m) or version < 28), b"to" * stat.S_ISLNK(m))
        for n, s, t, m in rows
    ]
    out = FileListWriter(shape)
    raw = b"".join(out.encode(e) for e in entries) + out.encode_end(3)
    reading = FileListReader(shape, 100)
    assert drive(reading.read(stream_of(raw))) == entries
    assert reading.error == (3 if version < 30 or shape.varint_flags else 0)


def test_the_order_of_a_list() -> None:
    """From 29 on a directory's files come first, then its directories with all in them; `b-x` before `b`, since a
    directory's name ends in its slash. Before, names are plain strings."""
    names = [(b".", 1), (b"b", 1), (b"b/z", 0), (b"b-x", 1), (b"b-x/y", 0), (b"c", 0), (b"b/a", 1), (b"b/a/q", 0)]
    entries = [ListedFile(n, mode=0o40755 if d else 0o100644) for n, d in names]
    assert [e.name for e in sort_entries(31, entries)] == [b".", b"c", b"b-x", b"b-x/y", b"b", b"b/z", b"b/a", b"b/a/q"]
    assert [e.name for e in sort_entries(27, entries)] == sorted(n for n, _ in names)
    twice = sort_entries(31, [ListedFile(b"x"), ListedFile(b"x", 5), ListedFile(b"y")])
    assert [(e.name, e.index) for e in twice] == [(b"x", 0), (b"y", 2)]  # the second one's index stays taken


@pytest.mark.parametrize("name", [b"../x", b"/etc/x", b"a/../b", b"a//b", b"./a", b"a/."])
def test_names_that_leave_the_top_are_refused(name: bytes) -> None:
    out = FileListWriter(ListFormat(31))
    with pytest.raises(RsyncError, match="a file named"):
        drive(FileListReader(ListFormat(31), 9).read(stream_of(out.encode(ListedFile(name)) + out.encode_end())))
    if b".." in name:
        with pytest.raises(RsyncError, match="no part of a path"):
            normalize_path(name)


def test_a_list_that_is_too_long_is_refused_before_it_is_held() -> None:
    out = FileListWriter(ListFormat(31))
    raw = b"".join(out.encode(ListedFile(b"f%d" % n)) for n in range(11))
    with pytest.raises(RsyncError, match="more than 10 files"):
        drive(FileListReader(ListFormat(31), 10).read(stream_of(raw)))
