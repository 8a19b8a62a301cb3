"""The journal, the buffer and its decisions; a head that is killed, a disk that loses, fails and fills up."""

from __future__ import annotations

import asyncio
import json
import math
import random
import subprocess
import sys
from typing import Any

import pytest
from helpers import FLEET, Rig, config, on_rig, until
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblehinge.decide import Head
from pebblehinge.head.writeback import Back
from pebblehinge.interface import Entry, ListKind, Outcome, Standing
from pebblehinge.lab import crash
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.settings import SettingsError
from pebblehinge.store import memory
from pebblehinge.store.committer import Committer
from pebblehinge.store.dirty import Dirty
from pebblehinge.store.disk import RealDisk, StorageError
from pebblehinge.store.flushing import Flushing, next_step
from pebblehinge.store.journal import (
    HEADER,
    Barrier,
    Batch,
    Done,
    Journal,
    Write,
    fence,
    look,
    name_of,
    read_segment,
)  # fmt: skip
from pebblehinge.wire import Kind


def write(
    number: int, extent: str = "x", offset: int = 0, data: bytes = b"data", volume: str = "v", slot: int = 0
) -> Write:
    return Write(number, volume, extent, slot, offset, data, f"l{number}", "save", 1.0)


def put(journal: Journal, disk: FaultyDisk, *records: Any) -> None:
    batch = journal.add(list(records))
    disk.append(batch.name, batch.data)
    disk.sync(batch.name)
    journal.synced(batch)


def fresh(seed: int = 1) -> tuple[FaultyDisk, Journal]:
    disk = FaultyDisk(random.Random(seed))
    journal = Journal(disk)
    journal.begin()
    return disk, journal


# ---- the journal


def test_what_was_synced_is_read_back_without_what_is_done() -> None:
    disk, journal = fresh()
    put(journal, disk, write(1), write(2), Barrier(3, "v"), write(4))
    put(journal, disk, Done([1, 4]))
    again = Journal(disk)
    again.begin()
    assert list(again.writes) == [2] and list(again.barriers) == [3] and again.number == 4


def test_a_tail_that_was_cut_off_anywhere_is_cut_and_what_is_before_stands() -> None:
    disk, journal = fresh()
    put(journal, disk, write(1))
    put(journal, disk, write(2))
    whole = bytes(disk.files[name_of(1)])
    first = len(whole) - (len(whole) - HEADER.size) // 2
    for kept in range(len(whole)):
        batches, sound = read_segment("j", whole[:kept], True)
        assert len(batches) == (kept >= first) and sound <= kept
    torn = bytes(HEADER.size + 9) + whole[HEADER.size + 9 : first]
    assert read_segment("j", torn, True) == ([], 0)  # the first sector of a new file never came to the disk
    holes = bytearray(whole)
    holes[first + 8 : first + 20] = bytes(12)  # the last batch, torn in its middle
    assert len(read_segment("j", bytes(holes), True)[0]) == 1


def test_damage_in_what_was_promised_is_refused_with_its_place() -> None:
    disk, journal = fresh()
    for n in range(1, 4):
        put(journal, disk, write(n))
    name = name_of(1)
    whole = bytes(disk.files[name])
    for at in range(HEADER.size, HEADER.size + 45, 7):
        hurt = bytearray(whole)
        hurt[at] ^= 16
        disk.files[name] = hurt
        with pytest.raises(StorageError, match=r"the batch at byte 22 is damaged and had been promised \(a sound one"):
            Journal(disk).begin()
    told = look(disk)
    assert len(told["writes"]) == 2 and "promised" in told["damage"][0]  # the others can still be exported
    newer = bytearray(whole)
    newer[9] = 9
    disk.files[name] = newer
    with pytest.raises(StorageError, match="newer version"):
        Journal(disk).begin()


