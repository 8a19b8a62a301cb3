"""Caps of what waits at an instance of the group. Used by `caps_shared.py`."""

from __future__ import annotations

from caps_points import ENOUGH, RAISED, Cap, constant, default
from caps_settings import BOUNDS, SCHEMA
from caps_sizes import (
    HEADS,
    VOLUMES,
    grant_bytes,
)

from pebblehinge.settings.schema import LimitsBlock

RAFT_LEADER, READ_INDEX = (f"pebblehinge/raft/{n}.py" for n in ("leader", "read_index"))


ASKING, RENEWALS = (f"pebblehinge/replicated_config/{n}.py" for n in ("operator_requests", "renewals"))


BIGGEST = constant("pebblehinge.replicated_config.size_limits", "MAX_TEXT_BYTES")


GROUP_CAPS = [
    Cap(
        "bytes of a frame of the group",
        BOUNDS,
        "MAX_FRAME_BYTES = ",
        constant("pebblehinge.replicated_config.size_limits", "MAX_FRAME_BYTES"),
        "bytes",
        "every frame between instances, heads and operators; `limits frame`, 1 MiB, before",
        grant_bytes(BIGGEST()),
        f"a GRANT with two of the largest texts and {VOLUMES} volumes set aside",
        "the reader cuts the connection with a line that names the size; no text that was let in comes to that",
        RAISED,
        "of a connection, only while a "
        "frame is not whole: 1 to 2 MB at size where both texts come, at worst 8 MiB each",
    ),
    Cap(
        "bytes of a frame",
        SCHEMA,
        "frame: Size = ",
        default(LimitsBlock, "frame"),
        "bytes",
        "frames of clients, shelfs and the list",
        65536 + 1024,
        "an access of 64 KiB",
        "the connection is cut with a line that names the size",
        ENOUGH,
        "of a connection, only while a frame is not whole",
    ),
    Cap(
        "questions that wait",
        ASKING,
        "MAX_PENDING_REQUESTS = ",
        constant("pebblehinge.replicated_config.operator_requests", "MAX_PENDING_REQUESTS"),
        "questions",
        "proposals and reads of operators that wait; all renewals of heads are one read among them",
        8,
        "some operators at once",
        "operators are told *too much is asked at once*, exit 1",
        ENOUGH,
    ),
    Cap(
        "reads that wait",
        READ_INDEX,
        "MAX_PENDING_READS = ",
        constant("pebblehinge.raft.read_index", "MAX_PENDING_READS"),
        "reads",
        "reads that wait for a round of the majority; 256, one for each renewal, before rounds were shared",
        HEADS + 64,
        "more than a renewal of each head and some operators' looks",
        "the read is refused",
        RAISED,
        "36 bytes each",
    ),
    Cap(
        "renewals that wait",
        RENEWALS,
        "MAX_PENDING_RENEWALS = ",
        constant("pebblehinge.replicated_config.renewals", "MAX_PENDING_RENEWALS"),
        "renewals",
        "of heads that wait for their round, or for their acknowledgement in the log",
        HEADS + 64,
        "a renewal of each head: all renew after NEWS",
        "the head keeps its connection and comes back after a spread pause",
        ENOUGH,
        "about 500 bytes each, 2 MB",
    ),
    Cap(
        "proposals that wait",
        RAFT_LEADER,
        "MAX_UNCOMMITTED_ENTRIES = ",
        constant("pebblehinge.raft.leader", "MAX_UNCOMMITTED_ENTRIES"),
        "entries",
        "entries of the log that are not committed",
        64,
        "a command a tick holds what all heads acknowledge; some of operators",
        "refused; an acknowledgement comes again with the next tick",
        ENOUGH,
    ),
]
