"""Framing and greeting of the wire protocol; parsing of settings, which reports all errors at once."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pebblehinge.settings import SettingsError, load, render_settings
from pebblehinge.settings.load import loads
from pebblehinge.wire import FrameDecoder, Kind, Session, WireError, encode

TAKE_FIELDS = st.tuples(
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


@given(st.lists(TAKE_FIELDS, max_size=5), st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_frames_are_decoded_from_pieces_of_any_size(messages: list[tuple], piece_sizes: list[int]) -> None:
    stream, decoder, decoded, i = b"".join(encode(Kind.TAKE, *fields) for fields in messages), FrameDecoder(4096), [], 0
    while stream:
        size = piece_sizes[i % len(piece_sizes)]
        decoder.feed(stream[:size])
        stream, i = stream[size:], i + 1
        while (frame := decoder.next()) is not None:
            decoded.append(frame)
        assert len(decoder.buffer) < 4096 + 50
    assert decoded == [(Kind.TAKE, fields) for fields in messages]


@given(st.integers(8, 60), st.integers(1, 255))
def test_any_damaged_byte_is_detected(index: int, flipped_bits: int) -> None:
    data = bytearray(encode(Kind.OUTCOME, 7, 0, "reason", b"x" * 60))
    data[index] ^= flipped_bits
    decoder = FrameDecoder(4096)
    decoder.feed(bytes(data))
    with pytest.raises(WireError, match="checksum"):
        decoder.next()


def test_greeting_negotiates_the_newest_common_version_and_the_limits() -> None:
    session = Session("head", "h", 5000, 9, dialed=False)
    session.feed(encode(Kind.HELLO, "pebblehinge", 1, 6, "client", "c", 2048, 3))
    assert session.next() is not None and session.version == 1
    assert (session.peer_role, session.peer_name, session.peer_max_frame_bytes, session.peer_max_streams) == (
        "client",
        "c",
        2048,
        3,
    )
    assert session.decoder.max_frame_bytes == 5000
    new_session = Session("head", "h", 5000, 9, dialed=False)
    new_session.feed(b"\x00\x00\x05\x00")  # a longer frame than a greeting may be, before the greeting
    with pytest.raises(WireError, match="at most 1024"):
        new_session.next()


INVALID_SETTINGS = """\
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


def test_all_errors_are_reported_at_once_with_their_positions() -> None:
    with pytest.raises(SettingsError) as raised:
        loads(INVALID_SETTINGS, "f")
    reported = [str(problem).removeprefix("f:") for problem in raised.value.problems]
    expected = [
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
    for line in expected:
        assert any(problem.startswith(line) for problem in reported), (line, reported)


def test_errors_that_follow_from_another_error_are_not_reported() -> None:
    text = "profile a {\n importance 2\n expected 1\n patience 2s\n repeat redoable\n}\nmix a {\n share 10%\n}\n"
    with pytest.raises(SettingsError) as raised:
        loads(text)
    assert len(raised.value.problems) == 1


def test_values_that_need_quotes_are_shown_with_quotes() -> None:
    """An empty value used to be shown as no value at all, and the output could not be parsed again."""
    for text in ("", "two words", 'a "quoted" one', "back\\slash # {"):
        quoted = text.replace("\\", "\\\\").replace('"', '\\"')
        config = loads(f'rsync {{\n    motd "{quoted}"\n}}\n')
        assert config.rsync.motd == text
        assert loads("\n".join(render_settings(config))).rsync.motd == text


def test_shown_settings_are_parsed_again_to_the_same_settings(tmp_path: Path) -> None:
    for path in sorted(Path("pebblehinge/lab/days").glob("[!_]*.conf")):
        shown = render_settings(load(path))
        assert render_settings(loads("\n".join(shown))) == shown
    assert any(line.endswith("# default") for line in shown)


def test_circular_includes_are_rejected_and_units_are_parsed(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text("include b.conf\n")
    (tmp_path / "b.conf").write_text("include a.conf\n")
    with pytest.raises(SettingsError, match=r"b\.conf:1:9: .*includes itself"):
        load(tmp_path / "a.conf")
    (tmp_path / "b.conf").write_text('limits {\n frame 64KiB # small\n stall 1.5m\n}\nrecords "/tmp/with space"\n')
    config = load(tmp_path / "a.conf")
    assert (config.limits.frame, config.limits.stall, config.records) == (65536, 90_000.0, "/tmp/with space")