def test_numbers_are_never_given_twice_though_segments_go() -> None:
    """What an earlier life noted as done must not end a write of this one."""
    disk, journal = fresh()
    numbers = [journal.next_number() for _ in range(3)]
    put(journal, disk, *(write(n) for n in numbers))
    put(journal, disk, Done(numbers))
    for _ in range(3):
        journal = Journal(disk)
        journal.begin()
        n = journal.next_number()
        assert n not in numbers
        numbers.append(n)
        put(journal, disk, write(n))
        assert n in journal.writes


def test_space_is_reclaimed_and_live_records_of_old_segments_move_on() -> None:
    disk = FaultyDisk(random.Random(1))
    journal = Journal(disk, 3000)
    journal.begin()
    for n in range(1, 60):
        put(journal, disk, write(n, data=b"z" * 200))
    assert len(disk.files) > 4
    put(journal, disk, Done([n for n in range(1, 60) if n not in (3, 30)]))
    journal.reclaim()
    moved = journal.sparse()
    assert [r.number for r in moved] == [3, 30]
    put(journal, disk, *moved)
    journal.reclaim()
    assert len(disk.files) <= 2
    again = Journal(disk)
    again.begin()
    assert list(again.writes) == [3, 30]


def test_a_fenced_folder_and_one_in_use_are_refused(tmp_path: Any) -> None:
    disk = RealDisk(tmp_path)
    disk.own()
    with pytest.raises(StorageError, match="in use by another process"):
        RealDisk(tmp_path).own()
    fence(disk, "replay through b:1")
    with pytest.raises(StorageError, match=r"taken over \(replay through b:1\)"):
        Journal(disk).begin()


# ---- what is dirty


WRITES = st.lists(st.tuples(st.integers(0, 30), st.binary(min_size=1, max_size=12)), max_size=12)


@settings(deadline=None)
@given(WRITES, st.integers(0, 30), st.integers(1, 20), st.integers(0, 12))
def test_reads_show_the_newest_bytes(rows: list[tuple[int, bytes]], offset: int, length: int, landed: int) -> None:
    """Against a plain model: the extent as it would be were every write through."""
    dirty, shelf, model = Dirty(), bytearray(), bytearray()

    def apply(to: bytearray, at: int, data: bytes) -> None:
        if len(to) < at:
            to += bytes(at - len(to))
        to[at : at + len(data)] = data

    for n, (at, data) in enumerate(rows):
        dirty.add(0.0, write(n, offset=at, data=data))
        apply(model, at, data)
    for _ in range(min(landed, len(rows))):
        first = next(dirty.may_go())
        dirty.landed(first)
        apply(shelf, first.offset, first.data)
    wanted = bytes(model[offset : offset + length])
    assert dirty.over("v", "x", offset, length, bytes(shelf[offset : offset + length])) == wanted
    covered = dirty.newest("v", "x", offset, length)
    assert covered is None or covered == wanted


def test_order_within_an_extent_and_across_a_barrier() -> None:
    dirty = Dirty()
    for n, extent in ((1, "a"), (2, "a"), (3, "b")):
        dirty.add(0.0, write(n, extent))
    dirty.barrier(Barrier(4, "v"))
    dirty.add(0.0, write(5, "c"))
    dirty.add(0.0, write(6, "q", volume="other"))
    assert [w.number for w in dirty.may_go()] == [1, 3, 6]
    for n in (1, 3):
        dirty.landed(next(w for w in dirty.may_go() if w.number == n))
    assert sorted(w.number for w in dirty.may_go()) == [2, 6] and not dirty.clean("v", 3)
    dirty.landed(next(w for w in dirty.may_go() if w.number == 2))
    assert sorted(w.number for w in dirty.may_go()) == [5, 6] and dirty.clean("v", 3) and not dirty.clean("v", 5)


