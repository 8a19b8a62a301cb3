"""Caps of heads, shelfs, clients, the console, files, the laboratory. Used by `caps.py`."""

from __future__ import annotations

from caps_clients import CLIENT_CAPS
from caps_head import HEAD_CAPS
from caps_laboratory import LABORATORY_CAPS
from caps_points import ENOUGH, NAMED, RAISED, Cap, constant, inline
from caps_service import ASIDE_CAPS
from caps_sizes import (
    COMING_SHELFS,
    HEADS,
    SHELFS,
    VOLUMES,
    view_bytes,
)

SHELF = "pebblehinge/storage_node/server.py"
CONSOLE, VIEW = "pebblehinge/console/server.py", "pebblehinge/console/view.py"
HISTORY = "pebblehinge/console/event_history.py"


OTHER_CAPS = [
    Cap(
        "backlog of a shelf",
        SHELF,
        "BACKLOG = ",
        constant("pebblehinge.storage_node.server", "BACKLOG"),
        "connections",
        "not yet accepted: all heads after its restart",
        HEADS,
        "all heads at once",
        "dropped; a head's 250 ms for it are over before the kernel's next try",
        ENOUGH,
    ),
    Cap(
        "connections of a client library",
        "pebblehinge/client/establish.py",
        "streams: int = ",
        inline("pebblehinge/client/establish.py", r"streams: int = (\d+)"),
        "accesses",
        "open on a connection",
        16,
        "as at the head",
        "the head cuts it",
        ENOUGH,
    ),
    Cap(
        "viewers of a console",
        CONSOLE,
        "MAX_VIEWERS = ",
        constant("pebblehinge.console.server", "MAX_VIEWERS"),
        "viewers",
        "pages that watch one head",
        None,
        f"{2 * view_bytes(COMING_SHELFS) / 1e3:.0f} KB a second to each at 1,500 shelfs",
        "503 and when to come again",
        NAMED,
    ),
    Cap(
        "looks missed",
        CONSOLE,
        "MAX_MISSED_SNAPSHOTS = ",
        constant("pebblehinge.console.server", "MAX_MISSED_SNAPSHOTS"),
        "looks",
        "in a row, by a viewer with over 64 KiB unsent; one look at "
        f"{SHELFS} shelfs is {view_bytes() / 1e3:.0f} KB or more, and it was dropped at the first",
        4,
        "a second or two of a slow line",
        "dropped, its page comes again",
        RAISED,
        "of a viewer: 64 KiB and one look, as before",
    ),
    Cap(
        "volumes shown",
        VIEW,
        "MAX_VOLUMES = ",
        constant("pebblehinge.console.view", "MAX_VOLUMES"),
        "volumes",
        "those used last",
        None,
        f"of {VOLUMES}; any one is shown by /volume/NAME",
        "the others are not in the list",
        NAMED,
    ),
    Cap(
        "events kept",
        HISTORY,
        "MAX_EVENTS = ",
        constant("pebblehinge.console.event_history", "MAX_EVENTS"),
        "lines",
        "shelfs that changed their health; the last 40 are sent",
        None,
        f"a zone that goes is {SHELFS // 4} lines",
        "the oldest go unseen",
        NAMED,
    ),
]


ROLES = CLIENT_CAPS + HEAD_CAPS + OTHER_CAPS + LABORATORY_CAPS + ASIDE_CAPS
