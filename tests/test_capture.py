"""Captures: written, read up to damage, merged, replayed."""

from __future__ import annotations

import msgspec
import pytest
from captured_rows import CONFIG, captured_request, captured_requests

from pebblehinge.capture import Capture, CapturedRequest, CaptureError, CaptureWriter, parse_capture
from pebblehinge.lab.replay import Replay, merge


def written(*rows: CapturedRequest, wall: float = 5000.0) -> bytes:
    out = bytearray()
    writer = CaptureWriter(out.extend, "h1", wall, 100.0)
    for r in rows:
        writer.add(r.time_ms + 100.0, *msgspec.structs.astuple(r)[1:])
        writer.flush()
    return bytes(out)


def test_a_capture_reads_back_and_is_read_up_to_a_cut_or_to_damage() -> None:
    rows = [captured_request(1.0), captured_request(2.0), captured_request(3.0)]
    data = written(*rows)
    whole = parse_capture(data)
    assert (whole.gateway, whole.wall_ms, whole.requests, whole.incomplete_reason) == ("h1", 5000.0, rows, None)
    cut = parse_capture(data[:-5])
    assert cut.requests == rows[:2] and "cut off" in (cut.incomplete_reason or "")
    damaged = bytearray(data)
    damaged[-3] ^= 1
    hurt = parse_capture(bytes(damaged))
    assert hurt.requests == rows[:2] and "is damaged" in (hurt.incomplete_reason or "")
    with pytest.raises(CaptureError, match="version 9: version 1 is read"):
        parse_capture(data[:8] + b"\x00\x09" + data[10:])
    with pytest.raises(CaptureError, match="is no capture"):
        parse_capture(b"rubbish")
    with pytest.raises(CaptureError, match="holds no heading"):
        parse_capture(data[:14])


def test_a_full_disk_ends_the_capture_and_not_the_head() -> None:
    failed: list[OSError] = []
    written_bytes: list[bytes] = []

    def sink(data: bytes) -> None:
        if written_bytes:
            raise OSError(28, "No space left on device")
        written_bytes.append(data)

    writer = CaptureWriter(sink, "h1", 0.0, 0.0, failed.append)
    for _ in range(3):
        writer.add(*msgspec.structs.astuple(captured_request(1.0)))
        writer.flush()
    assert len(failed) == 1 and not writer.is_open and writer.rows == []


def test_captures_of_several_heads_stand_on_one_line_without_second_tries() -> None:
    first = Capture("h1", 1000.0, 77.0, [captured_request(0.0), captured_request(50.0, retry=True)])
    second = Capture(
        "h2",
        900.0,
        5.0,
        [captured_request(20.0), captured_request(60_000.0)],
        incomplete_reason="the block at byte 9 is damaged",
    )
    merged, notes = merge([first, second])
    assert [(at, head) for at, head, _ in merged] == [(0.0, "h2"), (80.0, "h1"), (59_980.0, "h2")]
    assert "h2: the block at byte 9 is damaged" in notes[0] and "a gap of 59.9 s" in notes[1]


def test_load_is_replayed_grown_thinned_and_faster() -> None:
    rows = captured_requests(3000)
    same = list(Replay(CONFIG, rows, 1).runs())
    assert [a.at_ms for a in same] == [at for at, _, _ in rows] and {a.head for a in same} == {"h1"}
    for multiple in (0.3, 1.7, 2.5):
        assert len(list(Replay(CONFIG, rows, 1, multiple).runs())) == pytest.approx(3000 * multiple, rel=0.06)
    grown = list(Replay(CONFIG, rows, 1, 2.0).runs())
    assert max(a.at_ms for a in grown) <= rows[-1][0] and {a.head for a in grown} <= set(CONFIG.head)
    fast = list(Replay(CONFIG, rows, 1, speed=4.0).runs())
    assert fast[-1].at_ms == pytest.approx(rows[-1][0] / 4.0)