def test_when_writes_go_and_when_no_more_are_taken() -> None:
    flushing, dirty = Flushing(100, 1000.0, 50.0, 8), Dirty()
    dirty.add(0.0, write(1, "a", slot=0))
    assert flushing.due(10.0, dirty) == [] and flushing.wake_ms(10.0, dirty) == 50.0  # it waits for others
    assert [w.number for w in flushing.due(50.0, dirty)] == [1]
    flushing.flush("v", 1)
    assert [w.number for w in flushing.due(10.0, dirty)] == [1]  # asked for
    dirty.out[1] = None
    assert flushing.due(60.0, dirty) == []
    del dirty.out[1]
    flushing.ended(60.0, dirty, write(1, "a"), "pushed back", 300.0)
    assert flushing.due(200.0, dirty) == [] and flushing.wake_ms(200.0, dirty) == 360.0  # its shelf is away
    dirty.add(0.0, write(2, "b", slot=1))
    assert [w.number for w in flushing.due(200.0, dirty)] == [2]  # the others' go on
    assert flushing.refuses(200.0, dirty, 90, "") is None
    assert "bytes wait" in flushing.refuses(200.0, dirty, 95, "")[0]
    assert "has waited" in flushing.refuses(1500.0, dirty, 1, "")[0]
    assert flushing.refuses(200.0, dirty, 1, "the journal failed") == ("the journal failed", 0.0)


def test_after_a_restart_few_go_at_first_and_each_is_looked_for() -> None:
    flushing, dirty = Flushing(1 << 20, 1e9, 50.0, 16), Dirty()
    for n in range(40):
        dirty.add(0.0, write(n, f"x{n}", slot=n % 4), risky=True)
    assert len(flushing.due(0.0, dirty)) == 2
    for n in range(30):
        flushing.ended(float(n), dirty, write(n, f"x{n}", slot=n % 4), "honoured", 0.0)
    assert 6 <= len(flushing.due(40.0, dirty)) <= 16
    one = write(1)
    assert [next_step(one, False, None), next_step(one, True, None)] == ["write", "look"]
    assert [next_step(one, True, b"data"), next_step(one, True, b"else")] == ["done", "write"]


# ---- commits


def commits(lasts: Any, records: list[Any]) -> tuple[Committer, list[bool]]:
    _, journal = fresh()
    committer, told = Committer(journal, lasts), []
    for record in records:
        committer.add(record, told.append)
    asyncio.run(committer.run())
    return committer, told


def test_one_sync_serves_all_who_wait() -> None:
    synced: list[Batch] = []

    async def lasts(batch: Batch) -> None:
        synced.append(batch)

    committer, told = commits(lasts, [write(n) for n in range(1, 101)])
    assert told == [True] * 100 and len(synced) == 1 and committer.records == 100


def test_a_sync_that_fails_once_is_never_taken_for_one_that_worked() -> None:
    tries = []

    async def lasts(batch: Batch) -> None:
        tries.append(batch)
        raise OSError(5, "Input/output error")

    committer, told = commits(lasts, [write(1), write(2)])
    assert told == [False, False] and "Input/output error" in committer.failed
    committer.add(write(3), told.append)
    asyncio.run(committer.run())
    assert told == [False] * 3 and len(tries) == 1  # it was not tried again


# ---- a running head


BUFFERED = """
profile bring {
    importance 1
    expected 400ms
    patience 2s
    repeat labelled
    group all
    window 5s
}
volume b {
    plan gold
    slots 0 1
    save buffered
    back bring
}
buffer {
    delay 5ms
    most 64KiB
    patience 1s
    stop 6s
}
"""


class OnDisk:
    """What a head is given: a disk in memory, and syncs that a test may hold up or fail."""

    def __init__(self) -> None:
        self.disk = FaultyDisk(random.Random(1))
        self.hold: asyncio.Future[None] | None = None
        self.fail = False

    async def lasts(self, batch: Batch) -> None:
        self.disk.append(batch.name, batch.data)
        if self.hold is not None:
            await self.hold
        if self.fail:
            raise OSError(28, "No space left on device")
        self.disk.sync(batch.name)


