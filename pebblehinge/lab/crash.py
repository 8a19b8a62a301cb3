"""Heads killed at random moments under buffered writes; then every confirmed write must stand exactly once.

One round: writers send writes, barriers and flushes to a head whose volume is buffered; the head dies at a moment
that chance picks (its disk loses what was not synced, in virtual time), and starts again, at times while it recovers.
What is judged comes from the clients' answers and from the shelfs' journals of effects alone.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pebblehinge.client import Client, connect
from pebblehinge.head import HeadServer
from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.village import Memory, Quiet
from pebblehinge.lab.virtual import Node, VirtualLoop
from pebblehinge.listing import ListingServer
from pebblehinge.settings.load import loads
from pebblehinge.shelf import Contents, ShelfServer
from pebblehinge.shelf.contents import read_journal
from pebblehinge.store import StorageError
from pebblehinge.store.journal import Batch

SETTINGS = """
rules {
    cold-share 40%
    warm 1s
    fall-multiple 8x
    mean-units 2
    most-units 6
    stay-away-max 100ms
}
log {
    level error
}
buffer {
    most 4MiB
    delay 15ms
    segment 24KiB
    out 12
    patience 1500ms
    stop 20s
}
profile save {
    importance 2
    expected 400ms
    patience 3s
    late-share 10%
    repeat irreversible
}
profile look {
    importance 1
    expected 400ms
    patience 3s
    late-share 10%
    repeat redoable
}
profile bring {
    importance 1
    expected 400ms
    patience 3s
    late-share 10%
    repeat labelled
    group all
    window 30s
}
plan p {
    rate 400/s
    reserve 400/s
}
volume bids {
    plan p
    slots 0 1 2
    save buffered
    back bring
}
kind k {
    cores 4
    unit-work 3ms
    noise 20%
    flush 10m
    cold 1s
    cold-from 50%
    queue 200
}
fleet {
    heads 1
    shelfs 3
    kinds k
}
"""


class Books:
    """What writers asked and heard."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[str, int, int, bytes]] = {}  # label -> extent, slot, offset, data
        self.confirmed: dict[str, int] = {}  # label -> which of all events that was
        self.unknown: dict[str, None] = {}
        self.asked: dict[str, int] = {}  # label -> when it was sent
        self.barriers: list[tuple[int, int]] = []  # when one was asked, and when it was honoured
        self.flushes = 0
        self.claimed_wrongly: list[str] = []
        self.events = 0

    def event(self) -> int:
        self.events += 1
        return self.events


class Writer:
    """Sends writes, each to a place of its own; some overlap an earlier one of its own whose answer it has."""

    def __init__(self, name: str, rng: random.Random, books: Books) -> None:
        self.name, self.rng, self.books = name, rng, books
        self.count = 0
        self.at: dict[str, int] = {}  # extent -> its end

    def draw(self) -> tuple[str, str, int, int, bytes]:
        self.count += 1
        slot = self.rng.randrange(3)
        extent = f"{self.name}-{slot}-{self.rng.randrange(3)}"
        offset = self.at.get(extent, 0)
        data = self.rng.randbytes(self.rng.choice([40, 400, 3000]))
        self.at[extent] = offset + len(data)
        return f"{self.name}.{self.count}", extent, slot, offset, data

    async def one(self, client: Client, held: Callable[[], dict[str, bytearray]] | None) -> None:
        """One write, barrier or flush, and what became of it. `held` tells what stands at the shelfs now."""
        books, what = self.books, self.rng.random()
        if what < 0.04:
            began = books.event()
            got = await client.barrier("bids", profile="save", patience_ms=2000.0)
            if got.honoured:
                books.barriers.append((began, books.event()))
        elif what < 0.08:
            before = [label for label in books.confirmed]
            got = await client.flush_volume("bids", profile="save", patience_ms=2500.0)
            if got.honoured:
                books.flushes += 1
                stands = held() if held is not None else {}
                for label in before if held is not None else ():
                    extent, _, offset, data = books.sent[label]
                    if bytes(stands.get(extent, b"")[offset : offset + len(data)]) != data:
                        books.claimed_wrongly.append(f"a flush was honoured and {label} does not stand")
        else:
            label, extent, slot, offset, data = self.draw()
            books.sent[label] = (extent, slot, offset, data)
            books.asked[label] = books.event()
            got = await client.write(
                "bids",
                extent,
                data,
                offset=offset,
                slot=slot,
                label=label,
                profile="save",
                units=1.0,
                patience_ms=2000.0,
            )
            if got.honoured:
                books.confirmed[label] = books.event()
            elif got.final != "pushed back":
                books.unknown[label] = None


