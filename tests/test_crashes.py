"""Crashes of a gateway with write-back: confirmed writes are applied exactly once, and the crash rounds detect defects.

Some tests remove one safeguard of the gateway; the verdict of the crash rounds must then report the damage.
"""

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
def test_confirmed_writes_are_applied_exactly_once_whenever_the_gateway_crashes(block: int) -> None:
    totals = verdict.sum_rounds([virtual.one(seed, 2) for seed in range(3 * block, 3 * block + 3)])
    assert verdict.sound(totals) and totals["confirmed"] > 500, totals


class NoSyncDisk(FaultyDisk):
    """A disk that reports a sync without syncing."""

    def sync(self, name: str) -> None:
        pass


def run_until_unsound(seeds: range, disk: type[FaultyDisk] = FaultyDisk) -> dict[str, Any]:
    """Runs a crash round for each seed up to the first with a violation, and returns the totals."""
    rounds = []
    for seed in seeds:
        try:
            rounds.append(virtual.VirtualCrashTrial(seed, disk).play(2))
        except (RuntimeError, StorageError) as error:
            rounds.append({"first": str(error), "fault": 1})
        if not verdict.sound(rounds[-1]):
            break
    return verdict.sum_rounds(rounds)


def test_lost_writes_without_fsync_are_detected() -> None:
    totals = run_until_unsound(range(10), NoSyncDisk)
    assert totals["missing"] or totals["claimed_wrongly"] or totals["fault"], totals


def test_confirmation_before_the_commit_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original_add = Committer.add

    def confirm_early(self: Committer, record: Any, on_result: Any) -> None:
        if isinstance(record, Write):
            on_result(True)
            on_result = lambda is_durable: None  # noqa: E731
        original_add(self, record, on_result)

    monkeypatch.setattr(Committer, "add", confirm_early)
    totals = run_until_unsound(range(10))
    assert totals["missing"] or totals["claimed_wrongly"], totals


def test_double_writes_by_a_replay_without_read_back_and_deduplication_are_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "pebblehinge.gateway.write_back_runner.next_step", lambda write, maybe_applied, read_back: WritebackStep.WRITE
    )
    monkeypatch.setattr("pebblehinge.storage_node.contents.Contents.is_applied", lambda self, label, now, window: False)
    assert run_until_unsound(range(10))["doubled"]


def test_lost_barriers_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DirtyWrites, "add_barrier", lambda self, barrier: None)
    assert run_until_unsound(range(10))["order_broken"]


def test_no_confirmed_write_is_lost_when_gateway_processes_are_killed() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "pebblehinge", "lab", "crash", "--rounds", "2", "--json", "--quiet"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    totals = json.loads(completed.stdout)
    assert completed.returncode == 0 and totals["confirmed"] > 20 and totals["missing"] == 0, totals


def test_journal_folder_can_be_inspected_exported_and_verified(tmp_path: Any) -> None:
    disk = RealDisk(tmp_path / "h1")
    journal = Journal(disk)
    journal.recover()
    batch = journal.prepare([make_write(1, "a/b", 2, b"hello"), make_write(2, "c"), Completion([2])])
    disk.append(batch.file_name, batch.data)
    disk.close()

    def run_store(*arguments: str) -> tuple[int, str]:
        completed = subprocess.run(
            [sys.executable, "-m", "pebblehinge", "store", *arguments], capture_output=True, text=True
        )
        return completed.returncode, completed.stdout

    exit_code, output = run_store("inspect", str(tmp_path / "h1"), "--json")
    assert exit_code == 0 and json.loads(output)["live"] == 1 and json.loads(output)["live_bytes"] == 5
    assert run_store("verify", str(tmp_path / "h1"))[0] == 0
    assert run_store("export", str(tmp_path / "h1"), str(tmp_path / "out"))[0] == 0
    assert (tmp_path / "out" / "v" / "a%2Fb").read_bytes() == b"\0\0hello"
    segment = bytearray((tmp_path / "h1" / batch.file_name).read_bytes())
    segment[40] ^= 1
    (tmp_path / "h1" / batch.file_name).write_bytes(bytes(segment) + segment[HEADER.size :][:0])
    (tmp_path / "h1" / segment_name(9)).write_bytes(b"")
    exit_code, output = run_store("verify", str(tmp_path / "h1"))
    assert exit_code == 1 and "byte 22" in output