async def buffered(rig: Rig, disk: OnDisk) -> Back:
    """Starts the rig's head anew, with a journal."""
    from pebblehinge.head import HeadServer
    from pebblehinge.lab.village import Quiet

    rig.kill_head()
    await asyncio.sleep(0.02)
    rig.head = HeadServer(rig.loop, rig.clock, rig.config, "h1", Quiet())
    rig.head.buffer(disk.disk, disk.lasts)
    await rig.head.start()
    await until(lambda: len(rig.head.core.module.at_slot) == len(rig.shelfs))
    assert rig.head.back is not None
    return rig.head.back


WHERE = {"profile": "save", "slot": 0, "units": 1.0, "patience_ms": 1000.0}


def test_a_time_that_is_no_number_is_refused_at_the_door_and_the_connection_goes_on() -> None:
    """Seen: it cut the connection with all that was open on it, buffered or not."""

    async def script(rig: Rig) -> None:
        await buffered(rig, OnDisk())
        client, seen = await rig.client(), []
        client.noted = lambda event, **values: seen.append((event, values.get("id"), values.get("final")))
        for n, (volume, left) in enumerate([("b", math.inf), ("b", math.nan), ("v", math.inf), ("v", math.nan)]):
            rest = (None, "save", "x", 0, 1.0, left, None, None, 1, 0, 1, b"1")
            client.send(Kind.TAKE, 900 + n, f"t{n}", volume, *rest)
        await until(lambda: len(seen) == 4)
        assert seen == [("extra", str(900 + n), "pushed back") for n in range(4)]
        assert (await client.write("b", "x", b"hello", **WHERE)).honoured

    on_rig(script, BUFFERED)


def test_a_write_is_confirmed_from_the_journal_and_read_back_before_it_lands() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        back = await buffered(rig, disk)
        rig.shelfs[0].does = lambda trip: None  # takes, never answers
        client = await rig.client()
        got = await client.write("b", "x", b"hello", **WHERE)
        assert got.honoured
        assert (await client.read("b", "x", 5, **WHERE)).data == b"hello"
        assert (await client.barrier("b", profile="save", patience_ms=500.0)).honoured
        got = await client.flush_volume("b", profile="save", patience_ms=300.0)
        assert got.final == "terminated"  # it does not stand there, and is not said to
        rig.shelfs[0].does = lambda trip: trip.answer(0, b"" if trip.op else b"other")
        await until(lambda: not len(back.dirty), 8.0)
        assert (await client.flush_volume("b", profile="save", patience_ms=300.0)).honoured
        landed = [t for t in rig.shelfs[0].trips if t.op == 1]
        assert landed[-1].data == b"hello" and landed[-1].label.startswith("wb.")

    on_rig(script, BUFFERED)


def test_a_disk_that_fails_confirms_nothing_and_the_head_says_so() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        await buffered(rig, disk)
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **WHERE)).honoured
        disk.fail = True
        got = await client.write("b", "y", b"2", **WHERE)
        assert got.final == "terminated" and "No space left" in got.reason
        disk.fail = False
        got = await client.write("b", "z", b"3", **WHERE)
        assert got.final == "pushed back" and "buffers no more" in got.reason
        assert (await client.write("v", "q", b"4", **WHERE)).honoured  # other volumes go on

    on_rig(script, BUFFERED)


def test_a_sync_that_takes_longer_than_its_client_waits_is_not_claimed() -> None:
    async def script(rig: Rig) -> None:
        disk = OnDisk()
        await buffered(rig, disk)
        disk.hold = rig.loop.create_future()
        client = await rig.client()
        got = await client.write("b", "x", b"1", **{**WHERE, "patience_ms": 200.0})
        assert got.final == "terminated" and got.took_ms < 250.0
        disk.hold.set_result(None)
        disk.hold = None
        await asyncio.sleep(0.05)
        assert client.open == {} and (await client.write("b", "y", b"2", **WHERE)).honoured

    on_rig(script, BUFFERED)


