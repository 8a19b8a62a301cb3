"""Caps of a head's own: its memory, its accounts, its files. Used by `caps_roles.py`."""

from __future__ import annotations

from caps_points import ENOUGH, RAISED, Cap, constant
from caps_sizes import (
    HEADS,
    REQUESTS,
    SHELFS,
    VOLUMES,
    memory_bytes,
)

DOOR = "pebblehinge/gateway/rsync_listener.py"


HEAD_CAPS = [
    Cap(
        "backlog for rsync",
        DOOR,
        "BACKLOG = ",
        constant("pebblehinge.gateway.rsync_listener", "BACKLOG"),
        "connections",
        "not yet accepted",
        HEADS,
        "no fewer than heads",
        "dropped, tried again by the client",
        ENOUGH,
    ),
    Cap(
        "bytes of a head's memory",
        "pebblehinge/store/memory.py",
        "MAX_BYTES = ",
        constant("pebblehinge.store.memory", "MAX_BYTES"),
        "bytes",
        "the file of what it has learned, read at its start",
        memory_bytes(),
        f"{SHELFS} shelfs, as many extents as are remembered with 20 thinktimes each",
        "a larger one is written and not taken up",
        ENOUGH,
    ),
    Cap(
        "pairs of waiting",
        "pebblehinge/wait_accounting/accounting.py",
        "MAX_PAIRS = ",
        constant("pebblehinge.wait_accounting.accounting", "MAX_PAIRS"),
        "pairs",
        "volume and cause, where accounts are kept",
        5 * VOLUMES,
        f"{VOLUMES} volumes, five causes each",
        "the smallest quarter is added up under *others*",
        RAISED,
        "1.5 MB (tracemalloc), 0.5 before",
    ),
    Cap(
        "lines of records in a turn",
        "pebblehinge/event_log/writer.py",
        "MAX_BUFFERED_LINES = ",
        constant("pebblehinge.event_log.writer", "MAX_BUFFERED_LINES"),
        "lines",
        "records not yet written",
        10 * REQUESTS,
        "a second of a head's accesses, ten lines each",
        "written at once",
        ENOUGH,
    ),
    Cap(
        "bytes of a capture's block",
        "pebblehinge/capture/format.py",
        "MAX_BLOCK_BYTES = ",
        constant("pebblehinge.capture.format", "MAX_BLOCK_BYTES"),
        "bytes",
        "2,000 accesses",
        2000 * 1200,
        "names of 500 characters",
        "the reading ends there and says so",
        ENOUGH,
    ),
]
