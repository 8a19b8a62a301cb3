"""Rsync clients beside each other, in the same files and directories and in others.

After each, `in_town` looks into the shelfs' own records: no save may have taken effect twice.
"""

from __future__ import annotations

import asyncio

import pytest
from rsync_town import Town, in_town
from rsync_trees import BIG, stands

from pebblehinge.lab.rsync_call import Local, folder
from pebblehinge.rsync.tree import Directory, DirectoryEntry, encode_entry, slot_of


@pytest.mark.parametrize("same", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_two_clients_push_the_same_file_through_two_heads(same: bool, seed: int) -> None:
    one, two = BIG[:50_000], BIG[:50_000] if same else BIG[50_000:100_000]

    async def script(t: Town) -> None:
        got = await asyncio.gather(
            t.push({b"f": Local(one)}, head="h1"),
            t.push({b"f": Local(two)}, head="h2"),
            t.push({b"f": Local(one)}, head="h1"),
        )
        assert [g.code for g in got] == [0, 0, 0], got
        for head in ("h1", "h2"):
            assert (await stands(t, head=head))[b"f"] in (one, two)
        assert (await stands(t, head="h1")) == (await stands(t, head="h2"))
        if same:
            assert len(t.labels()) == 1  # the very same save was made once

    in_town(script, seed=seed + 10)


@pytest.mark.parametrize("seed", range(3))
def test_many_clients_save_in_one_directory_through_two_heads(seed: int) -> None:
    """A reading of the log that was under way while an append landed took the same records twice; from then on the head
    believed a wrong end, missed others' records, and saved again what it no longer saw."""

    async def script(t: Town) -> None:
        async def member(n: int) -> None:
            for v in range(4):
                files = {b".": folder(), b"f": Local(b"%d" % v * 10, 1_700_000_000 + v)}
                assert (await t.push(files, f"m{n}/", head=("h1", "h2")[(n + v) % 2])).code == 0
                assert (await t.pull(f"m{n}/", head=("h1", "h2")[v % 2])).files[b"f"].data == b"%d" % v * 10

        await asyncio.gather(*(member(n) for n in range(25)))
        for head in ("h1", "h2"):
            place = t.servers[head].rsync_listener.module_stores["tenders"]
            for path, log in place.directories.items():
                held_ = t.contents[slot_of(log.extent, place.slots)].extents.get(f"files/{log.extent}", b"")
                assert log.directory.end <= len(held_) and not log.directory.partial_record, path

    in_town(script, seed=30 + seed)


def test_what_comes_twice_of_a_log_is_taken_once() -> None:
    raw = b"".join(encode_entry(DirectoryEntry("f", b"%d" % n, label=str(n))) for n in range(3))
    folder_ = Directory()
    folder_.feed_from(0, raw[:40])
    for at, data in ((0, raw), (10, raw[10:30]), (len(raw), b""), (40, raw[40:]), (len(raw) + 5, b"later")):
        folder_.feed_from(at, data)
    assert folder_.end == len(raw) and list(folder_.entries) == [b"0", b"1", b"2"]


def test_a_pull_during_a_push_of_the_same_file_gets_the_old_or_the_new_one() -> None:
    async def script(t: Town) -> None:
        versions = [BIG[n : n + 120_000] for n in range(0, 100_000, 10_000)]
        assert (await t.push({b"f": Local(versions[0], 1_700_000_000)})).code == 0
        seen = []

        async def pulls() -> None:
            for n in range(40):
                got = await t.pull(head=("h1", "h2")[n % 2])
                assert got.code == 0, got
                assert got.files[b"f"].data in versions
                seen.append(versions.index(got.files[b"f"].data))

        async def pushes() -> None:
            for n, data in enumerate(versions[1:], 1):
                assert (await t.push({b"f": Local(data, 1_700_000_000 + n)})).code == 0

        await asyncio.gather(pulls(), pushes())
        assert seen == sorted(seen) and len(set(seen)) > 3

    in_town(script)


def test_many_tiny_files_and_a_single_save_beside_them() -> None:
    """A folder of a thousand files must not hold up one file beside it by more than its few requests."""
    many = {b"d%d/f%04d" % (n % 4, n): Local(b"%d" % n * 900) for n in range(1200)}
    many |= {b"d%d" % n: folder() for n in range(4)}

    async def script(t: Town) -> None:
        began = t.loop.now
        assert (await t.push({b"alone": Local(b"x" * 9000)}, "one/")).code == 0
        alone = t.loop.now - began
        task = asyncio.ensure_future(t.push(many, "many/"))
        took = []
        await asyncio.sleep(0.05)
        for n in range(5):
            began = t.loop.now
            assert (await t.push({b"beside": Local(b"%d" % n * 9000, 1_700_000_000 + n)}, "one/")).code == 0
            took.append(t.loop.now - began)
        beside = not task.done()
        assert (await task).code == 0
        assert beside, "the folder was through before the saves beside it were"
        assert max(took) < 6 * alone + 0.05, (took, alone)
        assert len(await stands(t, "many/")) == 1205

    in_town(script)