def test_a_full_buffer_refuses_and_a_stop_brings_all_to_the_shelfs() -> None:
    async def script(rig: Rig) -> None:
        back = await buffered(rig, OnDisk())
        rig.shelfs[0].does = lambda trip: None
        client = await rig.client()
        ends = [await client.write("b", f"x{n}", b"z" * 20_000, **WHERE) for n in range(5)]
        assert [e.final for e in ends] == ["honoured"] * 3 + ["pushed back"] * 2
        assert "wait for their shelfs" in ends[-1].reason
        assert len(back.dirty) == 3
        rig.head.stop("the test says so")
        rig.loop.call_later(0.2, lambda: [trip.answer() for trip in rig.shelfs[0].trips])
        rig.shelfs[0].does = lambda trip: trip.answer()
        began = rig.clock()
        await asyncio.wait_for(rig.head.stopped, 8.0)
        assert not len(back.dirty) and not back.landed
        assert rig.clock() - began < 2000.0  # once all is noted it ends, and not with its grace

    on_rig(script, BUFFERED)


def test_a_write_that_was_buffered_before_its_plan_changed_lands_by_the_new_one() -> None:
    async def script(rig: Rig) -> None:
        back = await buffered(rig, OnDisk())
        rig.shelfs[0].does = lambda trip: None
        client = await rig.client()
        assert (await client.write("b", "x", b"1", **WHERE)).honoured
        new = config(BUFFERED.replace("volume b {\n    plan gold", "volume b {\n    plan capped"), FLEET)
        rig.head.adopt(new)
        for trip in rig.shelfs[0].trips:
            trip.answer()
        rig.shelfs[0].does = lambda trip: trip.answer()
        ends = [await client.write("b", f"y{n}", b"2", **WHERE) for n in range(30)]
        assert all(e.honoured for e in ends)  # confirming costs no units
        began = rig.clock()
        await until(lambda: not len(back.dirty), 10.0)
        # Ten units a second and a store that began empty: each write-back was counted there, once.
        assert rig.clock() - began > 1500.0
        assert len([t for t in rig.shelfs[0].trips if t.op == 1]) == 31

    on_rig(script, BUFFERED)


def test_settings_of_buffered_volumes_are_checked() -> None:
    bad = BUFFERED.replace("back bring", "back save\n    heads 2")
    with pytest.raises(SettingsError) as raised:
        config(bad, FLEET)
    assert "is buffered, back 'save'" in str(raised.value) and "through 2 heads" in str(raised.value)


# ---- crashes


@pytest.mark.parametrize("block", range(4))
def test_confirmed_writes_stand_once_whenever_the_head_dies(block: int) -> None:
    told = crash.summed([crash.one(seed, 2) for seed in range(3 * block, 3 * block + 3)])
    assert crash.sound(told) and told["confirmed"] > 500, told


class NoSync(FaultyDisk):
    """Says that it synced."""

    def sync(self, name: str) -> None:
        pass


def broken(seeds: range, disk: type[FaultyDisk] = FaultyDisk) -> dict[str, Any]:
    rounds = []
    for seed in seeds:
        try:
            rounds.append(crash.Virtual(seed, disk).play(2))
        except (RuntimeError, StorageError) as error:
            rounds.append({"first": str(error), "fault": 1})
        if not crash.sound(rounds[-1]):
            break
    return crash.summed(rounds)


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
    monkeypatch.setattr("pebblehinge.head.writeback.next_step", lambda write, risky, read_back: "write")
    monkeypatch.setattr("pebblehinge.shelf.contents.Contents.done", lambda self, label, now, window: False)
    assert broken(range(10))["doubled"]


def test_barriers_that_are_forgotten_are_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Dirty, "barrier", lambda self, barrier: None)
    assert broken(range(10))["order_broken"]


def test_heads_are_killed_as_processes() -> None:
    done = subprocess.run([sys.executable, "-m", "pebblehinge", "lab", "crash", "--rounds", "2", "--json", "--quiet"],
                          capture_output=True, text=True, timeout=60)  # fmt: skip
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["confirmed"] > 20 and told["missing"] == 0, told


