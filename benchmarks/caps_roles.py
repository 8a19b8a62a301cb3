"""Caps of heads, shelfs, clients, the console, files, the laboratory. Used by `caps.py`."""

from __future__ import annotations

from caps_points import ENOUGH, LOW, NAMED, RAISED, Cap, constant, default, inline
from caps_sizes import (
    ACCESSES,
    COMING_HEADS,
    COMING_SHELFS,
    CONNECTIONS,
    HEADS,
    PATIENCE_S,
    SHELFS,
    VOLUMES,
    list_bytes,
    memory_bytes,
    view_bytes,
)

from pebblehinge.daemon.files import files_of
from pebblehinge.lab.fleet import release_address
from pebblehinge.settings import Config
from pebblehinge.settings.schema import FleetBlock, LimitsBlock, RsyncBlock

SCHEMA, HEAD, DOOR = "pebblehinge/settings/schema.py", "pebblehinge/head/server.py", "pebblehinge/head/door.py"
SHELF, CLI = "pebblehinge/shelf/server.py", "pebblehinge/cli/head.py"
CONSOLE, VIEW = "pebblehinge/console/server.py", "pebblehinge/console/view.py"
SERVICE = "pebblehinge/service"
OPEN = int(ACCESSES * PATIENCE_S)

HEAD_CAPS = [
    Cap("connections of clients", SCHEMA, "connections: Count = ", default(LimitsBlock, "connections"), "connections",
        "a framed head's clients", CONNECTIONS, "4,200,000 over 910 heads", "one more is told how many are open, and "
        "cut", RAISED, "3.6 KiB of resident memory each at rest, 29 MB "
        "for all of them (benchmarks/idle_connections.py)"),
    Cap("backlog of a framed head", HEAD, "BACKLOG = ", constant("pebblehinge.head.server", "BACKLOG"), "connections",
        "connections not yet accepted: all clients after a restart", CONNECTIONS, "all at once; the kernel takes the "
        "smaller of this and net.core.somaxconn, 4,096 as it comes", "the kernel drops the rest; they try again after "
        "1 s, then 3 s", RAISED, "about 1 KB each in the kernel, only while it waits (reckoned)"),
    Cap("open files of a framed head", CLI, 'files_of("head"', lambda: files_of(
        "head", connections=default(LimitsBlock, "connections")()), "files", "the soft limit is raised to so many",
        CONNECTIONS + SHELFS + 64, "clients, shelfs, its own", "a warning at the start names both figures; later "
        "accepts fail", ENOUGH),
    Cap("accesses of a head", SCHEMA, "accesses: Count = 20_000", default(LimitsBlock, "accesses"), "accesses",
        "taken and "
        "not answered", OPEN, f"{ACCESSES} a second, {PATIENCE_S:g} s each", "pushed back at the door", ENOUGH),
    Cap("bytes of accesses", SCHEMA, "bytes: Size = 256", default(LimitsBlock, "bytes"), "bytes", "payload held",
        OPEN * 65536, "the same, 64 KiB each", "pushed back at the door", ENOUGH),
    Cap("accesses of a connection", SCHEMA, "streams: Count = ", default(LimitsBlock, "streams"), "accesses",
        "open on one connection", 16, f"{OPEN} over {CONNECTIONS} connections are one each", "the connection is cut "
        "with why", ENOUGH),
    Cap("keepalive", SCHEMA, "keepalive: Ms = ", default(LimitsBlock, "keepalive"), "ms", "silence after which either "
        f"end asks: {CONNECTIONS} idle clients and {COMING_SHELFS} shelfs make {(CONNECTIONS + COMING_SHELFS) / 5:.0f} "
        "PING a second from a head, and as many to it", None, "", "three times as long with nothing: cut", NAMED),
    Cap("patience with a new link", SCHEMA, "connect: Ms = ", default(LimitsBlock, "connect"), "ms", "connection and "
        "greeting at a shelf", None, "the same at any size, but all heads come to a restarted shelf at once", "the "
        "trip is not reached", NAMED),
    Cap("rsync transfers", "pebblehinge/settings/rsync.py", "transfers: Count = ", default(RsyncBlock, "transfers"),
        "transfers", "under way at "
        "one head", None, "not told for the coming size", "turned away at the door", NAMED),
    Cap("backlog for rsync", DOOR, "backlog=", inline(DOOR, r"backlog=([0-9_]+)"), "connections", "not yet accepted",
        HEADS, "no fewer than heads", "dropped, tried again by the client", ENOUGH),
    Cap("bytes of a head's memory", "pebblehinge/store/memory.py", "MOST = ", constant("pebblehinge.store.memory",
        "MOST"), "bytes", "the file of what it has learned, read at its start", memory_bytes(), f"{SHELFS} shelfs, as "
        "many extents as are remembered with 20 thinktimes each", "a larger one is written and not taken up", ENOUGH),
    Cap("pairs of waiting", "pebblehinge/account/books.py", "MOST_PAIRS = ", constant("pebblehinge.account.books",
        "MOST_PAIRS"), "pairs", "volume and cause, where accounts are kept", 5 * VOLUMES, f"{VOLUMES} volumes, five "
        "causes each", "the smallest quarter is added up under *others*", RAISED, "1.5 MB (tracemalloc), 0.5 before"),
    Cap("lines of records in a turn", "pebblehinge/records/files.py", "MOST_BUFFERED = ",
        constant("pebblehinge.records.files", "MOST_BUFFERED"), "lines", "records not yet written", 10 * ACCESSES,
        "a second of a head's accesses, ten lines each", "written at once", ENOUGH),
    Cap("bytes of a capture's block", "pebblehinge/capture/files.py", "LARGEST = ",
        constant("pebblehinge.capture.files", "LARGEST"), "bytes", "2,000 accesses", 2000 * 1200, "names of 500 "
        "characters", "the reading ends there and says so", ENOUGH),
]  # fmt: skip
OTHER_CAPS = [
    Cap("backlog of a shelf", SHELF, "backlog=", inline(SHELF, r"backlog=([0-9_]+)"), "connections",
        "not yet accepted: all heads after its restart", HEADS, "all heads at once",
        "dropped; a head's 250 ms for it are over before "
        "the kernel's next try", ENOUGH),
    Cap("connections of a client library", "pebblehinge/client/conn.py", "streams: int = ",
        inline("pebblehinge/client/conn.py", r"streams: int = (\d+)"), "accesses", "open on a connection", 16,
        "as at the head", "the head cuts it", ENOUGH),
    Cap("viewers of a console", CONSOLE, "MOST_VIEWERS = ", constant("pebblehinge.console.server", "MOST_VIEWERS"),
        "viewers", "pages that watch one head", None, f"{2 * view_bytes(COMING_SHELFS) / 1e3:.0f} KB a second to each "
        "at 1,500 shelfs", "503 and when to come again", NAMED),
    Cap("looks missed", CONSOLE, "MISSED = ", constant("pebblehinge.console.server", "MISSED"), "looks",
        "in a row, by a viewer with over 64 KiB unsent; one look at "
        f"{SHELFS} shelfs is {view_bytes() / 1e3:.0f} KB or more, and it was dropped at the first", 4,
        "a second or two of a slow line", "dropped, its page comes again", RAISED,
        "of a viewer: 64 KiB and one look, as before"),
    Cap("volumes shown", VIEW, "MOST_VOLUMES = ", constant("pebblehinge.console.view", "MOST_VOLUMES"), "volumes",
        "those used last", None, f"of {VOLUMES}; any one is shown by /volume/NAME", "the others are not in the list",
        NAMED),
    Cap("events kept", VIEW, "MOST_EVENTS = ", constant("pebblehinge.console.view", "MOST_EVENTS"), "lines",
        "shelfs that changed their health; the last 40 are sent", None, f"a zone that goes is {SHELFS // 4} lines",
        "the oldest go unseen", NAMED),
    Cap("step to a shelf's next release", "pebblehinge/lab/fleet.py", "step = max(", lambda: _step(SHELFS), "ports",
        "shelfs of a laboratory's fleet before s1's next process has the port of another; 1,000 before", SHELFS,
        "a fleet of all shelfs", "the new process does not start: its address is in use", RAISED, "none"),
    Cap("releases of a shelf in a script", "pebblehinge/lab/faults/ground.py", "RELEASES = ",
        constant("pebblehinge.lab.faults.ground", "RELEASES"), "releases", "addresses that a script knows by the "
        "shelf's name", None, "the same at any size", "ways to a later one are not struck", NAMED),
    Cap("processes of a day", "pebblehinge/lab/processes.py", "async def start_all", lambda: 0, "0: none",
        "one process for each head, shelf, load", None,
        f"{COMING_HEADS} and {COMING_SHELFS} at 40 MB or so are 96 GB (reckoned): "
        "hollow ones share processes", "the machine's memory", NAMED),
    Cap("lines of a script of faults", "pebblehinge/lab/faults/script.py", "MOST_LINES = ",
        constant("pebblehinge.lab.faults.script", "MOST_LINES"), "lines", "faults of a day", HEADS + SHELFS,
        "one for each process", "refused with its line", ENOUGH),
    Cap("datagrams that wait in virtual time", "pebblehinge/lab/mempipes.py", "MOST_WAITING = ",
        constant("pebblehinge.lab.mempipes", "MOST_WAITING"), "datagrams", "of one process", None, "nothing that heads "
        "share goes by datagram", "lost, as in a socket", NAMED),
    Cap("rows of a trial", "pebblehinge/cli/days.py", "MOST_ROWS = ", constant("pebblehinge.cli.days", "MOST_ROWS"),
        "accesses", "a trial of grown load", 20 * ACCESSES * COMING_HEADS, "the fleet's 20 busiest seconds", "refused: "
        "half a second of the whole fleet is all that is played, so trials are of parts of it", LOW),
]  # fmt: skip
ASIDE_CAPS = [  # decide/ and service/: listed here, changed elsewhere
    Cap("extents and volumes remembered", "pebblehinge/decide/access.py", "REMEMBERED = ",
        constant("pebblehinge.decide.access", "REMEMBERED"), "", "thinktimes by extent, stores of volumes at rest",
        VOLUMES, "the issue's volumes", "the one used longest ago goes", ENOUGH),
    Cap("trips of a head at a shelf", "pebblehinge/decide/shelfs.py", "BOUND = ", constant("pebblehinge.decide.shelfs",
        "BOUND"), "trips", "out at one shelf", None, f"{COMING_HEADS} heads may have {4 * COMING_HEADS} trips out at "
        "one shelf together: a decision, see there", "held", NAMED),
    Cap("backlog of the head in service", f"{SERVICE}/listener.py", "BACKLOG = ",
        constant("pebblehinge.service.listener", "BACKLOG"), "connections", "not yet accepted: all clients after a "
        "restart", CONNECTIONS, "all at once", "dropped; the kernel's next try comes after 1 s", LOW),
    Cap("sockets of the head in service", f"{SERVICE}/config.py", "FEWEST_SOCKETS = ",
        constant("pebblehinge.service.config", "FEWEST_SOCKETS"), "descriptors", "the least that the platform may "
        "state; five eighths are for clients, three for shelfs", None, f"{CONNECTIONS} clients need "
        f"{(CONNECTIONS + 24) * 8 // 5} to be stated; a quarter is kept for clients that have asked once: "
        f"{CONNECTIONS * 4} to keep all of those", "clients wait in the backlog; idle ones are closed", NAMED),
    Cap("bytes of a list in service", f"{SERVICE}/lists.py", "OBJECT_LIMIT = ", constant("pebblehinge.service.lists",
        "OBJECT_LIMIT"), "bytes", "one object of the list", 2 * list_bytes(), f"{SHELFS} shelfs as JSON, twice what "
        "they are as a LIST", "the connection to discovery is given up", ENOUGH),
    Cap("bytes of the configuration in service", f"{SERVICE}/config.py", "FILE_LIMIT = ",
        constant("pebblehinge.service.config", "FILE_LIMIT"), "bytes", "the file, a known list in it", 4 * list_bytes(),
        "the same and as much again", "refused, the old one stays", ENOUGH),
    Cap("shelfs that left", f"{SERVICE}/discovery.py", "LEFT_KEPT = ", constant("pebblehinge.service.discovery",
        "LEFT_KEPT"), "shelfs", "known as gone", 2 * SHELFS, "all, each replaced once", "the first to leave goes",
        ENOUGH),
    Cap("bytes of answers in service", f"{SERVICE}/pool.py", "HELD_LIMIT = ", constant("pebblehinge.service.pool",
        "HELD_LIMIT"), "bytes", "answers that are not whole", 200 * 65536, f"{ACCESSES} a second, a fifth of a second "
        "each, 64 KiB", "the trip has erred", ENOUGH),
    Cap("lines of the log in service", f"{SERVICE}/server.py", "MOST_LINES = ", constant("pebblehinge.service.server",
        "MOST_LINES"), "lines", "of one life", None, "a line each 5 s: 2.8 hours", "nothing more is told", NAMED),
]  # fmt: skip
ROLES = HEAD_CAPS + OTHER_CAPS + ASIDE_CAPS


def _step(shelfs: int) -> int:
    fleet = Config(fleet=FleetBlock(shelfs=shelfs))
    return int(release_address(fleet, "127.0.0.1:0", 1).rpartition(":")[2])
