"""The rsync protocol's bytes, by hand: what our two ends agree on must also be what the published protocol says.

Each vector says why it is so; none was made by the code that it tests.
"""

from __future__ import annotations

import base64
import hashlib
import os
import random
import stat
import zlib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rsync_fuzz import drive, one, stream_of

from pebblehinge.rsync.delta import Search
from pebblehinge.rsync.digests import Digest, login, login_digest
from pebblehinge.rsync.filters import Filters, packed_filters, read_filters
from pebblehinge.rsync.flist import Named, Shape, arranged
from pebblehinge.rsync.flist_reader import ListIn
from pebblehinge.rsync.flist_writer import ListOut
from pebblehinge.rsync.greeting import chosen, hello, read_hello
from pebblehinge.rsync.numbers import (
    DONE,
    IndexIn,
    IndexOut,
    longint,
    read_longint,
    read_varint,
    read_varlong,
    read_vstring,
    varint,
    varlong,
    vstring,
)
from pebblehinge.rsync.options import parse
from pebblehinge.rsync.rolling_checksum import weak, weak_everywhere
from pebblehinge.rsync.stream import ERROR_XFER, RsyncError, Stream
from pebblehinge.rsync.sums import Summing, block_length, read_sums, strong_length
from pebblehinge.rsync.tokens import DeflatedIn, DeflatedOut, PlainIn, PlainOut
from pebblehinge.rsync.tree import Entry, Folder, clean, packed

# ---- numbers


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
    out = IndexOut(30)
    raw = out(0) + out(1) + out(300) + out(5) + out(DONE) + out(6)
    assert raw == bytes.fromhex("01 01 fe 01 2b fe 80 05 00 00 00 01")
    read, stream = IndexIn(30), stream_of(raw)
    assert [drive(read(stream)) for _ in range(6)] == [0, 1, 300, 5, DONE, 6]
    assert IndexOut(29)(DONE) == b"\xff\xff\xff\xff" and IndexOut(29)(7) == bytes.fromhex("07 00 00 00")


@given(st.integers(-(2**31), 2**31 - 1), st.integers(0, 2**62), st.integers(3, 4))
def test_numbers_come_back(small: int, large: int, least: int) -> None:
    assert drive(read_varint(stream_of(varint(small)))) == small
    assert drive(read_varlong(stream_of(varlong(large, least)), least)) == large


@given(st.lists(st.integers(-1, 2**30), max_size=30).map(lambda xs: [x for x in xs if x >= -1]))
def test_indexes_come_back(indexes: list[int]) -> None:
    for version in (29, 30):
        out, read = IndexOut(version), IndexIn(version)
        stream = stream_of(b"".join(out(i) for i in indexes))
        assert [drive(read(stream)) for _ in indexes] == indexes


# ---- greeting


def test_greetings() -> None:
    assert hello(31) == b"@RSYNCD: 31.0 sha512 sha256 sha1 md5 md4\n"
    assert hello(29) == b"@RSYNCD: 29\n"
    assert read_hello(b"@RSYNCD: 31.0 md5 md4").digests == ["md5", "md4"]
    assert read_hello(b"@RSYNCD: 32.0").version == 31 and read_hello(b"@RSYNCD: 27").version == 27
    assert read_hello(b"@RSYNCD: 31.14").version == 30  # an unfinished 31
    for bad in (b"HELO", b"@RSYNCD: ", b"@RSYNCD: x.0", b"@RSYNCD: 26", b"@RSYNCD: 99999999999.0"):
        with pytest.raises(RsyncError):
            read_hello(bad)


