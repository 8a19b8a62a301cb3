"""What is measured in one process: reading a version's text, frames of the node list, an instance's state."""

from __future__ import annotations

import random
import tempfile
import time
from typing import Any

import msgspec
from slopes import ROOT, Point, least_ms, point
from slopes_version import HEADS, VOLUMES, head_of, kept_by, text, versions

from pebblehinge.gateway import GatewayServer
from pebblehinge.raft import Entry, EntryKind, initial_snapshot
from pebblehinge.raft.storage import Storage
from pebblehinge.replicated_config.commands import Acknowledge, encode_command
from pebblehinge.replicated_config.snapshot import Version
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.store.disk import RealDisk
from pebblehinge.wire import Kind, Session, encode


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
            session = Session("head", "h1", 1 << 20, 512, dialed=True)
            session.version, session.decoder.max_frame_bytes = 1, 1 << 20
            session.feed(frame)
            got = session.next()
            assert got is not None
            return got[1][2]

        heads = [head_of(config) for _ in range(8)]
        fresh, told, head = iter(heads), read(), head_of(config)
        found.append(
            point(
                {"rows": count},
                frame_bytes=len(frame),
                change_bytes=len(encode(Kind.LIST, 0, "changes", rows[:1])),
                write_ms=least_ms(lambda r=rows: encode(Kind.LIST, 1, "whole", r)),
                read_ms=least_ms(read),
                first_ms=least_ms(lambda f=fresh, t=told: next(f).discovery.on_list("whole", t)),
                again_ms=least_ms(lambda h=head, t=told: h.discovery.on_list("whole", t)),
                kept_bytes=kept_by(lambda t=told: listed(config, t)) - kept_by(lambda: head_of(config)),
            )
        )
    return found


def listed(config: Config, rows: list[Any]) -> GatewayServer:
    head = head_of(config)
    head.discovery.on_list("whole", rows)
    return head


def state_of(heads: int, kept: int) -> ConfigState:
    """A state after so many versions, the last of which all heads took up. The texts go in without being read, since
    reading one is a slope of its own."""
    state = ConfigState()
    for number in range(1, kept + 1):
        body = text(heads, VOLUMES, 100 + number % 50)
        state.versions[number] = Version(number, body, "someone", "a note of a few words")
        state.active = number
    for n in range(heads):
        assert state.apply(Entry(1, n + 1, EntryKind.DATA, encode_command(Acknowledge(f"h{n}", kept)))).ok
    return state


def state(small: bool) -> list[Point]:
    """An instance's state: memory, its snapshot's bytes, and the time of the loop to write it out and to read it."""
    sizes = [(h, 1) for h in HEADS] + [(910, v) for v in (25, 50, 100, 200)] + [(h, 200) for h in HEADS[:-1]]
    found = []
    for heads, kept in sizes[:2] if small else sizes:
        held = state_of(heads, kept)
        data = held.dump()
        along = "versions" if heads == 910 and kept > 1 else f"heads at {kept}"
        found.append(
            point(
                {"heads": heads, "versions": kept, "along": along},
                snapshot_bytes=len(data),
                dump_ms=least_ms(held.dump, 5),
                restore_ms=least_ms(lambda d=data: ConfigState.restore(d), 5),
                memory_bytes=kept_by(lambda h=heads, v=kept: state_of(h, v)),
            )
        )
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
        found.append(
            point(
                {"versions": kept, "heads": 910},
                snapshot_bytes=len(data),
                store_ms=sorted(took)[4],
                worst_store_ms=max(took),
            )
        )
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
