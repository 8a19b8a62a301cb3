"""Storage of a Raft instance: what it reads back, torn and damaged files, failing and full disks."""

from __future__ import annotations

import random

import pytest
from raft_cluster import FIVE, World

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.raft import Entry, HardState, Log, Membership, Snapshot, initial_snapshot
from pebblehinge.raft.errors import IdentityError, LogError, StorageDamagedError, StorageFailedError
from pebblehinge.raft.identity import ensure_identity
from pebblehinge.raft.storage import SEGMENT_BYTES, Storage
from pebblehinge.store.disk import RealDisk


def entries(low: int, high: int, term: int = 1) -> list[Entry]:
    return [Entry(term, i, 1, f"d{i}".encode()) for i in range(low, high + 1)]


def test_what_is_stored_is_read_back_and_cuts_hold() -> None:
    disk = FaultyDisk(random.Random(1))
    storage = Storage(disk)
    storage.store(HardState(3, "b"), None, entries(1, 5), None)
    storage.store(None, 4, entries(4, 6, 2), None)
    again = Storage(disk)
    assert again.hard_state == HardState(3, "b")
    assert again.entries == entries(1, 3) + entries(4, 6, 2)


def test_a_torn_tail_is_cut_and_damage_before_it_is_refused() -> None:
    disk = FaultyDisk(random.Random(1))
    Storage(disk).store(None, None, entries(1, 3), None)
    name = next(n for n in disk.names() if n.startswith("log-"))
    whole = bytes(disk.files[name])
    for kept in range(len(whole)):
        disk.files[name] = bytearray(whole[:kept])
        found = Storage(disk).entries
        assert found == entries(1, len(found))
    disk.files[name] = bytearray(whole + b"\0" * 40)
    assert Storage(disk).entries == entries(1, 3)
    hurt = bytearray(whole)
    hurt[12] ^= 1
    disk.files[name] = hurt
    with pytest.raises(StorageDamagedError, match="the record at byte 0 is damaged"):
        Storage(disk)
    disk.files[name] = bytearray(whole)
    Storage(disk).store(HardState(1, "a"), None, [], None)
    disk.files["raft.state"][5] ^= 1
    with pytest.raises(StorageDamagedError, match="raft.state is damaged"):
        Storage(disk)


@pytest.mark.parametrize("how", ["append", "sync"])
def test_a_disk_that_fails_stops_the_instance_for_good(how: str) -> None:
    disk = FaultyDisk(random.Random(1))
    storage = Storage(disk)
    storage.store(None, None, entries(1, 2), None)
    disk.fail = how
    with pytest.raises(StorageFailedError, match="this member has stopped"):
        storage.store(None, None, entries(3, 3), None)
    disk.fail = ""  # a later success says nothing of what was lost before
    with pytest.raises(StorageFailedError, match="this member has stopped"):
        storage.store(None, None, entries(4, 4), None)


def test_an_instance_whose_disk_fills_up_stops_and_the_others_go_on() -> None:
    world = World(FIVE, 10)
    leader = world.until(world.leader)
    full = world.instances[next(n for n in FIVE if n != leader.name)]
    full.disk.room = 10
    for i in range(10):
        world.propose(f"x{i}")
        world.run(2)
    world.until(lambda: leader.applied[-1:] == ["x9"])
    assert not full.up
    full.disk.room = None
    full.start()
    world.until(lambda: full.applied == leader.applied)


def test_snapshots_reclaim_segments_on_a_real_disk(tmp_path) -> None:
    disk = RealDisk(tmp_path)
    storage = Storage(disk)
    big = [Entry(1, i, 1, b"z" * (SEGMENT_BYTES // 3)) for i in range(1, 8)]
    for entry in big:
        storage.store(None, None, [entry], None)
    assert len([n for n in disk.names() if n.startswith("log-")]) == 3
    storage.store(None, None, [], Snapshot(1, 6, Membership(("a",)), b"state"))
    again = Storage(RealDisk(tmp_path))
    assert again.snapshot.index == 6 and [e.index for e in again.entries] == [7]
    assert len([n for n in disk.names() if n.startswith("log-")]) == 1
    assert [n for n in disk.names() if n.startswith("snap-")] == ["snap-000000000006.raft"]
    disk.close()


def test_a_log_with_a_hole_is_refused() -> None:
    with pytest.raises(LogError):
        Log(initial_snapshot(["a"]), [Entry(1, 2, 1)])
    disk = FaultyDisk(random.Random(1))
    Storage(disk).store(None, None, [*entries(1, 2), *entries(4, 5)], None)
    with pytest.raises(StorageDamagedError, match="entry 3 is missing"):
        Storage(disk)


def lost_at_a_power_cut(seed: int) -> bool:
    disk = FaultyDisk(random.Random(seed))
    storage = Storage(disk)
    storage.store(HardState(2, "a"), None, entries(1, 4), None)
    storage.store(None, 3, entries(3, 5, 2), None)
    disk.crash()
    again = Storage(disk)
    return (again.hard_state, again.entries) != (HardState(2, "a"), entries(1, 2) + entries(3, 5, 2))


def test_what_was_stored_survives_a_power_cut_and_without_fsync_it_would_not(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(lost_at_a_power_cut(seed) for seed in range(50))
    monkeypatch.setattr(FaultyDisk, "sync", lambda self, name: None)
    assert any(lost_at_a_power_cut(seed) for seed in range(50))


def test_a_folder_is_one_members_of_one_group() -> None:
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