def test_login_answers() -> None:
    """base64 without padding, of the sum over secret and challenge; the sums by other programs."""
    # printf secretchallenge | md5sum
    raw = bytes.fromhex(hashlib.md5(b"secretchallenge").hexdigest())
    assert login("md5", b"secret", b"challenge", 30) == base64.b64encode(raw).rstrip(b"=")
    # RFC 1320: MD4("abc") = a448017aaf21d8525fc10ae87aa6729d, in base64 pEgBeq8h2FJfwQroeqZynQ
    assert login("md4", b"a", b"bc", 30) == b"pEgBeq8h2FJfwQroeqZynQ"
    assert login("md4", b"a", b"bc", 29) != login("md4", b"a", b"bc", 30)  # four zeros stand in front before 30
    assert login_digest(31, ["sha256", "md5"]) == "sha256" and login_digest(30, None) == "md5"
    assert login_digest(29, None) == "md4" and login_digest(31, ["unheard"]) == "md5"
    assert chosen(("md5", "md4"), ["xxh64", "md4", "md5"]) == "md4"  # the client's order


# ---- sums


def test_strong_sums() -> None:
    assert Digest("md4", 0, 30, True).whole().digest().hex() == "31d6cfe0d16ae931b73c59d7e0c089c0"  # RFC 1320, ""
    assert Digest("md5", 0, 30, True).whole().digest().hex() == "d41d8cd98f00b204e9800998ecf8427e"  # RFC 1321, ""
    # XXH64("") is ef46db3751d8e999; its bytes go out with the lowest first.
    assert Digest("xxh64", 0, 31, True).whole().digest().hex() == "99e9d85137db46ef"
    seed = b"\x04\x03\x02\x01"
    assert Digest("md5", 0x01020304, 31, True).block(b"x") == hashlib.md5(seed + b"x").digest()
    assert Digest("md5", 0x01020304, 31, False).block(b"x") == hashlib.md5(b"x" + seed).digest()


def test_rolling_sums() -> None:
    assert weak(b"\x01\x02\x03") == 0x000A0006  # 1+2+3, and 3*1 + 2*2 + 1*3
    assert weak(b"\xff") == 0xFFFFFFFF  # bytes are signed: -1 and -1


@given(st.binary(min_size=1, max_size=300), st.integers(1, 40))
def test_rolling_sums_everywhere_are_those_of_each_block(data: bytes, block: int) -> None:
    block = min(block, len(data))
    assert list(weak_everywhere(data, block)) == [weak(data[i : i + block]) for i in range(len(data) - block + 1)]


def test_block_sizes() -> None:
    assert block_length(100) == 700 and block_length(700 * 700) == 700
    assert block_length(100 << 20) == 10240 and block_length(1 << 40) == 1 << 17
    assert strong_length(1000, 700, 16, False) == 2 and strong_length(1000, 700, 16, True) == 16
    # 10 + 2 * 26 bits of length, less 13 of the block's: 49; what the rolling sum's 32 leave, in whole bytes.
    assert strong_length(100 << 20, 10240, 16, False) == 3


def delta(old: bytes, new: bytes, block: int, cuts: list[int]) -> tuple[bytes, int]:
    """What a receiver makes of a sender's tokens; and the literal bytes."""
    digest = Digest("xxh64", 9, 31, True)
    summing = Summing(len(old), digest, block=block)
    summing.feed(old)
    sums = drive(read_sums(stream_of(summing.done().packed()), digest))
    search, out, at = Search(sums, digest), b"", 0
    pieces = [new[a:b] for a, b in zip([0, *cuts], [*cuts, len(new)], strict=True)]
    for piece in (*pieces, None):
        for token in search.end() if piece is None else search.feed(piece):
            at = token * block if isinstance(token, int) else at
            out += token if isinstance(token, bytes) else old[at : at + sums.length(token)]
    return out, search.literal


@settings(deadline=None)
@given(st.data())
def test_a_delta_makes_the_new_file(data: st.DataObject) -> None:
    old = data.draw(st.binary(max_size=400))
    part = st.one_of(st.binary(max_size=30), st.tuples(st.integers(0, 400), st.integers(0, 200)))
    parts = data.draw(st.lists(part, max_size=6))
    new = b"".join(p if isinstance(p, bytes) else old[p[0] : p[0] + p[1]] for p in parts)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(new)), max_size=3)))
    made, literal = delta(old, new, data.draw(st.integers(1, 50)), cuts)
    assert made == new and literal <= len(new)


