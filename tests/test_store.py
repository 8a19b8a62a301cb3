"""The journal, what is dirty, commits: bytes on a disk that fails as told."""

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


def test_what_was_synced_is_read_back_without_what_is_done() -> None:
    disk, journal = new_journal()
    commit_records(journal, disk, make_write(1), make_write(2), Barrier(3, "v"), make_write(4))
    commit_records(journal, disk, Completion([1, 4]))
    again = Journal(disk)
    again.recover()
    assert list(again.writes) == [2] and list(again.barriers) == [3] and again.last_number == 4


def test_a_tail_that_was_cut_off_anywhere_is_cut_and_what_is_before_stands() -> None:
    disk, journal = new_journal()
    commit_records(journal, disk, make_write(1))
    commit_records(journal, disk, make_write(2))
    whole = bytes(disk.files[segment_name(1)])
    first = len(whole) - (len(whole) - HEADER.size) // 2
    for kept in range(len(whole)):
        contents = read_segment("j", whole[:kept], True)
        assert len(contents.batches) == (kept >= first) and contents.valid_bytes <= kept
    torn = bytes(HEADER.size + 9) + whole[HEADER.size + 9 : first]
    assert read_segment("j", torn, True) == SegmentContents(
        [], 0
    )  # the first sector of a new file never came to the disk
    holes = bytearray(whole)
    holes[first + 8 : first + 20] = bytes(12)  # the last batch, torn in its middle
    assert len(read_segment("j", bytes(holes), True).batches) == 1


def test_damage_in_what_was_promised_is_refused_with_its_place() -> None:
    disk, journal = new_journal()
    for n in range(1, 4):
        commit_records(journal, disk, make_write(n))
    name = segment_name(1)
    whole = bytes(disk.files[name])
    for at in range(HEADER.size, HEADER.size + 45, 7):
        hurt = bytearray(whole)
        hurt[at] ^= 16
        disk.files[name] = hurt
        with pytest.raises(StorageError, match=r"the batch at byte 22 is damaged and had been promised \(a sound one"):
            Journal(disk).recover()
    found = inspect_journal(disk)
    assert len(found.writes) == 2 and "promised" in found.damage[0]  # the others can still be exported
    newer = bytearray(whole)
    newer[9] = 9
    disk.files[name] = newer
    with pytest.raises(StorageError, match="newer version"):
        Journal(disk).recover()


def test_numbers_are_never_given_twice_though_segments_go() -> None:
    """What an earlier life noted as done must not end a write of this one."""
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


def test_space_is_reclaimed_and_live_records_of_old_segments_move_on() -> None:
    disk = FaultyDisk(random.Random(1))
    journal = Journal(disk, 3000)
    journal.recover()
    for n in range(1, 60):
        commit_records(journal, disk, make_write(n, data=b"z" * 200))
    assert len(disk.files) > 4
    commit_records(journal, disk, Completion([n for n in range(1, 60) if n not in (3, 30)]))
    journal.reclaim()
    moved = journal.records_to_relocate()
    assert [r.number for r in moved] == [3, 30]
    commit_records(journal, disk, *moved)
    journal.reclaim()
    assert len(disk.files) <= 2
    again = Journal(disk)
    again.recover()
    assert list(again.writes) == [3, 30]


def test_a_fenced_folder_and_one_in_use_are_refused(tmp_path: Any) -> None:
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
def test_reads_show_the_newest_bytes(rows: list[tuple[int, bytes]], offset: int, length: int, landed: int) -> None:
    """Against a plain model: the extent as it would be were every write through."""
    dirty, shelf, model = DirtyWrites(), bytearray(), bytearray()

    def apply(to: bytearray, at: int, data: bytes) -> None:
        if len(to) < at:
            to += bytes(at - len(to))
        to[at : at + len(data)] = data

    for n, (at, data) in enumerate(rows):
        dirty.add(0.0, make_write(n, offset=at, data=data))
        apply(model, at, data)
    for _ in range(min(landed, len(rows))):
        first = next(dirty.ready_writes())
        dirty.remove(first)
        apply(shelf, first.offset, first.data)
    wanted = bytes(model[offset : offset + length])
    assert dirty.overlay("v", "x", offset, length, bytes(shelf[offset : offset + length])) == wanted
    covered = dirty.read_covered("v", "x", offset, length)
    assert covered is None or covered == wanted


