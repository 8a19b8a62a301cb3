"""Checksums, the delta search and the token streams of rsync, by hand, as the published protocol says.

Each vector says why it is so; none was made by the code that it tests.
"""

from __future__ import annotations

import hashlib
import random
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from rsync_fuzz import drive, stream_of

from pebblehinge.rsync.block_checksums import BlockChecksumBuilder, block_length, read_block_checksums, strong_length
from pebblehinge.rsync.delta import BlockSearch
from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.rolling_checksum import rolling_checksum, rolling_checksums_at_offsets
from pebblehinge.rsync.tokens import DeflatedTokenReader, DeflatedTokenWriter, PlainTokenReader, PlainTokenWriter


def test_strong_sums() -> None:
    assert Digest("md4", 0, 30, True).whole().digest().hex() == "31d6cfe0d16ae931b73c59d7e0c089c0"  # RFC 1320, ""
    assert Digest("md5", 0, 30, True).whole().digest().hex() == "d41d8cd98f00b204e9800998ecf8427e"  # RFC 1321, ""
    # XXH64("") is ef46db3751d8e999; its bytes go out with the lowest first.
    assert Digest("xxh64", 0, 31, True).whole().digest().hex() == "99e9d85137db46ef"
    seed = b"\x04\x03\x02\x01"
    assert Digest("md5", 0x01020304, 31, True).block(b"x") == hashlib.md5(seed + b"x").digest()
    assert Digest("md5", 0x01020304, 31, False).block(b"x") == hashlib.md5(b"x" + seed).digest()


def test_rolling_sums() -> None:
    assert rolling_checksum(b"\x01\x02\x03") == 0x000A0006  # 1+2+3, and 3*1 + 2*2 + 1*3
    assert rolling_checksum(b"\xff") == 0xFFFFFFFF  # bytes are signed: -1 and -1


@given(st.binary(min_size=1, max_size=300), st.integers(1, 40))
def test_rolling_sums_everywhere_are_those_of_each_block(data: bytes, block: int) -> None:
    block = min(block, len(data))
    assert list(rolling_checksums_at_offsets(data, block)) == [
        rolling_checksum(data[i : i + block]) for i in range(len(data) - block + 1)
    ]


def test_block_sizes() -> None:
    assert block_length(100) == 700 and block_length(700 * 700) == 700
    assert block_length(100 << 20) == 10240 and block_length(1 << 40) == 1 << 17
    assert strong_length(1000, 700, 16, False) == 2 and strong_length(1000, 700, 16, True) == 16
    # 10 + 2 * 26 bits of length, less 13 of the block's: 49; what the rolling sum's 32 leave, in whole bytes.
    assert strong_length(100 << 20, 10240, 16, False) == 3


def delta(old: bytes, new: bytes, block: int, cuts: list[int]) -> tuple[bytes, int]:
    """What a receiver makes of a sender's tokens; and the literal bytes."""
    digest = Digest("xxh64", 9, 31, True)
    summing = BlockChecksumBuilder(len(old), digest, block=block)
    summing.feed(old)
    sums = drive(read_block_checksums(stream_of(summing.finish().encode())))
    search, out, at = BlockSearch(sums, digest), b"", 0
    pieces = [new[a:b] for a, b in zip([0, *cuts], [*cuts, len(new)], strict=True)]
    for piece in (*pieces, None):
        for token in search.end() if piece is None else search.feed(piece):
            at = token * block if isinstance(token, int) else at
            out += token if isinstance(token, bytes) else old[at : at + sums.length(token)]
    return out, search.literal_bytes


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


def test_plain_tokens() -> None:
    out = PlainTokenWriter()
    raw = out.literal(b"hi") + out.match(0) + out.end()
    assert raw == bytes.fromhex("02000000 6869 ffffffff 00000000")


def test_deflated_tokens() -> None:
    """Blocks 0 to 2 are a run from 0 on with two more; 10 is eight after the last; then the end."""
    out = DeflatedTokenWriter()
    raw = b"".join(out.match(n) for n in (0, 1, 2, 10)) + out.end()
    assert raw == bytes.fromhex("c0 0200 88 00")
    out = DeflatedTokenWriter()
    raw = out.literal(b"hello hello hello") + out.match(100) + out.end()
    length = (raw[0] & 0x3F) << 8 | raw[1]
    assert raw[0] & 0xC0 == 0x40  # deflated bytes
    assert zlib.decompressobj(-15).decompress(raw[2 : 2 + length] + b"\0\0\xff\xff") == b"hello hello hello"
    assert raw[2 + length :] == bytes.fromhex("20 64000000 00")  # 100 is too far for six bits


@settings(deadline=None)
@given(st.lists(st.one_of(st.binary(min_size=1, max_size=40000), st.integers(0, 200_000)), max_size=12), st.booleans())
def test_tokens_come_back(tokens: list[bytes | int], deflated: bool) -> None:
    out = DeflatedTokenWriter() if deflated else PlainTokenWriter()
    raw = b"".join(out.literal(t) if isinstance(t, bytes) else out.match(t) for t in tokens) + out.end()
    read, stream = DeflatedTokenReader() if deflated else PlainTokenReader(), stream_of(raw)
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
    read, stream = DeflatedTokenReader(), stream_of(raw)
    assert len(raw) < 10_000 and len(drive(read.next(stream))) <= 1 << 15