def test_a_delta_sends_little_of_a_file_that_changed_little() -> None:
    rng = random.Random(3)
    old = rng.randbytes(600_000)
    new = old[:100_000] + b"inserted" + old[100_000:400_000] + old[400_100:]
    made, literal = delta(old, new, 704, [300_000])
    assert made == new and literal < 3 * 704
    zeros = bytes(200_000)
    made, literal = delta(zeros, zeros[:-5], 704, [])
    assert made == zeros[:-5] and literal < 704


# ---- tokens


def test_plain_tokens() -> None:
    out = PlainOut()
    raw = out.literal(b"hi") + out.match(0) + out.end()
    assert raw == bytes.fromhex("02000000 6869 ffffffff 00000000")


def test_deflated_tokens() -> None:
    """Blocks 0 to 2 are a run from 0 on with two more; 10 is eight after the last; then the end."""
    out = DeflatedOut()
    raw = b"".join(out.match(n) for n in (0, 1, 2, 10)) + out.end()
    assert raw == bytes.fromhex("c0 0200 88 00")
    out = DeflatedOut()
    raw = out.literal(b"hello hello hello") + out.match(100) + out.end()
    length = (raw[0] & 0x3F) << 8 | raw[1]
    assert raw[0] & 0xC0 == 0x40  # deflated bytes
    assert zlib.decompressobj(-15).decompress(raw[2 : 2 + length] + b"\0\0\xff\xff") == b"hello hello hello"
    assert raw[2 + length :] == bytes.fromhex("20 64000000 00")  # 100 is too far for six bits


@settings(deadline=None)
@given(st.lists(st.one_of(st.binary(min_size=1, max_size=40000), st.integers(0, 200_000)), max_size=12), st.booleans())
def test_tokens_come_back(tokens: list[bytes | int], deflated: bool) -> None:
    out = DeflatedOut() if deflated else PlainOut()
    raw = b"".join(out.literal(t) if isinstance(t, bytes) else out.match(t) for t in tokens) + out.end()
    read, stream = DeflatedIn() if deflated else PlainIn(), stream_of(raw)
    got: list[bytes | int] = []
    while (token := drive(read.next(stream))) is not None:
        if isinstance(token, bytes) and got and isinstance(got[-1], bytes):
            got[-1] += token
        else:
            got.append(token)
    wanted: list[bytes | int] = []
    for token in tokens:
        if isinstance(token, bytes) and wanted and isinstance(wanted[-1], bytes):
            wanted[-1] += token
        else:
            wanted.append(token)
    assert got == wanted


def test_a_bomb_is_given_out_in_bounded_pieces() -> None:
    packer = zlib.compressobj(9, zlib.DEFLATED, -15)
    packed_ = packer.compress(bytes(8 << 20)) + packer.flush(zlib.Z_SYNC_FLUSH)
    raw = bytes([0x40 | len(packed_) >> 8, len(packed_) & 0xFF]) + packed_
    read, stream = DeflatedIn(), stream_of(raw)
    assert len(raw) < 10_000 and len(drive(read.next(stream))) <= 1 << 15


# ---- file lists


def test_a_list_of_one_file() -> None:
    """Version 31: flags 01 (nothing to say, but 0 would end the list), length and name, size in three bytes, time in
    four, mode 0100644; then 0. Version 27: plain numbers, and an error count after the end."""
    one_file = Named(b"a", 3, 1_700_000_000, 0o100644)
    out = ListOut(Shape(31))
    assert out.entry(one_file) + out.end() == bytes.fromhex("01 01 61 00 03 00 65 00 f1 53 a4 81 00 00 00")
    out = ListOut(Shape(27))
    assert out.entry(one_file) + out.end() == bytes.fromhex(
        "01 01 61 03000000 00f15365 a4810000 00 00000000"
    )


