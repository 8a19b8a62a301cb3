"""Tests of the journal, dirty writes, write-back policy and group commit, on a simulated disk with injected faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from journal_disk import commit_records, make_write, new_journal

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.store import JournalFailedError, RealDisk, StorageError
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty_writes import DirtyWrites
from pebblehinge.store.inspection import inspect_journal
from pebblehinge.store.journal import Batch, Journal, fence
from pebblehinge.store.records import Barrier, Completion
from pebblehinge.store.segment import HEADER, SegmentContents, read_segment, segment_name
from pebblehinge.store.writeback_policy import WritebackPolicy, WritebackStep, WriteRejection, next_step


def test_recovery_returns_synced_records_without_completed_writes() -> None:
    disk, journal = new_journal()
    commit_records(journal, disk, make_write(1), make_write(2), Barrier(3, "v"), make_write(4))
    commit_records(journal, disk, Completion([1, 4]))
    recovered = Journal(disk)
    recovered.recover()
    assert list(recovered.writes) == [2] and list(recovered.barriers) == [3] and recovered.last_number == 4


def test_torn_tail_of_any_length_is_cut_off_and_earlier_batches_stay() -> None:
    disk, journal = new_journal()
    commit_records(journal, disk, make_write(1))
    commit_records(journal, disk, make_write(2))
    segment = bytes(disk.files[segment_name(1)])
    first_batch_end = len(segment) - (len(segment) - HEADER.size) // 2
    for length in range(len(segment)):
        contents = read_segment("j", segment[:length], True)
        assert len(contents.batches) == (length >= first_batch_end) and contents.valid_bytes <= length
    lost_header = bytes(HEADER.size + 9) + segment[HEADER.size + 9 : first_batch_end]
    assert read_segment("j", lost_header, True) == SegmentContents(
        [], 0
    )  # the first sector of a new file was never written to the disk
    torn_batch = bytearray(segment)
    torn_batch[first_batch_end + 8 : first_batch_end + 20] = bytes(12)  # a hole in the middle of the last batch
    assert len(read_segment("j", bytes(torn_batch), True).batches) == 1


def test_damage_to_confirmed_batch_fails_recovery_and_names_its_offset() -> None:
    disk, journal = new_journal()
    for n in range(1, 4):
        commit_records(journal, disk, make_write(n))
    name = segment_name(1)
    segment = bytes(disk.files[name])
    for offset in range(HEADER.size, HEADER.size + 45, 7):
        damaged = bytearray(segment)
        damaged[offset] ^= 16
        disk.files[name] = damaged
        with pytest.raises(StorageError, match=r"the batch at byte 22 is damaged but was promised \(a valid batch"):
            Journal(disk).recover()
    inspection = inspect_journal(disk)
    assert len(inspection.writes) == 2 and "promised" in inspection.damage[0]  # the others can still be exported
    newer = bytearray(segment)
    newer[9] = 9
    disk.files[name] = newer
    with pytest.raises(StorageError, match="newer version"):
        Journal(disk).recover()


def test_record_numbers_are_never_reused_after_segments_are_removed() -> None:
    """Guards against a completion of an earlier incarnation that completes a later write of the same number."""
    disk, journal = new_journal()
    numbers = [journal.next_number() for _ in range(3)]
    commit_records(journal, disk, *(make_write(n) for n in numbers))
    commit_records(journal, disk, Completion(numbers))
    for _ in range(3):
        journal = Journal(disk)
        journal.recover()
        n = journal.next_number()
        assert n not in numbers
        numbers.append(n)
        commit_records(journal, disk, make_write(n))
        assert n in journal.writes


def test_reclaim_removes_segments_whose_live_records_were_relocated() -> None:
    disk = FaultyDisk(random.Random(1))
    journal = Journal(disk, 3000)
    journal.recover()
    for n in range(1, 60):
        commit_records(journal, disk, make_write(n, data=b"z" * 200))
    assert len(disk.files) > 4
    commit_records(journal, disk, Completion([n for n in range(1, 60) if n not in (3, 30)]))
    journal.reclaim()
    relocated = journal.records_to_relocate()
    assert [r.number for r in relocated] == [3, 30]
    commit_records(journal, disk, *relocated)
    journal.reclaim()
    assert len(disk.files) <= 2
    recovered = Journal(disk)
    recovered.recover()
    assert list(recovered.writes) == [3, 30]


def test_locked_folder_and_fenced_journal_are_rejected(tmp_path: Any) -> None:
    disk = RealDisk(tmp_path)
    disk.acquire_lock()
    with pytest.raises(StorageError, match="in use by another process"):
        RealDisk(tmp_path).acquire_lock()
    fence(disk, "replay through b:1")
    with pytest.raises(StorageError, match=r"taken over \(replay through b:1\)"):
        Journal(disk).recover()


WRITES = st.lists(st.tuples(st.integers(0, 30), st.binary(min_size=1, max_size=12)), max_size=12)


@settings(deadline=None)
@given(WRITES, st.integers(0, 30), st.integers(1, 20), st.integers(0, 12))
def test_reads_return_newest_bytes(rows: list[tuple[int, bytes]], offset: int, length: int, written_back: int) -> None:
    """Compares reads over dirty writes with a model of the extent to which every write was applied directly."""
    dirty, node, model = DirtyWrites(), bytearray(), bytearray()

    def apply(extent: bytearray, at: int, data: bytes) -> None:
        if len(extent) < at:
            extent += bytes(at - len(extent))
        extent[at : at + len(data)] = data

    for n, (at, data) in enumerate(rows):
        dirty.add(0.0, make_write(n, offset=at, data=data))
        apply(model, at, data)
    for _ in range(min(written_back, len(rows))):
        write = next(dirty.ready_writes())
        dirty.remove(write)
        apply(node, write.offset, write.data)
    expected = bytes(model[offset : offset + length])
    assert dirty.overlay("v", "x", offset, length, bytes(node[offset : offset + length])) == expected
    covered = dirty.read_covered("v", "x", offset, length)
    assert covered is None or covered == expected


def test_write_back_keeps_order_within_extent_and_across_barrier() -> None:
    dirty = DirtyWrites()
    for n, extent in ((1, "a"), (2, "a"), (3, "b")):
        dirty.add(0.0, make_write(n, extent))
    dirty.add_barrier(Barrier(4, "v"))
    dirty.add(0.0, make_write(5, "c"))
    dirty.add(0.0, make_write(6, "q", volume="other"))
    assert [w.number for w in dirty.ready_writes()] == [1, 3, 6]
    for n in (1, 3):
        dirty.remove(next(w for w in dirty.ready_writes() if w.number == n))
    assert sorted(w.number for w in dirty.ready_writes()) == [2, 6] and not dirty.is_clean("v", 3)
    dirty.remove(next(w for w in dirty.ready_writes() if w.number == 2))
    assert (
        sorted(w.number for w in dirty.ready_writes()) == [5, 6]
        and dirty.is_clean("v", 3)
        and not dirty.is_clean("v", 5)
    )


def test_policy_delays_write_back_backs_off_and_rejects_writes_at_its_limits() -> None:
    policy, dirty = WritebackPolicy(100, 1000.0, 50.0, 8), DirtyWrites()
    dirty.add(0.0, make_write(1, "a", slot=0))
    assert policy.due_writes(10.0, dirty) == [] and policy.next_wake_ms(10.0, dirty) == 50.0  # the delay of 50 ms
    assert [w.number for w in policy.due_writes(50.0, dirty)] == [1]
    policy.flush("v", 1)
    assert [w.number for w in policy.due_writes(10.0, dirty)] == [1]  # a flush ends the delay
    dirty.in_flight[1] = None
    assert policy.due_writes(60.0, dirty) == []
    del dirty.in_flight[1]
    policy.record_failure(60.0, make_write(1, "a"), 300.0)
    assert (
        policy.due_writes(200.0, dirty) == [] and policy.next_wake_ms(200.0, dirty) == 360.0
    )  # backoff of its storage node
    dirty.add(0.0, make_write(2, "b", slot=1))
    assert [w.number for w in policy.due_writes(200.0, dirty)] == [2]  # writes to the other storage node continue
    assert policy.check_write(200.0, dirty, 90, None) is None
    assert "bytes wait" in policy.check_write(200.0, dirty, 95, None).reason
    assert "has waited" in policy.check_write(1500.0, dirty, 1, None).reason
    failure = JournalFailedError("the journal failed")
    assert policy.check_write(200.0, dirty, 1, failure) == WriteRejection("the journal failed", 0.0)


def test_write_back_after_restart_begins_with_small_window_and_reads_back_first() -> None:
    policy, dirty = WritebackPolicy(1 << 20, 1e9, 50.0, 16), DirtyWrites()
    for n in range(40):
        dirty.add(0.0, make_write(n, f"x{n}", slot=n % 4), maybe_applied=True)
    assert len(policy.due_writes(0.0, dirty)) == 2
    for n in range(30):
        policy.record_success(make_write(n, f"x{n}", slot=n % 4))
    assert 6 <= len(policy.due_writes(40.0, dirty)) <= 16
    write = make_write(1)
    assert [next_step(write, False, None), next_step(write, True, None)] == [
        WritebackStep.WRITE,
        WritebackStep.READ_BACK,
    ]
    steps = [next_step(write, True, b"data"), next_step(write, True, b"else")]
    assert steps == [WritebackStep.DONE, WritebackStep.WRITE]


def run_committer(write_batch: Any, records: list[Any]) -> tuple[Committer, list[bool]]:
    """Commits records to a new journal; returns the committer and the results that it reported."""
    _, journal = new_journal()
    committer, results = Committer(journal, write_batch), []
    for record in records:
        committer.add(record, results.append)
    asyncio.run(committer.run())
    return committer, results


def test_one_sync_commits_all_pending_records() -> None:
    synced: list[Batch] = []

    async def write_batch(batch: Batch) -> None:
        synced.append(batch)

    committer, results = run_committer(write_batch, [make_write(n) for n in range(1, 101)])
    assert results == [True] * 100 and len(synced) == 1 and committer.record_count == 100


def test_committer_writes_nothing_after_failed_sync() -> None:
    """Guards against a retried fsync that succeeds although the data of the failed one is lost."""
    batches = []

    async def write_batch(batch: Batch) -> None:
        batches.append(batch)
        raise OSError(5, "Input/output error")

    committer, results = run_committer(write_batch, [make_write(1), make_write(2)])
    assert results == [False, False] and "Input/output error" in str(committer.failure)
    committer.add(make_write(3), results.append)
    asyncio.run(committer.run())
    assert results == [False] * 3 and len(batches) == 1  # no second attempt
