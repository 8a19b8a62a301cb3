"""Frames in any pieces, and settings whose faults are all told at once."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pebblehinge.settings import SettingsError, load, render_settings
from pebblehinge.settings.load import loads
from pebblehinge.wire import FrameDecoder, Kind, Session, WireError, encode

TAKE = st.tuples(
    st.integers(0, 2**63),
    st.text(max_size=20),
    st.text(max_size=9),
    st.none() | st.text(max_size=9),
    st.text(max_size=9),
    st.text(max_size=9),
    st.integers(-1, 99),
    st.floats(0, 9),
    st.floats(0, 1e6),
    st.none() | st.booleans(),
    st.none() | st.text(max_size=9),
    st.integers(0, 1),
    st.integers(0, 2**40),
    st.integers(0, 999),
    st.binary(max_size=300),
)


@given(st.lists(TAKE, max_size=5), st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_frames_come_out_as_they_went_in_whatever_the_pieces(takes: list[tuple], cuts: list[int]) -> None:
    stream, frames, got, i = b"".join(encode(Kind.TAKE, *t) for t in takes), FrameDecoder(4096), [], 0
    while stream:
        size = cuts[i % len(cuts)]
        frames.feed(stream[:size])
        stream, i = stream[size:], i + 1
        while (frame := frames.next()) is not None:
            got.append(frame)
        assert len(frames.buffer) < 4096 + 50
    assert got == [(Kind.TAKE, t) for t in takes]


@given(st.integers(8, 60), st.integers(1, 255))
def test_any_damaged_byte_is_noticed(at: int, flip: int) -> None:
    data = bytearray(encode(Kind.OUTCOME, 7, 0, "reason", b"x" * 60))
    data[at] ^= flip
    frames = FrameDecoder(4096)
    frames.feed(bytes(data))
    with pytest.raises(WireError, match="checksum"):
        frames.next()


def test_the_greeting_settles_the_newest_common_version_and_limits() -> None:
    ours = Session("head", "h", 5000, 9, dialed=False)
    ours.feed(encode(Kind.HELLO, "pebblehinge", 1, 6, "client", "c", 2048, 3))
    assert ours.next() is not None and ours.version == 1
    assert (ours.peer_role, ours.peer_name, ours.peer_max_frame_bytes, ours.peer_max_streams) == (
        "client",
        "c",
        2048,
        3,
    )
    assert ours.decoder.max_frame_bytes == 5000
    fresh = Session("head", "h", 5000, 9, dialed=False)
    fresh.feed(b"\x00\x00\x05\x00")  # more than a greeting may have, before the greeting
    with pytest.raises(WireError, match="at most 1024"):
        fresh.next()


FAULTY = """\
rules {
    warn 3s
    drain-grace soon
}
profile look {
    importance 2
    expected 400
    patience 300ms
    repeat maybe
}
plan gold {
    rate 20/s 30/s
    limit 5/s
}
volume v {
    plan gld
}
volume v {
    plan gold
}
head "h 1" {
    listen nowhere
    seed -1
}
day d {
    at 3s slwo s1 for 2s
    at 3s slow s1 for 2s
    at later crash s1 for 2s
}
include missing.conf
listing
} oops
x "open
"""


def test_every_fault_is_told_at_once_with_its_place() -> None:
    with pytest.raises(SettingsError) as told:
        loads(FAULTY, "f")
    said = [str(p).removeprefix("f:") for p in told.value.problems]
    wanted = [
        "2:5: unknown directive 'warn': expected warm (the nearest known one)",
        "3:17: 'drain-grace soon': expected a time such as 400ms, 1.5s or 2m",
        "7:14: 'expected 400': expected a time such as 400ms, 1.5s or 2m",
        "9:12: 'repeat maybe': expected one of redoable, labelled, irreversible",
        "12:10: 'rate 20/s 30/s': expected one value, not 2",
        "16:10: plan 'gld' is not there",
        "18:8: a second volume 'v': expected another name; the first stands at f:15:8",
        "21:6: head 'h 1': expected a name",
        "26:11: unknown trouble 'slwo': expected slow (the nearest known one)",
        "27:11: slow without 'by': expected by and a figure",
        "28:8: 'later': expected a time",
        "30:9: missing.conf can't be read",
        "31:1: 'listing' with no block: expected listing {",
        "32:3: 'oops': expected",
        "33:3: a quote that is not closed",
    ]
    for line in wanted:
        assert any(s.startswith(line) for s in said), (line, said)


def test_a_fault_tells_nothing_that_follows_from_it_alone() -> None:
    text = "profile a {\n importance 2\n expected 1\n patience 2s\n repeat redoable\n}\nmix a {\n share 10%\n}\n"
    with pytest.raises(SettingsError) as told:
        loads(text)
    assert len(told.value.problems) == 1


def test_words_that_need_quotes_are_shown_in_them() -> None:
    """An empty word was shown as none at all, and what was shown could not be read again."""
    for text in ("", "two words", 'a "quoted" one', "back\\slash # {"):
        quoted = text.replace("\\", "\\\\").replace('"', '\\"')
        config = loads(f'rsync {{\n    motd "{quoted}"\n}}\n')
        assert config.rsync.motd == text
        assert loads("\n".join(render_settings(config))).rsync.motd == text


def test_what_is_shown_reads_back_the_same(tmp_path: Path) -> None:
    for path in sorted(Path("pebblehinge/lab/days").glob("[!_]*.conf")):
        shown = render_settings(load(path))
        assert render_settings(loads("\n".join(shown))) == shown
    assert any(line.endswith("# default") for line in shown)


def test_includes_go_round_only_once_and_units_are_read(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text("include b.conf\n")
    (tmp_path / "b.conf").write_text("include a.conf\n")
    with pytest.raises(SettingsError, match=r"b\.conf:1:9: .*includes itself"):
        load(tmp_path / "a.conf")
    (tmp_path / "b.conf").write_text('limits {\n frame 64KiB # small\n stall 1.5m\n}\nrecords "/tmp/with space"\n')
    config = load(tmp_path / "a.conf")
    assert (config.limits.frame, config.limits.stall, config.records) == (65536, 90_000.0, "/tmp/with space")