def judge(books: Books, extents: dict[str, bytearray], effects: list[tuple[str, int]]) -> dict[str, Any]:
    """`effects`: label and order of each effect at the shelfs."""
    missing = [
        label
        for label in books.confirmed
        if bytes(extents.get(books.sent[label][0], b"")[books.sent[label][2] :][: len(books.sent[label][3])])
        != books.sent[label][3]
    ]
    times = Counter(label for label, _ in effects)
    doubled = [label for label, n in times.items() if n > 1]
    first = {label: n for label, n in reversed(effects)}
    broken = 0
    for asked, honoured in books.barriers:
        # What was confirmed before it was asked lands before what was sent after it was honoured.
        before = [first[x] for x, at in books.confirmed.items() if at < asked and x in first]
        after = [first[x] for x, at in books.asked.items() if at > honoured and x in first]
        broken += bool(before and after and max(before) > min(after))
    return {
        "confirmed": len(books.confirmed),
        "missing": len(missing),
        "doubled": len(doubled),
        "claimed_wrongly": len(books.claimed_wrongly),
        "order_broken": broken,
        "unknown": len(books.unknown),
        "flushes": books.flushes,
        "barriers": len(books.barriers),
        "first": (missing or doubled or books.claimed_wrongly or [""])[0],
    }


class Virtual:
    """One seed: everything on nodes of a network in memory, the disk simulated."""

    def __init__(self, seed: int, disk: type[FaultyDisk] = FaultyDisk) -> None:
        self.seed, self.rng = seed, random.Random(f"{seed}/crash")
        self.loop = VirtualLoop(seed=seed)
        self.config = loads(SETTINGS)
        self.disk = disk(random.Random(f"{seed}/disk"), holes=True)
        self.contents = [Contents() for _ in range(3)]
        self.books = Books()
        self.log = Quiet()
        self.stall_ms = 0.0
        self.node: Node | None = None
        self.head: HeadServer | None = None
        self.lives = 0
        self.shelfs: list[ShelfServer] = []

    def clock(self) -> float:
        return self.loop.now * 1000.0

    async def lasts(self, batch: Batch) -> None:
        """As a thread would: the append, some time, the sync."""
        life = self.lives
        self.disk.append(batch.name, batch.data)
        await asyncio.sleep(self.rng.uniform(0.0002, 0.004) + self.stall_ms / 1000.0)
        if life != self.lives:
            raise OSError(5, "the process is gone")
        self.disk.sync(batch.name)

    async def start_head(self) -> None:
        self.lives += 1
        self.node = self.loop.node("h1")
        head = self.head = HeadServer(self.node, self.clock, self.config, "h1", self.log, Memory())
        head.buffer(self.disk, self.lasts)
        await head.start()

    def kill_head(self) -> None:
        assert self.node is not None and self.head is not None
        self.lives += 1
        self.node.kill()
        if self.head.back is not None:
            self.head.back.close()
        self.disk.crash()

    def held(self) -> dict[str, bytearray]:
        return {x.removeprefix("bids/"): data for c in self.contents for x, data in c.extents.items()}

    def effects(self) -> list[tuple[str, int]]:
        rows = sorted((r[0], i, r[4]) for c in self.contents for i, r in enumerate(c.effects) if r[4])
        return [(label.removeprefix("wb.").rpartition(".")[0], n) for n, (_, _, label) in enumerate(rows)]

    async def writes(self, writer: Writer, until_ms: float) -> None:
        node = self.loop.node(writer.name)
        client: Client | None = None
        while self.clock() < until_ms:
            if client is None or client.closed or client.failed:
                try:
                    client = await connect(self.config.head["h1"].listen, name=writer.name, loop=node, within_ms=500.0)
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
            await writer.one(client, self.held)
            await asyncio.sleep(writer.rng.uniform(0.0, 0.01))
        if client is not None:
            client.close()

    async def main(self, kills: int) -> None:
        node = self.loop.node("listing")
        listing = ListingServer(node, self.clock, self.config, self.log)
        await listing.start()
        for n, name in enumerate(self.config.shelf):
            node, notes = self.loop.node(name), Memory()
            shelf = ShelfServer(node, self.clock, self.config, name, self.log, notes, self.contents[n], True, self.seed)
            self.shelfs.append(shelf)
            await shelf.start()
        await self.start_head()
        await asyncio.sleep(1.0)
        length = 700.0 * kills + 500.0
        end = self.clock() + length
        writers = [Writer(f"c{n}", random.Random(f"{self.seed}/{n}"), self.books) for n in range(4)]
        tasks = [asyncio.ensure_future(self.writes(w, end)) for w in writers]
        for _ in range(kills):
            await asyncio.sleep(self.rng.expovariate(1 / 0.35))
            if self.rng.random() < 0.2:
                shelf = self.rng.choice(self.shelfs)
                shelf.control("hang", {})
                self.loop.call_later(0.4, lambda s=shelf: s.control("hang", {"off": 1}))
            self.kill_head()
            await asyncio.sleep(self.rng.choice([0.0, 0.05, 0.3]))
            await self.start_head()
            if self.rng.random() < 0.3:  # once more, while it recovers
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                self.kill_head()
                await self.start_head()
        await asyncio.gather(*tasks)
        assert self.head is not None and self.head.back is not None
        back, until = self.head.back, self.loop.now + 60.0
        while len(back.dirty) and self.loop.now < until:
            await asyncio.sleep(0.05)

    def play(self, kills: int) -> dict[str, Any]:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self.main(kills))
            faults = [v for _, event, v in self.log.lines if event == "fault"]
            if faults or self.loop.caught:
                raise RuntimeError(str(faults or self.loop.caught[0]))
            return judge(self.books, self.held(), self.effects())
        finally:
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            asyncio.set_event_loop(None)
            self.loop.close()


