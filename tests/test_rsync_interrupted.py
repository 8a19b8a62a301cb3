"""Rsync transfers whose client, shelf or head goes away, hangs or stops.

After each, `in_town` looks into the shelfs' own records: no save may have taken effect twice.
"""

from __future__ import annotations

import asyncio

import pytest
from rsync_town import SETTINGS, Town, altered, in_town
from rsync_trees import BIG, RNG, TREE, held, stands

from pebblehinge.lab.connection_cut import ConnectionCutter
from pebblehinge.lab.rsync_call import Call, Local
from pebblehinge.lab.rsync_client import call
from pebblehinge.rsync.errors import EXIT_START, EXIT_STREAM, EXIT_TIMEOUT


def test_a_client_that_goes_at_any_point_leaves_every_file_old_or_new() -> None:
    old = {b"f": Local(BIG[:40_000]), b"g": Local(b"old")}
    new = {b"f": Local(BIG[5_000:60_000], 1_700_000_900), b"g": Local(b"new one", 1_700_000_900), b"h": Local(b"new")}

    async def script(t: Town) -> None:
        assert (await t.push(old)).code == 0
        ended = 0
        for after in [*range(0, 260, 7), *range(260, 24_000, 900)]:
            line, _ = await t.line()
            ConnectionCutter(line, after)
            wanted = Call("tenders", files=dict(new))
            try:
                await call(line.stream, wanted, "push", "")
            finally:
                line.close()
            ended += wanted.code == 0
            assert wanted.code in (0, EXIT_START, EXIT_STREAM), wanted
            now = await stands(t, "")
            for name, data in now.items():
                if name != b".":
                    assert data in (held(old).get(name), held(new)[name]), (after, name, len(data))
            if now.get(b"h") == b"new" and now[b"f"] == held(new)[b"f"] and now[b"g"] == b"new one":
                assert (await t.push({**old, b"f": Local(BIG[:40_000], 1_700_001_000 + after)}, delete=False)).code == 0
                new[b"f"].mtime += 1  # the next round begins from the old ones again
                new[b"g"] = Local(b"new one", new[b"g"].mtime + 1)
        assert ended == 0 or new[b"f"].mtime > 1_700_000_900
        assert (await t.push(new)).code == 0
        assert {n: d for n, d in (await stands(t)).items() if n != b"."} == held(new)
        head = t.servers["h1"]
        await t.until(
            lambda: not head.rsync_listener.transfer_count and not head.core.open_count and not head.core.pending
        )  # nothing is left

    in_town(script)


def test_a_repeat_of_an_interrupted_push_does_not_send_again_what_stands() -> None:
    async def script(t: Town) -> None:
        line, _ = await t.line()
        ConnectionCutter(line, 200_000)
        cut = await call(line.stream, Call("tenders", files={b"big": Local(BIG)}), "push", "")
        assert cut.code == EXIT_STREAM
        await asyncio.sleep(1.0)
        got = await t.push({b"big": Local(BIG)})
        assert got.code == 0 and got.literal < 200_000 and got.matched > 100_000, (got.literal, got.matched)
        assert (await stands(t))[b"big"] == BIG
        assert not t.servers["h1"].rsync_listener.partial_uploads.parts

    in_town(script)


def test_shelfs_that_take_data_and_never_answer_end_the_transfer_with_a_word() -> None:
    async def script(t: Town) -> None:
        for name in ("s1", "s2", "s3"):
            t.servers[name].control("hang", {})
        began = t.loop.now
        got = await t.push(TREE)
        assert got.code == EXIT_TIMEOUT and "was" in got.error, got
        assert t.loop.now - began < 25.0
        for name in ("s1", "s2", "s3"):
            t.servers[name].control("hang", {"off": 1})
        # A head that has learnt nothing but slowness refuses all for a while, not for good.
        await asyncio.sleep(6.0)
        for _ in range(4):
            got = await t.push(TREE)
            if got.code == 0:
                break
        assert got.code == 0, got
        assert await stands(t) == held(TREE)

    in_town(script, settings=altered(SETTINGS, deadline="12s"))


def test_a_shelf_that_drains_and_one_that_crashes_during_a_long_transfer() -> None:
    files = {b"f%03d" % n: Local(RNG.randbytes(20_000)) for n in range(150)}

    async def script(t: Town) -> None:
        task = asyncio.ensure_future(t.push(files))
        await asyncio.sleep(0.15)
        t.servers["s2"].control("drain", {})
        await asyncio.sleep(0.5)
        t.kill("s2")
        t.kill("s3")
        await asyncio.sleep(1.0)
        await t.start_shelf("s2", warm=False)
        await t.start_shelf("s3", warm=False)
        got = await task
        assert got.code == 0, got
        assert {n: d for n, d in (await stands(t)).items() if n != b"."} == held(files)

    in_town(script)


def test_a_head_told_to_stop_lets_its_transfers_end_and_turns_others_away() -> None:
    files = {b"f%03d" % n: Local(RNG.randbytes(9_000)) for n in range(60)}

    async def script(t: Town) -> None:
        task = asyncio.ensure_future(t.push(files))
        await asyncio.sleep(0.1)
        head = t.servers["h1"]
        head.stop("the test says so")
        with pytest.raises(OSError):
            await t.line("h1")
        got = await task
        assert got.code == 0, got
        await t.until(head.stopped.done, 10.0)
        assert {n: d for n, d in (await stands(t, head="h2")).items() if n != b"."} == held(files)

    in_town(script)


def test_a_transfer_that_outlasts_the_stop_is_ended_with_a_word() -> None:
    async def script(t: Town) -> None:
        assert (await t.push({b"f": Local(BIG)})).code == 0
        line, node = await t.line()
        t.loop.net.own_link("h1", node.name).rate = 5.0
        task = asyncio.ensure_future(call(line.stream, Call("tenders"), "pull", ""))
        await asyncio.sleep(1.0)
        head = t.servers["h1"]
        began = t.loop.now
        head.stop("the test says so")
        await t.until(head.stopped.done, 90.0)
        got = await task
        assert t.loop.now - began >= 3.0 and got.code != 0 and "stopping" in got.error, got

    in_town(script)