def test_order_within_an_extent_and_across_a_barrier() -> None:
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


def test_when_writes_go_and_when_no_more_are_taken() -> None:
    policy, dirty = WritebackPolicy(100, 1000.0, 50.0, 8), DirtyWrites()
    dirty.add(0.0, make_write(1, "a", slot=0))
    assert policy.due_writes(10.0, dirty) == [] and policy.next_wake_ms(10.0, dirty) == 50.0  # it waits for others
    assert [w.number for w in policy.due_writes(50.0, dirty)] == [1]
    policy.flush("v", 1)
    assert [w.number for w in policy.due_writes(10.0, dirty)] == [1]  # asked for
    dirty.in_flight[1] = None
    assert policy.due_writes(60.0, dirty) == []
    del dirty.in_flight[1]
    policy.record_failure(60.0, make_write(1, "a"), 300.0)
    assert policy.due_writes(200.0, dirty) == [] and policy.next_wake_ms(200.0, dirty) == 360.0  # its shelf is away
    dirty.add(0.0, make_write(2, "b", slot=1))
    assert [w.number for w in policy.due_writes(200.0, dirty)] == [2]  # the others' go on
    assert policy.check_write(200.0, dirty, 90, None) is None
    assert "bytes wait" in policy.check_write(200.0, dirty, 95, None).reason
    assert "has waited" in policy.check_write(1500.0, dirty, 1, None).reason
    failure = JournalFailedError("the journal failed")
    assert policy.check_write(200.0, dirty, 1, failure) == WriteRejection("the journal failed", 0.0)


def test_after_a_restart_few_go_at_first_and_each_is_looked_for() -> None:
    policy, dirty = WritebackPolicy(1 << 20, 1e9, 50.0, 16), DirtyWrites()
    for n in range(40):
        dirty.add(0.0, make_write(n, f"x{n}", slot=n % 4), maybe_applied=True)
    assert len(policy.due_writes(0.0, dirty)) == 2
    for n in range(30):
        policy.record_success(make_write(n, f"x{n}", slot=n % 4))
    assert 6 <= len(policy.due_writes(40.0, dirty)) <= 16
    one = make_write(1)
    assert [next_step(one, False, None), next_step(one, True, None)] == [WritebackStep.WRITE, WritebackStep.READ_BACK]
    steps = [next_step(one, True, b"data"), next_step(one, True, b"else")]
    assert steps == [WritebackStep.DONE, WritebackStep.WRITE]


def commits(lasts: Any, records: list[Any]) -> tuple[Committer, list[bool]]:
    _, journal = new_journal()
    committer, told = Committer(journal, lasts), []
    for record in records:
        committer.add(record, told.append)
    asyncio.run(committer.run())
    return committer, told


def test_one_sync_serves_all_who_wait() -> None:
    synced: list[Batch] = []

    async def lasts(batch: Batch) -> None:
        synced.append(batch)

    committer, told = commits(lasts, [make_write(n) for n in range(1, 101)])
    assert told == [True] * 100 and len(synced) == 1 and committer.record_count == 100


def test_a_sync_that_fails_once_is_never_taken_for_one_that_worked() -> None:
    tries = []

    async def lasts(batch: Batch) -> None:
        tries.append(batch)
        raise OSError(5, "Input/output error")

    committer, told = commits(lasts, [make_write(1), make_write(2)])
    assert told == [False, False] and "Input/output error" in str(committer.failure)
    committer.add(make_write(3), told.append)
    asyncio.run(committer.run())
    assert told == [False] * 3 and len(tries) == 1  # it was not tried again