def test_a_second_file_says_what_differs() -> None:
    """Same mode (02), same time (80) and one byte of the name in common (20): flags a2, 1, then one byte `c`."""
    out = ListOut(Shape(31))
    out.entry(Named(b"ab", 3, 1_700_000_000, 0o100644))
    raw = out.entry(Named(b"ac", 70_000, 1_700_000_000, 0o100644))
    assert raw == bytes.fromhex("a2 01 01 63 01 70 11")


PART = st.binary(min_size=1, max_size=6).filter(lambda n: not {47, 0} & set(n) and n not in (b".", b".."))
NAMES = st.lists(PART, min_size=1, max_size=3).map(b"/".join)
MODES = st.sampled_from([0o100644, 0o40755, 0o120777])
ROWS = st.lists(st.tuples(NAMES, st.integers(0, 2**40), st.integers(0, 2**31 - 1), MODES), max_size=12)


@settings(deadline=None)
@given(ROWS, st.integers(27, 31), st.booleans(), st.booleans())
def test_lists_come_back(rows: list[tuple[bytes, int, int, int]], version: int, varints: bool, owners: bool) -> None:
    shape = Shape(version, owners, owners, True, checksum=16, varint_flags=varints and version >= 30)
    entries = [
        Named(n, s, t, m, b"d" * 16 * (stat.S_ISREG(m) or version < 28), b"to" * stat.S_ISLNK(m)) for n, s, t, m in rows
    ]
    out = ListOut(shape)
    raw = b"".join(out.entry(e) for e in entries) + out.end(3)
    reading = ListIn(shape, 100)
    assert drive(reading.read(stream_of(raw))) == entries
    assert reading.error == (3 if version < 30 or shape.varint_flags else 0)


def test_the_order_of_a_list() -> None:
    """From 29 on a directory's files come first, then its directories with all in them; `b-x` before `b`, since a
    directory's name ends in its slash. Before, names are plain strings."""
    names = [(b".", 1), (b"b", 1), (b"b/z", 0), (b"b-x", 1), (b"b-x/y", 0), (b"c", 0), (b"b/a", 1), (b"b/a/q", 0)]
    entries = [Named(n, mode=0o40755 if d else 0o100644) for n, d in names]
    assert [e.name for e in arranged(31, entries)] == [b".", b"c", b"b-x", b"b-x/y", b"b", b"b/z", b"b/a", b"b/a/q"]
    assert [e.name for e in arranged(27, entries)] == sorted(n for n, _ in names)
    twice = arranged(31, [Named(b"x"), Named(b"x", 5), Named(b"y")])
    assert [(e.name, e.index) for e in twice] == [(b"x", 0), (b"y", 2)]  # the second one's index stays taken


@pytest.mark.parametrize("name", [b"../x", b"/etc/x", b"a/../b", b"a//b", b"./a", b"a/."])
def test_names_that_leave_the_top_are_refused(name: bytes) -> None:
    out = ListOut(Shape(31))
    with pytest.raises(RsyncError, match="a file named"):
        drive(ListIn(Shape(31), 9).read(stream_of(out.entry(Named(name)) + out.end())))
    if b".." in name:
        with pytest.raises(RsyncError, match="no part of a path"):
            clean(name)


def test_a_list_that_is_too_long_is_refused_before_it_is_held() -> None:
    out = ListOut(Shape(31))
    raw = b"".join(out.entry(Named(b"f%d" % n)) for n in range(11))
    with pytest.raises(RsyncError, match="more than 10 files"):
        drive(ListIn(Shape(31), 10).read(stream_of(raw)))


# ---- frames, filters, options


