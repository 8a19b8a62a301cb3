"""What a fleet of the coming size needs: sizes that are computed by the program's own encoders. Used by `caps.py`."""

from __future__ import annotations

import functools
from types import SimpleNamespace
from typing import Any

import msgspec

from pebblehinge.console.view import GatewayView
from pebblehinge.decide import MAX_CACHE_ENTRIES, Scheduler
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind
from pebblehinge.settings import Config, render_settings
from pebblehinge.settings.load import loads
from pebblehinge.settings.policy import VolumeBlock
from pebblehinge.settings.schema import HeadBlock, ShelfBlock
from pebblehinge.store import memory
from pebblehinge.wire import Kind, encode
from pebblehinge.wire.frames import PREFIX_BYTES

HEADS, SHELFS, VOLUMES = 1024, 2048, 2000  # no cap may be under the first two; the third is the issue's
COMING_HEADS, COMING_SHELFS = 910, 1500
CONNECTIONS = 4615  # of clients to a head: 4,200,000 / 910
REQUESTS = 868  # a second and head
PATIENCE_S = 4.0  # the longest that a request usually stands
VERSIONS_A_DAY = 790
RENEW_S = 0.5
LONGEST_NAME = 100  # characters, by the settings' pattern
SETTINGS = """
profile p {
    importance 1
    expected 100ms
    patience 4s
    repeat redoable
}
plan g {
    rate 20/s
    limit 50/s
    burst 20
}
"""


def _names(count: int) -> list[str]:
    """As long as names may be."""
    return [f"{n:04d}".ljust(LONGEST_NAME, "x") for n in range(count)]


@functools.cache
def longest_line() -> int:
    """Characters of a `through` that names all heads, their names as long as may be."""
    return len("    through " + " ".join(_names(HEADS)))


@functools.cache
def version_text(heads: int = HEADS, shelfs: int = SHELFS, volumes: int = VOLUMES, named: int = 0) -> int:
    """Characters of a version as `config propose` sends it (every block with all its values), by the blocks of which
    it consists. `named` volumes name all heads in `through`, by names as short as `h1024`."""

    def grown(**blocks: Any) -> int:
        return len("\n".join(render_settings(Config(**blocks)))) - empty

    empty = len("\n".join(render_settings(Config())))
    whole = len("\n".join(render_settings(loads(SETTINGS))))
    whole += heads * grown(head={"h1024": HeadBlock(listen="10.200.100.100:7001", seed=1024)})
    whole += shelfs * grown(shelf={"s2048": ShelfBlock(listen="10.200.100.100:12048", slot=2047)})
    whole += volumes * grown(volume={"vol-2000": VolumeBlock(plan="g", heads=3, through=["h1022", "h1023", "h1024"])})
    return whole + named * len(" ".join(f"h{n}" for n in range(1, heads + 1)))


def grant_bytes(text: int, volumes: int = VOLUMES) -> int:
    """A GRANT that brings the active and the pending version, with something set aside for every volume."""
    aside = {f"vol-{n}": (12.5, 25.0) for n in range(volumes)}
    return len(encode(Kind.GRANT, 1, 3000.0, 1, "x" * text, 2, "x" * text, aside, "")) - PREFIX_BYTES


def list_bytes(shelfs: int = SHELFS, name: int = LONGEST_NAME, address: int = 60) -> int:
    """A whole LIST, its names and addresses so long."""
    rows = [("s" * name, "a" * address, "draining", n, 123_456_789.123) for n in range(shelfs)]
    return len(encode(Kind.LIST, 0, "whole", rows)) - PREFIX_BYTES


@functools.cache
def view_bytes(shelfs: int = SHELFS) -> int:
    """A console's rows of shelfs, as one look sends them to each viewer."""
    module = Scheduler(loads(SETTINGS).scheduler_settings(HeadBlock()), 1, 0.0)
    module.apply_endpoint_list(
        0.0, ListKind.WHOLE, [EndpointEntry(f"shelf-{n}", EndpointState.READY, n, 0.0) for n in range(shelfs)]
    )
    view = GatewayView(SimpleNamespace(core=SimpleNamespace(scheduler=module)))
    return len(msgspec.json.encode(view.node_rows(100_000.0)))


@functools.cache
def memory_bytes(shelfs: int = SHELFS, buckets: int = 20) -> int:
    """A head's memory on disk, with as many extents as are remembered, each with so many kinds of thinktime."""
    state = {
        "shelfs": {f"shelf-{n}": (123.456, 123.456, 98.7, 1234.5, 4.0, -1.0) for n in range(shelfs)},
        "every": (1.5, 1.5, 1.5, 1.5),
        "thinks": {f"vol-{n}/tender/{n}": {b: 1.5 for b in range(buckets)} for n in range(MAX_CACHE_ENTRIES)},
        "limits": {f"vol-{n}": (12.5, 25.5) for n in range(MAX_CACHE_ENTRIES)},
        "further": [1.5] * 1000,
        "lives": {f"shelf-{n}": (n, 123_456.7) for n in range(shelfs)},
    }
    return len(memory.encode(memory.Snapshot("h1", "0" * 16, 1.5, 1.5, "boot", True, state)))
