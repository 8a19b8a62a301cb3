"""What is measured in one process: reading a version's text, frames of the node list, an instance's state."""

from __future__ import annotations

import gc
import itertools
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec
from slopes import ROOT, Point, least_ms, point

from pebblehinge.agreed.activation import careful
from pebblehinge.agreed.state import State, Version, command
from pebblehinge.agreed.taking import Taking
from pebblehinge.cli import clock_of
from pebblehinge.head import HeadServer
from pebblehinge.lab.village import Quiet
from pebblehinge.raft import Entry, EntryKind, initial_snapshot
from pebblehinge.raft.storage import Storage
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.store.disk import RealDisk
from pebblehinge.wire import Kind, Session, encode

VOLUMES = 2000
HEADS = (30, 100, 300, 600, 910)
TEXT = """
profile look {{
    importance 2
    expected 400ms
    patience 2s
    repeat redoable
}}
profile save {{
    importance 2
    expected 400ms
    patience 2s
    repeat irreversible
}}
plan capped {{
    rate 40/s
    limit {limit}/s
    burst 200
}}
volumes v {volumes} {{
    plan capped
    heads {heads}
}}
{blocks}
{members}
group {{
    lease 3s
}}
"""


def text(heads: int, volumes: int = VOLUMES, limit: float = 100) -> str:
    """Settings of a fleet as a group has them: each head and instance by name, volumes that are alike in one block."""
    blocks = "\n".join(f"head h{n} {{\n    listen 10.{n // 250}.{n % 250}.1:7000\n}}" for n in range(heads))
    members = "\n".join(f"member g{n} {{\n    listen 10.200.0.{n}:6000\n}}" for n in range(1, 6))
    return TEXT.format(limit=limit, volumes=volumes, heads=heads, blocks=blocks, members=members)


def kept_by(make: Callable[[], Any]) -> int:
    """Bytes that stand after a call, as long as what it returned is held."""
    make()  # caches that every call shares
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = make()
    gc.collect()
    found = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return found


def taken(old: str, new: str) -> Taking:
    """A head between two versions: one active, one pending."""
    taking = Taking("h1", 0.25)
    taking.answered(taking.asked(0.0), 3000.0, 1, old, 2, new, {})
    return taking


class Handle:
    """A timer that never rings."""

    def cancel(self) -> None:
        """Nothing to call off."""


class StillLoop:
    """A loop in which no time passes: the measured calls only set timers."""

    def time(self) -> float:
        return 0.0

    def call_at(self, *_: Any) -> Handle:
        return Handle()

    def create_future(self) -> None:
        """Nothing waits here."""


def head_of(config: Config) -> HeadServer:
    """A framed head with no sockets."""
    loop: Any = StillLoop()
    return HeadServer(loop, clock_of(loop), config, "h1", Quiet())


def version(heads: int, volumes: int) -> dict[str, Any]:
    old, new = text(heads, volumes), text(heads, volumes, 90)
    one, other = loads(old), loads(new)
    half, head = careful(one, other, "h1"), head_of(one)
    turns = itertools.cycle((half, one))  # settings that are as they were are not taken up anew
    grant = (1, 3000.0, 1, old, 2, new, {}, "")
    return {
        "text_bytes": len(old), "read_ms": least_ms(lambda: loads(old)),
        "careful_ms": least_ms(lambda: careful(one, other, "h1")),
        "take_up_ms": least_ms(lambda: head.adopt(next(turns))),
        "kept_bytes": kept_by(lambda: taken(old, new)), "one_config_bytes": kept_by(lambda: loads(old)),
        "careful_bytes": kept_by(lambda: careful(one, other, "h1")),
        "grant_both_ms": least_ms(lambda: encode(Kind.GRANT, *grant)),
    }  # fmt: skip


def versions(small: bool) -> list[Point]:
    """A version's text against the heads that it names and the volumes that it has."""
    heads = HEADS[:2] if small else HEADS
    found = [point({"heads": n, "volumes": VOLUMES, "along": "heads"}, **version(n, VOLUMES)) for n in heads]
    for count in (30, 300) if small else (30, 300, 1000, 2000):
        found.append(point({"heads": 910, "volumes": count, "along": "volumes"}, **version(910, count)))
    return found


def entries(count: int) -> list[tuple[str, str, str, int, float]]:
    rng = random.Random(1)
    return [(f"shelf-{n}", f"10.{n // 250}.{n % 250}.7:7200", "ready", n, rng.uniform(0, 1e7)) for n in range(count)]


