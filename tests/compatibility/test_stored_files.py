"""Files that commit 6837705 wrote are read, and written again, to the byte."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from exchange import play
from plain import FIXTURES, native, plain, saved
from samples import learned, rebuilt

from pebblehinge.capture import CaptureError, CaptureWriter, parse_capture
from pebblehinge.capture.format import BLOCK_START, FILE_START, OUTCOMES
from pebblehinge.raft import Entry, Snapshot
from pebblehinge.raft.identity import ensure_identity
from pebblehinge.raft.storage import Storage
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import StoredVersions, VersionApplication
from pebblehinge.settings import SettingsError, load
from pebblehinge.store import RealDisk, StorageError, memory
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Barrier, Completion, Record, Write

ROOT = Path(__file__).parent.parent.parent


def files(folder: Path) -> dict[str, bytes]:
    """The bytes of all files of a folder."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def check_member(folder: Path, expected: dict[str, Any]) -> None:
    """A member's folder: whose it is, term, vote, snapshot and entries, and the state that follows from them."""
    disk = RealDisk(folder)
    ensure_identity(disk, "porto", "a", False)
    storage = Storage(disk)
    assert [storage.hard_state.current_term, storage.hard_state.voted_for] == [expected["term"], expected["vote"]]
    assert plain(storage.snapshot) == expected["snapshot"]
    assert plain(storage.entries) == expected["entries"]
    assert storage.snapshot is not None
    state = ConfigState.restore(storage.snapshot.data)
    assert state.dump() == storage.snapshot.data
    for entry in storage.entries:
        state.apply(entry)
    assert state.dump().hex() == expected["state"]


def check_journal(folder: Path, expected: dict[str, Any]) -> None:
    """A journal: its live writes and barriers, where they stand, and the same bytes for the same records."""
    before = files(folder)
    journal = Journal(RealDisk(folder), 600)
    journal.recover()
    assert plain(journal.writes) == expected["writes"]
    assert plain(journal.barriers) == expected["barriers"]
    assert plain(journal.segment_of) == expected["where"]
    assert [journal.last_number, journal.current_segment, journal.truncated_bytes] == [
        expected["number"],
        expected["segment"],
        expected["cut"],
    ]
    again = Journal(RealDisk(folder / "again"), 600)
    written: dict[str, bytes] = {}
    for rows in native(expected["batches"]):
        batch = again.prepare([record(*row) for row in rows])
        again.mark_committed(batch)
        written[batch.file_name] = written.get(batch.file_name, b"") + batch.data
    assert sorted(written) == expected["files"] == sorted(before)
    last = max(written)
    assert {**before, last: before[last][: -expected["cut"]]} == written


def record(kind: str, *values: Any) -> Record:
    """A record of a journal from its stored word and values."""
    return {"w": Write, "b": Barrier, "d": Completion}[kind](*values)


def check_memory(data: bytes, expected: dict[str, Any]) -> None:
    """A memory file: its values, its bytes, whose settings it names, what a module makes of it and writes itself."""
    config = load(str(ROOT / "examples" / "head.conf"))
    found = memory.decode(data)
    assert plain(found) == expected["values"]
    assert memory.hash_settings(config.scheduler_settings(config.head["h1"])) == expected["settings"]
    assert plain(rebuilt(config, found.state).snapshot(9_000.0)) == expected["later"]
    name, mark, *times, _ = expected["values"]
    assert memory.encode(memory.Snapshot(name, mark, *times, learned(config).snapshot(5_000.0))) == data


def check_kept_version(data: bytes, expected: dict[str, Any]) -> None:
    """A head's kept version: what it acts on without a lease, what it acknowledges, and the same bytes again."""
    application = VersionApplication.restore("h1", 0.2, data)
    acts_on, mode = application.effective_config(0.0)
    assert acts_on is not None
    assert [mode, application.acknowledged_version] == [expected["mode"], expected["acknowledges"]]
    assert plain(acts_on.plan) == expected["acts_on"]
    assert application.dump() == data
    assert plain(msgspec.msgpack.decode(data, type=StoredVersions)) == expected["values"]
    active, text, aside, pending, pending_text = expected["values"]
    assert [text, pending_text] == expected["texts"]
    assert plain(StoredVersions(active, text, aside, pending, pending_text)) == expected["values"]
    assert application.active == active and application.pending == pending and plain(application.reservations) == aside


def check_capture(data: bytes, expected: dict[str, Any]) -> None:
    """A capture: its heading and rows, and what a writer makes of the same rows."""
    found = parse_capture(data)
    for each in (found, parse_capture(recaptured(expected))):
        assert [each.gateway, each.wall_ms, each.clock_ms, each.incomplete_reason or ""] == [
            expected[k] for k in HEADING
        ]
        assert plain(each.requests) == expected["rows"]
    assert list(OUTCOMES) == ["honoured", "pushed back", "terminated", "left"]
    assert (FILE_START.size, BLOCK_START.size, data[:8]) == (10, 8, b"PHCAPTUR")