def test_a_folder_is_looked_at_exported_and_verified(tmp_path: Any) -> None:
    disk = RealDisk(tmp_path / "h1")
    journal = Journal(disk)
    journal.begin()
    batch = journal.add([write(1, "a/b", 2, b"hello"), write(2, "c"), Done([2])])
    disk.append(batch.name, batch.data)
    disk.close()

    def ask(*words: str) -> tuple[int, str]:
        done = subprocess.run([sys.executable, "-m", "pebblehinge", "store", *words], capture_output=True, text=True)
        return done.returncode, done.stdout

    code, said = ask("inspect", str(tmp_path / "h1"), "--json")
    assert code == 0 and json.loads(said)["live"] == 1 and json.loads(said)["live_bytes"] == 5
    assert ask("verify", str(tmp_path / "h1"))[0] == 0
    assert ask("export", str(tmp_path / "h1"), str(tmp_path / "out"))[0] == 0
    assert (tmp_path / "out" / "v" / "a%2Fb").read_bytes() == b"\0\0hello"
    raw = bytearray((tmp_path / "h1" / batch.name).read_bytes())
    raw[40] ^= 1
    (tmp_path / "h1" / batch.name).write_bytes(bytes(raw) + raw[HEADER.size :][:0])
    (tmp_path / "h1" / name_of(9)).write_bytes(b"")
    code, said = ask("verify", str(tmp_path / "h1"))
    assert code == 1 and "byte 22" in said


# ---- what a head has learned


def learned(seed: int = 1, now: float = 10_000.0) -> Head:
    """A head that has seen two shelfs, one of them slow."""
    head = Head(config("", FLEET).module_settings(config("", FLEET).head["h1"]), seed, 0.0)
    head.start(0.0)
    head.listed(0.0, ListKind.WHOLE, [Entry("A", Standing.READY, 0, 0.0), Entry("B", Standing.READY, 1, 0.0)])
    for n in range(20):
        for slot in (0, 1):
            at = 100.0 * n + slot
            access, _ = head.take(at, n * 2 + slot, f"x{slot}", "look", "gold", "v", 1, slot, 2.0, at + 2000.0)
            for number, trip in enumerate(access.drain()[0]):
                access.ended(at + 20.0 + 60 * slot, number, Outcome.HONOURED, True, 20.0 + 60 * slot)
                assert trip.shelf in ("A", "B")
    return head


def life(state: Any, age: float, whole: bool = False, now: float = 50_000.0) -> Head:
    settings_ = config("", FLEET)
    head = Head(settings_.module_settings(settings_.head["h1"]), 2, now)
    head.recall(now, state, age, whole)
    head.listed(now, ListKind.WHOLE, [Entry("A", Standing.READY, 0, 0.0), Entry("B", Standing.READY, 1, 0.0)])
    return head


def test_what_was_learned_counts_less_the_longer_it_lay() -> None:
    old = learned()
    state = old.remembered(2_100.0)
    fresh_ = life(state, 100.0)
    known = {n: fresh_._mean(s, 50_000.0) for s, n in enumerate(fresh_.names)}
    assert known["B"] > 1.5 * known["A"] > 0 and fresh_.low_ms == old.low_ms
    aged = [life(state, age) for age in (100.0, 3_000.0, 30_000.0, 600_000.0)]
    gaps = [abs(h._mean(0, 50_000.0) - h._mean(1, 50_000.0)) for h in aged]
    assert gaps == sorted(gaps, reverse=True) and gaps[-1] < 1e-6
    counts = [sum(h.extents["x0"].counts.values()) if "x0" in h.extents else 0.0 for h in aged]
    assert counts == sorted(counts, reverse=True) and counts[0] > 0
    assert aged[-1].low_ms == 0.0 and aged[-1].usual_worth == 0.0


