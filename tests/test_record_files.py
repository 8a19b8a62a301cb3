"""Tests of event logs that are cut off, damaged or impossible to write."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from pebblehinge.event_log import EventLog, EventLogError, read_events


def test_reader_skips_cut_off_lines_and_rejects_other_damage(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_bytes(b'{"t":1,"e":"x"}\n{"t":2,"e"')
    assert [r["t"] for r in read_events(path)] == [1]
    path.write_bytes(b'{"t":1,"e":"x"}\n{"t":2,"e"{"t":3,"e":"up"}\n')  # the writer was killed and restarted
    assert [r["t"] for r in read_events(path)] == [1, 3]
    path.write_bytes(b'{"t":1,"e":"x"}\nrubbish\n{"t":3,"e":"x"}\n')
    with pytest.raises(EventLogError, match="a.jsonl:2 is damaged"):
        list(read_events(path))


def test_write_failure_is_reported_once(tmp_path: Path) -> None:
    failures: list[EventLogError] = []
    event_log = EventLog(tmp_path, "a", lambda call: None, failures.append)
    os.close(event_log.fd)
    event_log.fd = os.open("/dev/full", os.O_WRONLY)
    for _ in range(3):
        event_log.note(1.0, "x")
        event_log.flush()
    assert [str(f) for f in failures] == [f"records: {tmp_path}/a.jsonl can't be written (No space left on device)"]
    with pytest.raises(EventLogError, match="can't be written"):
        EventLog(tmp_path / "missing", "a", lambda call: None)
