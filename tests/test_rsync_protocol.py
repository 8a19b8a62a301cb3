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

from pebblehinge.rsync.digests import login_digest, login_response
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.filters import Filters, encode_filters, read_filters
from pebblehinge.rsync.greeting import encode_greeting, parse_greeting
from pebblehinge.rsync.negotiation import choose_common
from pebblehinge.rsync.option_parser import parse_options
from pebblehinge.rsync.stream import TAG_ERROR_XFER, Stream
from pebblehinge.rsync.tree import Directory, DirectoryEntry, encode_entry


def test_greetings() -> None:
    assert encode_greeting(31) == b"@RSYNCD: 31.0 sha512 sha256 sha1 md5 md4\n"
    assert encode_greeting(29) == b"@RSYNCD: 29\n"
    assert parse_greeting(b"@RSYNCD: 31.0 md5 md4").login_digests == ["md5", "md4"]
    assert parse_greeting(b"@RSYNCD: 32.0").version == 31 and parse_greeting(b"@RSYNCD: 27").version == 27
    assert parse_greeting(b"@RSYNCD: 31.14").version == 30  # an unfinished 31
    for bad in (b"HELO", b"@RSYNCD: ", b"@RSYNCD: x.0", b"@RSYNCD: 26", b"@RSYNCD: 99999999999.0"):
        with pytest.raises(RsyncError):
            parse_greeting(bad)


def test_login_answers() -> None:
    """base64 without padding, of the sum over secret and challenge; the sums by other programs."""
    # printf secretchallenge | md5sum
    raw = bytes.fromhex(hashlib.md5(b"secretchallenge").hexdigest())
    assert login_response("md5", b"secret", b"challenge", 30) == base64.b64encode(raw).rstrip(b"=")
    # RFC 1320: MD4("abc") = a448017aaf21d8525fc10ae87aa6729d, in base64 pEgBeq8h2FJfwQroeqZynQ
    assert login_response("md4", b"a", b"bc", 30) == b"pEgBeq8h2FJfwQroeqZynQ"
    assert login_response("md4", b"a", b"bc", 29) != login_response(
        "md4", b"a", b"bc", 30
    )  # four zeros stand in front before 30
    assert login_digest(31, ["sha256", "md5"]) == "sha256" and login_digest(30, None) == "md5"
    assert login_digest(29, None) == "md4" and login_digest(31, ["unheard"]) == "md5"
    assert choose_common(("md5", "md4"), ["xxh64", "md4", "md5"]) == "md4"  # the client's order


def test_frames() -> None:
    sent: list[bytes] = []
    stream = Stream(None, sent.append, None, None)  # type: ignore[arg-type]
    stream.start_frames_out()
    stream.put(b"abc")
    stream.message(TAG_ERROR_XFER, b"no\n")
    assert b"".join(sent) == bytes.fromhex("03000007 616263 03000008") + b"no\n"
    heard: list[tuple[int, bytes]] = []
    back = stream_of(b"".join(sent) + bytes.fromhex("00000007 02000007") + b"de", framed=True)
    back.on_message = lambda tag, data: heard.append((tag, data))
    assert drive(back.take(5)) == b"abcde" and heard == [(TAG_ERROR_XFER, b"no\n")]


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
    filters = drive(read_filters(stream_of(encode_filters(rules))))
    assert all(filters.includes(n, False) for n in taken) and not any(filters.includes(n, False) for n in left)


def test_filters_that_end_in_a_slash_fit_directories() -> None:
    filters = Filters([b"- build/"])
    assert filters.includes(b"build", False) and not filters.includes(b"x/build", True)


def test_options() -> None:
    o = parse_options([b"--server", b"--sender", b"-vlogDtprze.iLsfxCIvu", b"--timeout=30", b".", b"m/a", b"m/b"])
    assert o.sender and o.recursive and o.compress and o.capabilities == "iLsfxCIvu" and o.timeout == 30
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
            parse_options([b"--server", *(w.encode() for w in words), b".", b"m/"])


def test_a_folders_log_in_any_pieces_and_damaged() -> None:
    entries = [
        DirectoryEntry("f", b"a", 1, data=b"x", label="1"),
        DirectoryEntry("d", b"b", label="2"),
        DirectoryEntry("x", b"a", label="3"),
    ]
    raw = b"".join(map(encode_entry, entries))
    for size in (1, 7, len(raw)):
        folder = Directory()
        for at in range(0, len(raw), size):
            folder.feed(raw[at : at + size])
        assert list(folder.entries) == [b"b"] and folder.end == len(raw) and all(folder.has_label(x) for x in "123")
    for at in range(8, len(encode_entry(entries[0]))):
        hurt = bytearray(raw)
        hurt[at] ^= 4
        with pytest.raises(RsyncError, match="damaged at byte 0"):
            Directory().feed(bytes(hurt))


@settings(max_examples=600, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_are_refused_or_understood(data: bytes) -> None:
    one(data)


def test_what_was_found_by_long_fuzzing_stays_sound() -> None:
    files = sorted((Path(__file__).parent / "rsync_corpus").iterdir())
    assert len(files) > 20 and sum(os.path.getsize(f) for f in files) < 1 << 20
    for file in files:
        one(file.read_bytes())
