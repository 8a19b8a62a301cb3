"""Caps of the group's log: messages, segments, snapshots. Used by `caps_shared.py`."""

from __future__ import annotations

from caps_points import ENOUGH, NAMED, Cap, constant, default
from caps_settings import SCHEMA, TEXT
from caps_sizes import (
    HEADS,
)

from pebblehinge.settings.schema import GroupBlock

PROGRESS, RECORDS, REPLICATION, STORAGE, TRANSPORT = (
    f"pebblehinge/raft/{n}.py" for n in ("progress", "records", "replication", "storage", "transport")
)

LOG_CAPS = [
    Cap(
        "messages to one instance",
        TRANSPORT,
        "MAX_QUEUED_MESSAGES = ",
        constant("pebblehinge.raft.transport", "MAX_QUEUED_MESSAGES"),
        "messages",
        "what waits for an instance that does not take it",
        64,
        "appends under way, heartbeats, one round at a time for all renewals",
        "the oldest are dropped, unsaid; Raft sends again after a heartbeat",
        ENOUGH,
    ),
    Cap(
        "appends under way",
        PROGRESS,
        "MAX_INFLIGHT_APPENDS = ",
        constant("pebblehinge.raft.progress", "MAX_INFLIGHT_APPENDS"),
        "messages",
        "appends to one follower with no answer",
        None,
        "at 40 ms there and back 16 give 400 a second",
        "later entries go together in the next",
        NAMED,
    ),
    Cap(
        "bytes of entries in a message",
        REPLICATION,
        "MAX_APPEND_BYTES = ",
        constant("pebblehinge.raft.replication", "MAX_APPEND_BYTES"),
        "bytes",
        "entries in one append",
        1024 * 128,
        f"acknowledgements of {HEADS} heads",
        "the rest goes in the next; one entry always goes",
        ENOUGH,
    ),
    Cap(
        "bytes of a snapshot's piece",
        REPLICATION,
        "SNAPSHOT_CHUNK_BYTES = ",
        constant("pebblehinge.raft.replication", "SNAPSHOT_CHUNK_BYTES"),
        "bytes",
        "a snapshot goes piece by piece, one under way",
        None,
        "200 versions at size are "
        f"{200 * TEXT / 1e6:.0f} MB: {200 * TEXT / 65536 * 0.04:.0f} s at 40 ms a piece (reckoned)",
        "an instance that comes back across regions is behind for so long",
        NAMED,
    ),
    Cap(
        "bytes of a log's segment",
        STORAGE,
        "SEGMENT_BYTES = ",
        constant("pebblehinge.raft.storage", "SEGMENT_BYTES"),
        "bytes",
        "one file of the log",
        None,
        "four versions at size",
        "the next file begins",
        NAMED,
    ),
    Cap(
        "bytes of a record",
        RECORDS,
        "MAX_RECORD_BYTES = ",
        constant("pebblehinge.raft.records", "MAX_RECORD_BYTES"),
        "bytes",
        "one entry, read back; not a snapshot",
        3 << 20,
        "a version's text three times over",
        "the instance calls it damage and does not start",
        ENOUGH,
    ),
    Cap(
        "entries before a snapshot",
        SCHEMA,
        "compact: Count = ",
        default(GroupBlock, "compact"),
        "entries",
        "the log's length in memory and on disk",
        64,
        "a burst of ten versions: six entries each at the most, once acknowledgements go together",
        f"a snapshot of all versions kept, {200 * TEXT / 1e6:.0f} MB at size, its write and fsync in the loop",
        ENOUGH,
    ),
]
