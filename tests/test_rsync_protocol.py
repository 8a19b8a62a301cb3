"""The rsync protocol's bytes, by hand: what our two ends agree on must also be what the published protocol says.

Each vector says why it is so; none was made by the code that it tests.
"""

from __future__ import annotations

import base64
import hashlib
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rsync_fuzz import drive, one, stream_of

from pebblehinge.rsync.digests import login, login_digest
from pebblehinge.rsync.filters import Filters, packed_filters, read_filters
from pebblehinge.rsync.greeting import chosen, hello, read_hello
from pebblehinge.rsync.options import parse
from pebblehinge.rsync.stream import ERROR_XFER, RsyncError, Stream
from pebblehinge.rsync.tree import Entry, Folder, packed


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
        (["-rU"], "access times"),
        (["-N"], "creation times"),
        (["-vH"], "hard links"),
        (["--files-from=-"], "--files-from"),
        (["-ve"], "capabilities"),
        (["--old-compress"], "zlibx"),
        (["--compress-choice=zstd"], "zstd"),
        (["-L"], "links are not followed"),
        (["--max-delete=x"], "whole number"),
    ]:
        with pytest.raises(RsyncError, match=why):
            parse([b"--server", *(w.encode() for w in words), b".", b"m/"])


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


@settings(max_examples=600, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_are_refused_or_understood(data: bytes) -> None:
    one(data)


def test_what_was_found_by_long_fuzzing_stays_sound() -> None:
    files = sorted((Path(__file__).parent / "rsync_corpus").iterdir())
    assert len(files) > 20 and sum(os.path.getsize(f) for f in files) < 1 << 20
    for file in files:
        one(file.read_bytes())
