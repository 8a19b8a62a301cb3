"""Rsync clients that are slow, silent or send garbage, and what the head does about them.

After each, `in_town` looks into the shelfs' own records: no save may have taken effect twice.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from rsync_town import SETTINGS, Town, altered, in_town
from rsync_trees import RNG, TREE, held, stands

from pebblehinge.lab.rsync_call import Call, Local
from pebblehinge.lab.rsync_client import call


def test_a_reader_that_is_slow_for_an_hour_holds_no_memory_and_gets_its_file() -> None:
    async def script(t: Town) -> None:
        data = RNG.randbytes(2_000_000)
        assert (await t.push({b"f": Local(data)})).code == 0
        line, node = await t.line(stall_ms=1e6)
        t.loop.net.own_link("h1", node.name).rate = 0.6  # bytes a millisecond
        held_most = 0

        async def watch() -> None:
            nonlocal held_most
            while True:
                guests = list(t.servers["h1"].rsync_listener.sessions)
                held_most = max([held_most, *(len(g.stream.unflushed) + g.stream.unread_bytes for g in guests)])
                await asyncio.sleep(5.0)

        task = asyncio.ensure_future(watch())
        began = t.loop.now
        got = await call(line.stream, Call("tenders"), "pull", "")
        task.cancel()
        assert got.code == 0 and got.files[b"f"].data == data
        assert t.loop.now - began > 3000 and held_most < 1 << 19
        line.close()

    # A piece that is sent takes a minute on this line: what counts as stalled must be more.
    in_town(script, settings=altered(SETTINGS, deadline="2h", stall="3m"))


def test_a_client_that_stops_reading_or_says_nothing_is_cut() -> None:
    async def script(t: Town) -> None:
        assert (await t.push(TREE)).code == 0
        silent, _ = await t.line()
        await t.until(lambda: silent.lost, 10.0)  # no module within the login's time
        stuck, node = await t.line()
        t.loop.net.own_link("h1", node.name).rate = 1e-9
        task = asyncio.ensure_future(call(stuck.stream, Call("tenders"), "pull", ""))
        await t.until(lambda: t.servers["h1"].rsync_listener.sessions, 1.0)
        await t.until(lambda: not t.servers["h1"].rsync_listener.sessions, 30.0)
        task.cancel()
        assert (await t.push(TREE)).code == 0  # the head goes on

    in_town(script)


def test_garbage_at_any_point_ends_that_connection_alone() -> None:
    async def script(t: Town) -> None:
        rng = random.Random(5)
        for n in range(60):
            line, _ = await t.line()
            cut = rng.randint(0, 400)
            sent = 0
            write = line.stream._write

            def garbled(data: bytes, write: Any = write, cut: int = cut) -> None:
                nonlocal sent
                if sent <= cut < sent + len(data):
                    data = data[: cut - sent] + rng.randbytes(len(data) - (cut - sent))
                sent += len(data)
                write(data)

            line.stream._write = garbled
            try:
                await asyncio.wait_for(call(line.stream, Call("tenders", files=dict(TREE)), "push", f"g{n}"), 40.0)
            except TimeoutError:
                pass
            line.close()
        assert (await t.push(TREE, "last/")).code == 0
        assert await stands(t, "last/") == held(TREE)
        await t.until(lambda: t.servers["h1"].rsync_listener.transfer_count == 0, 70.0)

    in_town(script)