HEADING = ("head", "wall_ms", "clock_ms", "cut")


def recaptured(expected: dict[str, Any]) -> bytes:
    """A capture of the rows that were given."""
    parts: list[bytes] = []
    writer = CaptureWriter(parts.append, expected["head"], expected["wall_ms"], expected["clock_ms"])
    for row in expected["given"]:
        writer.add(*row)
    writer.flush()
    return b"".join(parts)


FOLDERS: list[tuple[str, str, Callable[[Path, dict[str, Any]], None]]] = [
    ("member", "raft", check_member),
    ("journal", "journal", check_journal),
]
FILES: list[tuple[str, Callable[[bytes, dict[str, Any]], None]]] = [
    ("memory", check_memory),
    ("kept_version", check_kept_version),
    ("capture", check_capture),
]


@pytest.mark.parametrize(("name", "values", "check"), FOLDERS, ids=[row[0] for row in FOLDERS])
def test_a_folder_of_before_is_read(name: str, values: str, check: Any, tmp_path: Path) -> None:
    shutil.copytree(FIXTURES / name, tmp_path / name)
    check(tmp_path / name, saved(values))


@pytest.mark.parametrize(("name", "check"), FILES, ids=[row[0] for row in FILES])
def test_a_file_of_before_is_read_and_written_again(name: str, check: Any) -> None:
    check((FIXTURES / name).read_bytes(), saved(name))


def test_a_member_writes_the_files_of_before(tmp_path: Path) -> None:
    play(tmp_path)
    assert files(tmp_path / "a") == files(FIXTURES / "member")


def test_entries_and_snapshots_are_built_from_their_stored_values() -> None:
    expected = saved("raft")
    assert plain([Entry(*native(row)) for row in expected["entries"]]) == expected["entries"]
    assert plain(Snapshot(*native(expected["snapshot"]))) == expected["snapshot"]


def spoilt(value: Any) -> list[Any]:
    """For each value within a value the whole with just that one changed."""
    if isinstance(value, dict):
        return [{**value, key: other} for key, part in value.items() for other in spoilt(part)]
    if isinstance(value, list):
        return [[*value[:n], other, *value[n + 1 :]] for n, part in enumerate(value) for other in spoilt(part)]
    if isinstance(value, bool) or value is None:
        return [not value]
    return [value + "00" if isinstance(value, str) else value + 1]


FAULTS = (AssertionError, SettingsError, StorageError, CaptureError, ValueError, TypeError, KeyError)
UNUSED = {"raft": ("sent", "kinds", "reads")}  # test_wire_bytes compares them


@pytest.mark.parametrize(("name", "values", "check"), FOLDERS, ids=[row[0] for row in FOLDERS])
def test_the_check_of_a_folder_fails_on_each_changed_value(name: str, values: str, check: Any, tmp_path: Path) -> None:
    expected = {key: part for key, part in saved(values).items() if key not in UNUSED.get(values, ())}
    others = spoilt(expected)
    assert len(others) > 30
    for n, other in enumerate(others):
        folder = tmp_path / str(n)
        shutil.copytree(FIXTURES / name, folder)
        with pytest.raises(FAULTS):
            check(folder, other)


@pytest.mark.parametrize(("name", "check"), FILES, ids=[row[0] for row in FILES])
def test_the_check_of_a_file_fails_on_each_changed_value(name: str, check: Any) -> None:
    for other in spoilt(saved(name)):
        with pytest.raises(FAULTS):
            check((FIXTURES / name).read_bytes(), other)


def flipped(path: Path) -> list[bytes]:
    """The bytes of a file with one of them changed, for every seventh."""
    data = path.read_bytes()
    return [data[:n] + bytes([data[n] ^ 0x10]) + data[n + 1 :] for n in range(0, len(data), 7)]


@pytest.mark.parametrize(("name", "values", "check"), FOLDERS, ids=[row[0] for row in FOLDERS])
def test_the_check_of_a_folder_fails_on_a_changed_byte(name: str, values: str, check: Any, tmp_path: Path) -> None:
    for path in sorted((FIXTURES / name).iterdir()):
        torn = saved(values)["cut"] if path.name == "journal-00000001.seg" else 0  # bytes that were never promised
        for n, data in enumerate(flipped(path)[: (path.stat().st_size - torn) // 7]):
            folder = tmp_path / f"{path.name}-{n}"
            shutil.copytree(FIXTURES / name, folder)
            (folder / path.name).write_bytes(data)
            with pytest.raises(FAULTS):
                check(folder, saved(values))


@pytest.mark.parametrize(("name", "check"), FILES, ids=[row[0] for row in FILES])
def test_the_check_of_a_file_fails_on_a_changed_byte(name: str, check: Any) -> None:
    for data in flipped(FIXTURES / name):
        with pytest.raises((*FAULTS, msgspec.MsgspecError)):
            check(data, saved(name))
