"""Files of records: damaged ones, and ones that can't be written."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from pebblehinge.event_log import EventLog, EventLogError, read_events


def test_records_that_a_kill_cut_off_are_read_up_to_the_cut(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_bytes(b'{"t":1,"e":"x"}\n{"t":2,"e"')
    assert [r["t"] for r in read_events(path)] == [1]
    path.write_bytes(b'{"t":1,"e":"x"}\n{"t":2,"e"{"t":3,"e":"up"}\n')  # killed, and started again
    assert [r["t"] for r in read_events(path)] == [1, 3]
    path.write_bytes(b'{"t":1,"e":"x"}\nrubbish\n{"t":3,"e":"x"}\n')
    with pytest.raises(EventLogError, match="a.jsonl:2 is damaged"):
        list(read_events(path))


def test_records_that_cannot_be_written_are_told_once(tmp_path: Path) -> None:
    failed: list[EventLogError] = []
    records = EventLog(tmp_path, "a", lambda call: None, failed.append)
    os.close(records.fd)
    records.fd = os.open("/dev/full", os.O_WRONLY)
    for _ in range(3):
        records.note(1.0, "x")
        records.flush()
    assert [str(f) for f in failed] == [f"records: {tmp_path}/a.jsonl can't be written (No space left on device)"]
    with pytest.raises(EventLogError, match="can't be written"):
        EventLog(tmp_path / "missing", "a", lambda call: None)
