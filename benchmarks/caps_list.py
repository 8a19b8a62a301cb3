"""Caps of the node list and of open files. Used by `caps_shared.py`."""

from __future__ import annotations

from caps_points import ENOUGH, RAISED, Cap, constant, default, inline
from caps_settings import SCHEMA
from caps_sizes import (
    HEADS,
    LONGEST_NAME,
    SHELFS,
    list_bytes,
)

from pebblehinge.daemon.open_files import needed_open_files
from pebblehinge.settings.schema import LimitsBlock

LISTING, FILES = "pebblehinge/discovery/server.py", "pebblehinge/daemon/open_files.py"


OPENED = "none until they are open"


LIST_CAPS = [
    Cap(
        "bytes of a whole list",
        SCHEMA,
        "frame: Size = ",
        default(LimitsBlock, "frame"),
        "bytes",
        "a LIST of all shelfs",
        list_bytes(),
        f"{SHELFS} shelfs, names of {LONGEST_NAME}, addresses of 60 characters",
        "the head cuts the connection to the list, comes again, is cut again",
        ENOUGH,
        f"{list_bytes(1500, 10, 20):,} bytes for 1,500 shelfs; for each head that does not read yet",
    ),
    Cap(
        "backlog of the list",
        LISTING,
        "BACKLOG = ",
        constant("pebblehinge.discovery.server", "BACKLOG"),
        "connections",
        "heads and shelfs after its restart",
        HEADS + SHELFS,
        "all of them within 0.2 to 0.6 s; the kernel takes the smaller of this and net.core.somaxconn",
        "the kernel drops the rest; they try again after 1 s, then 3 s",
        RAISED,
        "about 1 KB each in the kernel, only while it waits (reckoned)",
    ),
    Cap(
        "open files of the list",
        FILES,
        "role == GATEWAY",
        lambda: needed_open_files("listing"),
        "files",
        "connections to the list",
        HEADS + SHELFS + 64,
        "all heads and shelfs",
        "a warning at the start where the hard limit is lower; "
        "what comes then is closed at once, and comes again and again",
        RAISED,
        OPENED,
    ),
    Cap(
        "open files of a shelf",
        "pebblehinge/cli/stand_ins.py",
        'needed_open_files("shelf"',
        lambda: needed_open_files("shelf"),
        "files",
        "connections of heads",
        HEADS + 64,
        "all heads",
        "as above",
        RAISED,
        OPENED,
    ),
    Cap(
        "open files of an instance",
        "pebblehinge/cli/group.py",
        'needed_open_files("group"',
        lambda: needed_open_files("group"),
        "files",
        "connections of heads, instances, operators",
        HEADS + 64,
        "all heads",
        "as above",
        RAISED,
        OPENED,
    ),
    Cap(
        "calls to the list that wait",
        "pebblehinge/gateway/discovery_link.py",
        "del self.calls[",
        inline("pebblehinge/gateway/discovery_link.py", r"self\.calls\[:-(\d+)\]"),
        "calls",
        "what the module asks while no list is there",
        1,
        "one would do",
        "the oldest goes",
        ENOUGH,
    ),
    Cap(
        "bytes of a greeting",
        "pebblehinge/wire/session.py",
        "MAX_GREETING_BYTES = ",
        constant("pebblehinge.wire.session", "MAX_GREETING_BYTES"),
        "bytes",
        "HELLO, names of at most 200 characters",
        900,
        "200 characters of four bytes",
        "cut, with why",
        ENOUGH,
    ),
]
