"""Tests of captures: writing, reading up to damage, merging and replaying."""

from __future__ import annotations

import msgspec
import pytest
from captured_rows import CONFIG, captured_request, captured_requests

from pebblehinge.capture import Capture, CapturedRequest, CaptureError, CaptureWriter, parse_capture
from pebblehinge.lab.replay import Replay, merge


def capture_bytes(*requests: CapturedRequest, wall_ms: float = 5000.0) -> bytes:
    """Returns the content of a capture with one block for each request."""
    content = bytearray()
    writer = CaptureWriter(content.extend, "h1", wall_ms, 100.0)
    for request in requests:
        writer.add(request.time_ms + 100.0, *msgspec.structs.astuple(request)[1:])
        writer.flush()
    return bytes(content)


def test_capture_is_read_back_up_to_cut_or_damage() -> None:
    requests = [captured_request(1.0), captured_request(2.0), captured_request(3.0)]
    data = capture_bytes(*requests)
    capture = parse_capture(data)
    assert (capture.gateway, capture.wall_ms, capture.requests, capture.incomplete_reason) == (
        "h1",
        5000.0,
        requests,
        None,
    )
    truncated = parse_capture(data[:-5])
    assert truncated.requests == requests[:2] and "cut off" in (truncated.incomplete_reason or "")
    damaged_data = bytearray(data)
    damaged_data[-3] ^= 1
    damaged = parse_capture(bytes(damaged_data))
    assert damaged.requests == requests[:2] and "is damaged" in (damaged.incomplete_reason or "")
    with pytest.raises(CaptureError, match="version 9: version 1 is supported"):
        parse_capture(data[:8] + b"\x00\x09" + data[10:])
    with pytest.raises(CaptureError, match="is no capture"):
        parse_capture(b"rubbish")
    with pytest.raises(CaptureError, match="has no header"):
        parse_capture(data[:14])


def test_full_disk_ends_capture_without_error_in_gateway() -> None:
    failures: list[OSError] = []
    written: list[bytes] = []

    def sink(data: bytes) -> None:
        if written:
            raise OSError(28, "No space left on device")
        written.append(data)

    writer = CaptureWriter(sink, "h1", 0.0, 0.0, failures.append)
    for _ in range(3):
        writer.add(*msgspec.structs.astuple(captured_request(1.0)))
        writer.flush()
    assert len(failures) == 1 and not writer.is_open and writer.rows == []


def test_merge_orders_captures_by_wall_clock_and_omits_retries() -> None:
    first = Capture("h1", 1000.0, 77.0, [captured_request(0.0), captured_request(50.0, retry=True)])
    second = Capture(
        "h2",
        900.0,
        5.0,
        [captured_request(20.0), captured_request(60_000.0)],
        incomplete_reason="the block at byte 9 is damaged",
    )
    merged, notes = merge([first, second])
    assert [(time_ms, gateway) for time_ms, gateway, _ in merged] == [(0.0, "h2"), (80.0, "h1"), (59_980.0, "h2")]
    assert "h2: the block at byte 9 is damaged" in notes[0] and "a gap of 59.9 s" in notes[1]


def test_replay_scales_load_and_speed() -> None:
    requests = captured_requests(3000)
    same = list(Replay(CONFIG, requests, 1).runs())
    assert [a.at_ms for a in same] == [time_ms for time_ms, _, _ in requests] and {a.head for a in same} == {"h1"}
    for multiple in (0.3, 1.7, 2.5):
        assert len(list(Replay(CONFIG, requests, 1, multiple).runs())) == pytest.approx(3000 * multiple, rel=0.06)
    grown = list(Replay(CONFIG, requests, 1, 2.0).runs())
    assert max(a.at_ms for a in grown) <= requests[-1][0] and {a.head for a in grown} <= set(CONFIG.head)
    fast = list(Replay(CONFIG, requests, 1, speed=4.0).runs())
    assert fast[-1].at_ms == pytest.approx(requests[-1][0] / 4.0)