def test_units_of_a_limit_are_known_only_where_nothing_was_sent_since() -> None:
    state = learned().remembered(2_100.0) | {"limits": {"c": (7.0, 100.0)}}
    assert "c" not in life(state, 1000.0, whole=False).stores
    head = life(state, 1000.0, whole=True)
    assert head.stores["c"].limit == 7.0 and head.stores["c"].at_ms == 48_900.0


def snapshot(**more: Any) -> bytes:
    values = {"head": "h1", "settings": "s", "wall_ms": 1e6, "up_ms": 5e5, "boot": "b", "whole": True}
    return memory.packed(memory.Kept(**{**values, **more}, state=learned().remembered(2_100.0)))


def test_a_snapshot_cut_off_or_damaged_anywhere_is_none() -> None:
    """Killed while it was written, at every byte: sound knowledge, or none."""
    data = snapshot()
    assert memory.read(data).head == "h1"
    for kept in range(len(data)):
        with pytest.raises(StorageError):
            memory.read(data[:kept])
    for at in range(len(data)):
        hurt = bytearray(data)
        hurt[at] ^= 8
        with pytest.raises(StorageError):
            memory.read(bytes(hurt))


def test_whose_and_how_old_a_snapshot_is() -> None:
    def ask(data: bytes, **more: Any) -> Any:
        values = {"head": "h1", "settings": "s", "wall_ms": 1e6 + 9, "up_ms": 5e5 + 9, "boot": "b"} | more
        return memory.recalled(data, **values)

    assert ask(snapshot())[1:3] == (9.0, True)
    assert ask(snapshot(), wall_ms=9e9)[1] == 9.0  # the wall clock was set, the machine is still up
    assert ask(snapshot(), boot="c", wall_ms=1e6 + 70)[1:3] == (70.0, False)
    state, _, whole, word = ask(snapshot(), settings="other")
    assert not whole and state["every"][3] == 0.0 and "other settings" in word
    for more, why in [
        ({"boot": "c", "wall_ms": 1.0}, "a clock was set"), ({"up_ms": 9e9}, "minutes old"), ({"head": "h2"}, "h1's"),
    ]:  # fmt: skip
        with pytest.raises(StorageError, match=why):
            ask(snapshot(), **more)
    newer = bytearray(snapshot())
    newer[9] = 7
    with pytest.raises(StorageError, match="format 7"):
        ask(bytes(newer))


def test_a_head_that_stops_and_starts_knows_its_shelfs_and_one_with_a_bad_file_knows_none() -> None:
    async def script(rig: Rig) -> None:
        from pebblehinge.head import HeadServer
        from pebblehinge.lab.village import Quiet

        disk = FaultyDisk(random.Random(1))

        async def start() -> HeadServer:
            head = rig.head = HeadServer(rig.loop, rig.clock, rig.config, "h1", Quiet())
            head.remember(disk, lambda: (rig.clock(), rig.clock(), "b"))
            await head.start()
            await until(lambda: len(head.core.module.at_slot) == len(rig.shelfs))
            return head

        rig.kill_head()
        await asyncio.sleep(0.02)
        head = await start()
        rig.shelfs[1].does = lambda trip: rig.loop.call_later(0.05, trip.answer) and None
        client = await rig.client()
        for n in range(12):
            await client.write("v", f"x{n}", b"1", profile="look", slot=n % 2, units=1.0, patience_ms=1000.0)
        client.close()
        head.stop("the test says so")
        await asyncio.wait_for(head.stopped, 5.0)
        again = await start()
        means = dict(zip(again.core.module.names, again.core.module.mean_ms, strict=True))
        assert means["s2"] > 3 * means["s1"] > 0
        again.stop("the test says so")
        await asyncio.wait_for(again.stopped, 5.0)
        disk.files[memory.FILE][30] ^= 1
        none = await start()
        assert not any(none.core.module.mean_ms) and none.log.lines[0][2]["why"] == "it is damaged"

    on_rig(script)
