"""Tests of a Raft member's storage: reading back, torn and damaged files, failing and full disks."""

from __future__ import annotations

import random

import pytest
from raft_cluster import MEMBER_NAMES, Cluster

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.raft import Entry, HardState, Log, Membership, Snapshot, initial_snapshot
from pebblehinge.raft.errors import IdentityError, LogError, StorageDamagedError, StorageFailedError
from pebblehinge.raft.identity import ensure_identity
from pebblehinge.raft.storage import SEGMENT_BYTES, Storage
from pebblehinge.store.disk import RealDisk


def make_entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [Entry(term, i, 1, f"d{i}".encode()) for i in range(first, last + 1)]


def test_stored_state_and_truncations_are_read_back() -> None:
    disk = FaultyDisk(random.Random(1))
    storage = Storage(disk)
    storage.store(HardState(3, "b"), None, make_entries(1, 5), None)
    storage.store(None, 4, make_entries(4, 6, 2), None)
    reopened = Storage(disk)
    assert reopened.hard_state == HardState(3, "b")
    assert reopened.entries == make_entries(1, 3) + make_entries(4, 6, 2)


def test_torn_tail_is_truncated_and_earlier_damage_is_rejected() -> None:
    disk = FaultyDisk(random.Random(1))
    Storage(disk).store(None, None, make_entries(1, 3), None)
    name = next(n for n in disk.names() if n.startswith("log-"))
    content = bytes(disk.files[name])
    for size in range(len(content)):
        disk.files[name] = bytearray(content[:size])
        loaded = Storage(disk).entries
        assert loaded == make_entries(1, len(loaded))
    disk.files[name] = bytearray(content + b"\0" * 40)
    assert Storage(disk).entries == make_entries(1, 3)
    damaged = bytearray(content)
    damaged[12] ^= 1
    disk.files[name] = damaged
    with pytest.raises(StorageDamagedError, match="the record at byte 0 is damaged"):
        Storage(disk)
    disk.files[name] = bytearray(content)
    Storage(disk).store(HardState(1, "a"), None, [], None)
    disk.files["raft.state"][5] ^= 1
    with pytest.raises(StorageDamagedError, match="raft.state is damaged"):
        Storage(disk)


@pytest.mark.parametrize("operation", ["append", "sync"])
def test_failed_disk_operation_stops_the_storage_permanently(operation: str) -> None:
    disk = FaultyDisk(random.Random(1))
    storage = Storage(disk)
    storage.store(None, None, make_entries(1, 2), None)
    disk.fail = operation
    with pytest.raises(StorageFailedError, match="this member has stopped"):
        storage.store(None, None, make_entries(3, 3), None)
    disk.fail = ""  # a later success would not bring back what the failed write lost
    with pytest.raises(StorageFailedError, match="this member has stopped"):
        storage.store(None, None, make_entries(4, 4), None)


def test_member_with_a_full_disk_stops_and_the_others_continue() -> None:
    cluster = Cluster(MEMBER_NAMES, 10)
    leader = cluster.run_until(cluster.leader)
    full_member = cluster.members[next(n for n in MEMBER_NAMES if n != leader.name)]
    full_member.disk.free_bytes = 10
    for i in range(10):
        cluster.propose(f"x{i}")
        cluster.run(2)
    cluster.run_until(lambda: leader.applied_texts[-1:] == ["x9"])
    assert not full_member.is_running
    full_member.disk.free_bytes = None
    full_member.start()
    cluster.run_until(lambda: full_member.applied_texts == leader.applied_texts)


def test_snapshot_removes_covered_segments_on_a_real_disk(tmp_path) -> None:
    disk = RealDisk(tmp_path)
    storage = Storage(disk)
    large_entries = [Entry(1, i, 1, b"z" * (SEGMENT_BYTES // 3)) for i in range(1, 8)]
    for entry in large_entries:
        storage.store(None, None, [entry], None)
    assert len([n for n in disk.names() if n.startswith("log-")]) == 3
    storage.store(None, None, [], Snapshot(1, 6, Membership(("a",)), b"state"))
    reopened = Storage(RealDisk(tmp_path))
    assert reopened.snapshot.index == 6 and [e.index for e in reopened.entries] == [7]
    assert len([n for n in disk.names() if n.startswith("log-")]) == 1
    assert [n for n in disk.names() if n.startswith("snap-")] == ["snap-000000000006.raft"]
    disk.close()


def test_log_with_a_gap_is_rejected() -> None:
    with pytest.raises(LogError):
        Log(initial_snapshot(["a"]), [Entry(1, 2, 1)])
    disk = FaultyDisk(random.Random(1))
    Storage(disk).store(None, None, [*make_entries(1, 2), *make_entries(4, 5)], None)
    with pytest.raises(StorageDamagedError, match="entry 3 is missing"):
        Storage(disk)


def loses_data_at_power_failure(seed: int) -> bool:
    disk = FaultyDisk(random.Random(seed))
    storage = Storage(disk)
    storage.store(HardState(2, "a"), None, make_entries(1, 4), None)
    storage.store(None, 3, make_entries(3, 5, 2), None)
    disk.crash()
    reopened = Storage(disk)
    return (reopened.hard_state, reopened.entries) != (HardState(2, "a"), make_entries(1, 2) + make_entries(3, 5, 2))


def test_stored_data_survives_power_failure_because_of_fsync(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(loses_data_at_power_failure(seed) for seed in range(50))
    monkeypatch.setattr(FaultyDisk, "sync", lambda self, name: None)
    assert any(loses_data_at_power_failure(seed) for seed in range(50))


def test_storage_folder_belongs_to_one_member_of_one_group() -> None:
    disk = FaultyDisk(random.Random(1))
    with pytest.raises(IdentityError, match="^the folder is empty: if a has never run before, say --begin"):
        ensure_identity(disk, "grp", "a", allow_empty=False)
    ensure_identity(disk, "grp", "a", allow_empty=True)
    ensure_identity(disk, "grp", "a", allow_empty=False)
    with pytest.raises(IdentityError, match="^the folder is a's of group 'grp', not b's of 'grp'$"):
        ensure_identity(disk, "grp", "b", allow_empty=True)
    disk.remove("raft.identity")
    Storage(disk).store(HardState(1, "a"))
    with pytest.raises(IdentityError, match="^the folder holds a log and no identity"):
        ensure_identity(disk, "grp", "a", allow_empty=True)
