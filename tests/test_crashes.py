"""Confirmed writes stand once whenever a head dies; each defence taken out is seen."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest
from journal_disk import make_write

from pebblehinge.lab.crash import verdict, virtual
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.store import RealDisk, StorageError
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.journal import Journal
from pebblehinge.store.records import Completion, Write
from pebblehinge.store.segment import HEADER, segment_name
from pebblehinge.store.writeback_policy import WritebackStep


@pytest.mark.parametrize("block", range(4))
def test_confirmed_writes_stand_once_whenever_the_head_dies(block: int) -> None:
    told = verdict.summed([virtual.one(seed, 2) for seed in range(3 * block, 3 * block + 3)])
    assert verdict.sound(told) and told["confirmed"] > 500, told


class NoSync(FaultyDisk):
    """Says that it synced."""

    def sync(self, name: str) -> None:
        pass


def broken(seeds: range, disk: type[FaultyDisk] = FaultyDisk) -> dict[str, Any]:
    rounds = []
    for seed in seeds:
        try:
            rounds.append(virtual.Virtual(seed, disk).play(2))
        except (RuntimeError, StorageError) as error:
            rounds.append({"first": str(error), "fault": 1})
        if not verdict.sound(rounds[-1]):
            break
    return verdict.summed(rounds)


def test_without_fsync_confirmed_writes_are_lost_and_that_is_seen() -> None:
    told = broken(range(10), NoSync)
    assert told["missing"] or told["claimed_wrongly"] or told["fault"], told


def test_an_answer_before_the_commit_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    real = Committer.add

    def early(self: Committer, record: Any, told: Any) -> None:
        if isinstance(record, Write):
            told(True)
            told = lambda lasts: None  # noqa: E731
        real(self, record, told)

    monkeypatch.setattr(Committer, "add", early)
    told = broken(range(10))
    assert told["missing"] or told["claimed_wrongly"], told


def test_a_replay_without_a_look_and_without_labels_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "pebblehinge.gateway.write_back_runner.next_step", lambda write, risky, read_back: WritebackStep.WRITE
    )
    monkeypatch.setattr("pebblehinge.storage_node.contents.Contents.is_applied", lambda self, label, now, window: False)
    assert broken(range(10))["doubled"]


def test_barriers_that_are_forgotten_are_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DirtyWrites, "add_barrier", lambda self, barrier: None)
    assert broken(range(10))["order_broken"]


def test_heads_are_killed_as_processes() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "pebblehinge", "lab", "crash", "--rounds", "2", "--json", "--quiet"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["confirmed"] > 20 and told["missing"] == 0, told


def test_a_folder_is_looked_at_exported_and_verified(tmp_path: Any) -> None:
    disk = RealDisk(tmp_path / "h1")
    journal = Journal(disk)
    journal.recover()
    batch = journal.prepare([make_write(1, "a/b", 2, b"hello"), make_write(2, "c"), Completion([2])])
    disk.append(batch.file_name, batch.data)
    disk.close()

    def ask(*words: str) -> tuple[int, str]:
        done = subprocess.run([sys.executable, "-m", "pebblehinge", "store", *words], capture_output=True, text=True)
        return done.returncode, done.stdout

    code, said = ask("inspect", str(tmp_path / "h1"), "--json")
    assert code == 0 and json.loads(said)["live"] == 1 and json.loads(said)["live_bytes"] == 5
    assert ask("verify", str(tmp_path / "h1"))[0] == 0
    assert ask("export", str(tmp_path / "h1"), str(tmp_path / "out"))[0] == 0
    assert (tmp_path / "out" / "v" / "a%2Fb").read_bytes() == b"\0\0hello"
    raw = bytearray((tmp_path / "h1" / batch.file_name).read_bytes())
    raw[40] ^= 1
    (tmp_path / "h1" / batch.file_name).write_bytes(bytes(raw) + raw[HEADER.size :][:0])
    (tmp_path / "h1" / segment_name(9)).write_bytes(b"")
    code, said = ask("verify", str(tmp_path / "h1"))
    assert code == 1 and "byte 22" in said