def one(seed: int, kills: int = 3) -> dict[str, Any]:
    """One seed; an error of the head's own counts as a find."""
    try:
        return Virtual(seed).play(kills)
    except (AssertionError, RuntimeError, StorageError) as error:
        return {
            "confirmed": 0,
            "missing": 0,
            "doubled": 0,
            "claimed_wrongly": 0,
            "order_broken": 0,
            "unknown": 0,
            "flushes": 0,
            "barriers": 0,
            "first": f"{type(error).__name__}: {error}",
            "fault": 1,
        }


def summed(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    """All rounds together, and the first find."""
    total: Counter[str] = Counter()
    first = ""
    for n, told in enumerate(rounds):
        for key, value in told.items():
            if key != "first":
                total[key] += value
        if told["first"] and not first:
            first = f"round {n}: {told['first']}"
    keys = (
        "confirmed",
        "missing",
        "doubled",
        "claimed_wrongly",
        "order_broken",
        "unknown",
        "flushes",
        "barriers",
        "fault",
    )
    return {"rounds": len(rounds), **{k: total[k] for k in keys}, "first": first}


def sound(told: dict[str, Any]) -> bool:
    return not any(told.get(k) for k in ("missing", "doubled", "claimed_wrongly", "order_broken", "fault"))


class Sockets:
    """The same with processes: the head is killed with SIGKILL, its journal lies in a real folder. The machine does not
    lose power, so what the system holds survives; what the head's memory held does not."""

    def __init__(self, folder: Path, loopback: str, seed: int) -> None:
        self.folder, self.loopback, self.seed = folder, loopback, seed
        self.rng = random.Random(f"{seed}/sockets")
        self.conf = folder / "crash.conf"
        self.conf.write_text(SETTINGS)
        self.config = loads(SETTINGS, loopback=loopback)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.books = Books()
        self.kills = 0

    async def start(self, name: str, *role: str) -> None:
        command = [sys.executable, "-m", "pebblehinge", *role, str(self.conf), "--loopback", self.loopback]
        command += ["--name", name] if name != "listing" else []
        command += ["--store", str(self.folder / "store")] if name != "listing" else []
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 30.0)
        if not line.startswith(b"ready"):
            raise RuntimeError(f"{name} did not start")
        self.processes[name] = process

    async def writes(self, writer: Writer, until: float) -> None:
        loop = asyncio.get_running_loop()
        client: Client | None = None
        while loop.time() < until:
            if client is None or client.closed or client.failed:
                try:
                    address = self.config.head["h1"].listen
                    client = await connect(address, name=writer.name, loop=loop, within_ms=500.0)
                except OSError:
                    await asyncio.sleep(0.01)
                    continue
            await writer.one(client, None)
            await asyncio.sleep(writer.rng.uniform(0.0, 0.004))
        if client is not None:
            client.close()

    async def play(self, rounds: int, said: Callable[[str], None]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        try:
            await self.start("listing", "listing")
            await asyncio.gather(*(self.start(name, "shelf") for name in self.config.shelf))
            await self.start("h1", "head")
            for n in range(rounds):
                # A round: everything of this round and before is looked at once the head has brought it to its shelfs.
                writers = [Writer(f"r{n}c{i}", random.Random(f"{self.seed}/{n}/{i}"), self.books) for i in range(3)]
                tasks = [asyncio.ensure_future(self.writes(w, loop.time() + 0.45)) for w in writers]
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                self.processes["h1"].kill()
                await self.processes["h1"].wait()
                self.kills += 1
                await self.start("h1", "head")
                await asyncio.gather(*tasks)
                if n % 20 == 19:
                    said(f"round {n + 1} of {rounds}: {len(self.books.confirmed)} confirmed")
            self.processes["h1"].terminate()  # brings the rest to the shelfs first
            code = await asyncio.wait_for(self.processes["h1"].wait(), 40.0)
            told = judge(self.books, *self.stands())
            return {"rounds": rounds, **told, "fault": int(code != 0)}
        finally:
            for process in self.processes.values():
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    def stands(self) -> tuple[dict[str, bytearray], list[tuple[str, int]]]:
        """What the shelfs' journals of effects hold, read from their files alone."""
        extents: dict[str, bytearray] = {}
        rows = []
        for path in sorted((self.folder / "store").rglob("effects.journal")):
            contents = Contents()
            for _, record in read_journal(path):
                contents._apply(record)
                if record[4]:
                    rows.append((record[0], len(rows), record[4]))
            extents |= {x.removeprefix("bids/"): data for x, data in contents.extents.items()}
        rows.sort()
        return extents, [(x.removeprefix("wb.").rpartition(".")[0], n) for n, (_, _, x) in enumerate(rows)]