def lists(small: bool) -> list[Point]:
    """A frame of the list: bytes, writing it, reading it, and a head taking it in, for the first time and again."""
    config, found = loads(text(2, 10)), []
    for count in (30, 300) if small else (30, 300, 600, 1000, 1500, 2000):
        rows = entries(count)
        frame = encode(Kind.LIST, 1, "whole", rows)

        def read(frame: bytes = frame) -> list[Any]:
            session = Session("head", "h1", 1 << 20, 512, greets=True)
            session.version, session.frames.limit = 1, 1 << 20
            session.feed(frame)
            got = session.next()
            assert got is not None
            return got[1][2]

        heads = [head_of(config) for _ in range(8)]
        fresh, told, head = iter(heads), read(), head_of(config)
        found.append(point(
            {"rows": count}, frame_bytes=len(frame), change_bytes=len(encode(Kind.LIST, 0, "changes", rows[:1])),
            write_ms=least_ms(lambda r=rows: encode(Kind.LIST, 1, "whole", r)), read_ms=least_ms(read),
            first_ms=least_ms(lambda f=fresh, t=told: next(f).listing.came("whole", t)),
            again_ms=least_ms(lambda h=head, t=told: h.listing.came("whole", t)),
            kept_bytes=kept_by(lambda t=told: listed(config, t)) - kept_by(lambda: head_of(config)),
        ))  # fmt: skip
    return found


def listed(config: Config, rows: list[Any]) -> HeadServer:
    head = head_of(config)
    head.listing.came("whole", rows)
    return head


def state_of(heads: int, kept: int) -> State:
    """A state after so many versions, the last of which all heads took up. The texts go in without being read, since
    reading one is a slope of its own."""
    state = State()
    for number in range(1, kept + 1):
        body = text(heads, VOLUMES, 100 + number % 50)
        state.versions[number] = Version(number, body, "someone", "a note of a few words")
        state.active = number
    for n in range(heads):
        assert state.apply(Entry(1, n + 1, EntryKind.DATA, command("acknowledge", f"h{n}", kept))) == ""
    return state


def state(small: bool) -> list[Point]:
    """An instance's state: memory, its snapshot's bytes, and the time of the loop to write it out and to read it."""
    sizes = [(h, 1) for h in HEADS] + [(910, v) for v in (25, 50, 100, 200)] + [(h, 200) for h in HEADS[:-1]]
    found = []
    for heads, kept in sizes[:2] if small else sizes:
        held = state_of(heads, kept)
        data = held.dump()
        along = "versions" if heads == 910 and kept > 1 else f"heads at {kept}"
        found.append(point(
            {"heads": heads, "versions": kept, "along": along},
            snapshot_bytes=len(data), dump_ms=least_ms(held.dump, 5),
            restore_ms=least_ms(lambda d=data: State.restore(d), 5),
            memory_bytes=kept_by(lambda h=heads, v=kept: state_of(h, v)),
        ))  # fmt: skip
    return found


def disk(small: bool) -> list[Point]:
    """An instance's snapshot stored on a real disk with fsync, in the loop: time by the clock, the median of nine."""
    found = []
    for kept in (25, 50) if small else (25, 50, 100, 200):
        data, took = state_of(910, kept).dump(), []
        with tempfile.TemporaryDirectory(dir=ROOT) as folder:
            storage = Storage(RealDisk(folder))
            base = initial_snapshot(["g1", "g2", "g3"])
            for n in range(1, 10):
                snapshot = msgspec.structs.replace(base, index=n * 1000, term=1, data=data)
                began = time.perf_counter()
                storage.store(None, None, [], snapshot)
                took.append((time.perf_counter() - began) * 1000.0)
        found.append(point({"versions": kept, "heads": 910}, snapshot_bytes=len(data),
                           store_ms=sorted(took)[4], worst_store_ms=max(took)))  # fmt: skip
    return found


PARTS = {
    "versions": (
        versions,
        f"In this process; {VOLUMES} volumes in one block unless said. kept_bytes: what a head holds between two "
        "versions (both texts, both read).",
    ),
    "lists": (lists, "In this process, without sockets."),
    "disk": (disk, "The disk is the machine's own; another one gives other figures."),
    "state": (state, f"In this process; texts with every head by name and {VOLUMES} volumes in one block. No disk."),
}