def test_frames() -> None:
    sent: list[bytes] = []
    stream = Stream(None, sent.append, None, None)  # type: ignore[arg-type]
    stream.start_frames_out()
    stream.put(b"abc")
    stream.message(ERROR_XFER, b"no\n")
    assert b"".join(sent) == bytes.fromhex("03000007 616263 03000008") + b"no\n"
    heard: list[tuple[int, bytes]] = []
    back = stream_of(b"".join(sent) + bytes.fromhex("00000007 02000007") + b"de", framed=True)
    back.on_message = lambda tag, data: heard.append((tag, data))
    assert drive(back.take(5)) == b"abcde" and heard == [(ERROR_XFER, b"no\n")]


@pytest.mark.parametrize(
    "rules, taken, left",
    [
        ([b"- *.tmp"], [b"a.txt", b"tmp"], [b"a.tmp", b"d/b.tmp"]),
        ([b"- /top"], [b"d/top"], [b"top"]),
        ([b"+ keep.tmp", b"- *.tmp"], [b"keep.tmp"], [b"x.tmp"]),
        ([b"- d/*.c"], [b"d/e/x.c", b"x.c"], [b"d/x.c", b"e/d/x.c"]),
        ([b"- d/**"], [b"d"], [b"d/x", b"d/e/x.c"]),
        ([b"- [a-c]?"], [b"d1", b"a"], [b"a1", b"c2"]),
        ([b"- a", b"!", b"- b"], [b"a"], [b"b"]),
        ([b"bare"], [b"b"], [b"bare"]),
    ],
)
def test_filters(rules: list[bytes], taken: list[bytes], left: list[bytes]) -> None:
    filters = drive(read_filters(stream_of(packed_filters(rules))))
    assert all(filters.takes(n, False) for n in taken) and not any(filters.takes(n, False) for n in left)


def test_filters_that_end_in_a_slash_fit_directories() -> None:
    filters = Filters([b"- build/"])
    assert filters.takes(b"build", False) and not filters.takes(b"x/build", True)


def test_options() -> None:
    o = parse([b"--server", b"--sender", b"-vlogDtprze.iLsfxCIvu", b"--timeout=30", b".", b"m/a", b"m/b"])
    assert o.sender and o.recursive and o.compress and o.able == "iLsfxCIvu" and o.timeout == 30
    assert o.paths == [b"m/a", b"m/b"]
    for words, why in [
        (["-rU"], "access times"), (["-N"], "creation times"),
        (["-vH"], "hard links"), (["--files-from=-"], "--files-from"), (["-ve"], "capabilities"),
        (["--old-compress"], "zlibx"), (["--compress-choice=zstd"], "zstd"), (["-L"], "links are not followed"),
        (["--max-delete=x"], "whole number"),
    ]:  # fmt: skip
        with pytest.raises(RsyncError, match=why):
            parse([b"--server", *(w.encode() for w in words), b".", b"m/"])


# ---- records


def test_a_folders_log_in_any_pieces_and_damaged() -> None:
    entries = [Entry("f", b"a", 1, data=b"x", label="1"), Entry("d", b"b", label="2"), Entry("x", b"a", label="3")]
    raw = b"".join(map(packed, entries))
    for size in (1, 7, len(raw)):
        folder = Folder()
        for at in range(0, len(raw), size):
            folder.feed(raw[at : at + size])
        assert list(folder.entries) == [b"b"] and folder.end == len(raw) and all(folder.has(x) for x in "123")
    for at in range(8, len(packed(entries[0]))):
        hurt = bytearray(raw)
        hurt[at] ^= 4
        with pytest.raises(RsyncError, match="damaged at byte 0"):
            Folder().feed(bytes(hurt))


# ---- any bytes


@settings(max_examples=600, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_are_refused_or_understood(data: bytes) -> None:
    one(data)


def test_what_was_found_by_long_fuzzing_stays_sound() -> None:
    files = sorted((Path(__file__).parent / "rsync_corpus").iterdir())
    assert len(files) > 20 and sum(os.path.getsize(f) for f in files) < 1 << 20
    for file in files:
        one(file.read_bytes())


