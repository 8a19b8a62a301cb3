"""Writes the fixtures of this folder. It ran once, on commit 6837705; the tests read what it wrote, for good.

PYTHONPATH=<checkout> python tests/compatibility/write_fixtures.py
"""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from conversations import answered, asked, bad_lines, simulated
from exchange import one_of_each, play, version
from http_requests import configurations, outcome, refusal, requests
from plain import FIXTURES, plain, save
from raft_messages import message_of
from recorded import facts, judged, played
from samples import FRAMES, JOURNAL, KEPT, MEMORY, ROWS, learned, rebuilt
from test_settings_mark import marks

from pebblehinge.capture import CaptureWriter, parse_capture
from pebblehinge.raft.codec import encode_message
from pebblehinge.raft.storage import Storage
from pebblehinge.replicated_config.version_application import StoredVersions, VersionApplication
from pebblehinge.settings import load
from pebblehinge.store import memory
from pebblehinge.store.disk import RealDisk
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Barrier, Completion, Write
from pebblehinge.wire import FrameDecoder, Kind, Session, WireError, encode

ROOT = Path(__file__).parent.parent.parent


def refused_frame(kind: int, *values: Any) -> str:
    """What a peer is told of a frame with these values."""
    frames = FrameDecoder(1 << 20)
    frames.feed(encode(Kind(kind), *values))
    try:
        frames.next()
    except WireError as error:
        return str(error)
    raise AssertionError(f"kind {kind} takes {values}")


def write_frames() -> None:
    rows = []
    for number, values in FRAMES:
        rows.append({"kind": number, "values": plain(values), "bytes": encode(Kind(number), *values).hex(),
                     "refused": refused_frame(number, *([None] * len(values)))})  # fmt: skip
    assert sorted({row["kind"] for row in rows}) == sorted(Kind)
    session = Session("head", "h1", 4096, 8, dialed=False)
    session.feed(encode(Kind.PING, 1))
    try:
        session.next()
    except WireError as error:
        early = str(error)
    opening = Session("client", "c-1", 1 << 20, 64, dialed=True).encode_greeting().hex()
    save("frames", {"frames": rows, "opening": opening, "before_greeting": early})


def write_group() -> None:
    with tempfile.TemporaryDirectory() as folder:
        group = play(Path(folder))
        shutil.copytree(Path(folder) / "a", FIXTURES / "member")
    kinds = [{"values": plain(row), "bytes": encode_message(message_of(plain(row))).hex()} for row in one_of_each()]
    storage = Storage(RealDisk(FIXTURES / "member"))
    member = group.members["a"]
    save("raft", {
        "sent": [data.hex() for data in group.sent], "kinds": kinds, "term": storage.hard_state.current_term,
        "vote": storage.hard_state.voted_for,
        "snapshot": plain(storage.snapshot), "entries": plain(storage.entries),
        "state": member.state.dump().hex(), "reads": plain(member.reads),
    })  # fmt: skip


def write_head() -> None:
    folder = FIXTURES / "journal"
    journal = Journal(RealDisk(folder), segment_bytes=600)
    for batch_rows in JOURNAL:
        records = [{"w": Write, "b": Barrier, "d": Completion}[row[0]](*row[1:]) for row in batch_rows]
        batch = journal.prepare(records)
        journal.disk.append(batch.file_name, batch.data)
        journal.disk.sync(batch.file_name)
        journal.mark_committed(batch)
    journal.disk.append(batch.file_name, b"\xc5PB\x9e\0\0")  # the tail that a power cut left
    with tempfile.TemporaryDirectory() as copy:
        shutil.copytree(folder, copy, dirs_exist_ok=True)
        again = Journal(RealDisk(copy), segment_bytes=600)
        again.recover()
    save("journal", {
        "batches": plain(JOURNAL), "writes": plain(again.writes), "barriers": plain(again.barriers),
        "number": again.last_number, "segment": again.current_segment, "cut": again.truncated_bytes,
        "where": plain(again.segment_of),
        "files": sorted(p.name for p in folder.iterdir()),
    })  # fmt: skip

    config = load(str(ROOT / "examples" / "head.conf"))
    mark = memory.hash_settings(config.scheduler_settings(config.head["h1"]))
    head = learned(config)
    kept = memory.Snapshot("h1", mark, *MEMORY, head.snapshot(5_000.0))
    (FIXTURES / "memory").write_bytes(memory.encode(kept))
    read = memory.decode(memory.encode(kept))
    later = rebuilt(config, read.state)
    save("memory", {"values": plain(read), "settings": mark, "later": plain(later.snapshot(9_000.0))})

    held = StoredVersions(*KEPT)
    (FIXTURES / "kept_version").write_bytes(msgspec.msgpack.encode(held))
    application = VersionApplication.restore("h1", 0.2, msgspec.msgpack.encode(held))
    acts, mode = application.effective_config(0.0)
    assert acts is not None
    save("kept_version", {"values": plain(held), "mode": mode, "acknowledges": application.acknowledged_version,
                          "acts_on": plain(acts.plan), "texts": [version(100), version(80)]})  # fmt: skip


def write_capture() -> None:
    with open(FIXTURES / "capture", "wb") as file:
        writer = CaptureWriter(file.write, "h1", 1_700_000_000_000.0, 1000.0)
        for row in ROWS:
            writer.add(*row)
        writer.flush()
    found = parse_capture((FIXTURES / "capture").read_bytes())
    save("capture", {"head": found.gateway, "wall_ms": found.wall_ms, "clock_ms": found.clock_ms,
                     "cut": found.incomplete_reason or "", "rows": plain(found.requests),
                     "given": plain(ROWS)})  # fmt: skip


def write_conversations() -> None:
    lines = simulated(5)
    save("simulated", {"lines": lines, "answered": answered(lines).splitlines(),
                       "refused": [answered(bad).splitlines() for bad in bad_lines()]})  # fmt: skip
    save("operators", asked())
    save("requests", {"outcomes": [outcome(data) for data in requests()],
                      "configurations": [refusal(data) for data in configurations()]})  # fmt: skip


def write_records() -> None:
    status, printed = played(FIXTURES / "records")
    save("records", {"played": [status, printed], "judged": list(judged(FIXTURES / "records")),
                     "facts": facts(FIXTURES / "records")})  # fmt: skip


def main() -> None:
    shutil.rmtree(FIXTURES, ignore_errors=True)
    FIXTURES.mkdir()
    write_frames()
    write_group()
    write_head()
    write_capture()
    write_conversations()
    write_records()
    save("settings_marks", marks())


if __name__ == "__main__":
    main()
