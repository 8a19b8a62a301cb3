"""Caps of a head's clients: connections, requests, keepalive. Used by `caps_roles.py`."""

from __future__ import annotations

from caps_points import ENOUGH, NAMED, RAISED, Cap, constant, default
from caps_sizes import (
    COMING_SHELFS,
    CONNECTIONS,
    PATIENCE_S,
    REQUESTS,
    SHELFS,
)

from pebblehinge.daemon.open_files import needed_open_files
from pebblehinge.settings.schema import LimitsBlock, RsyncBlock

SCHEMA, HEAD = "pebblehinge/settings/schema.py", "pebblehinge/gateway/server.py"


CLI = "pebblehinge/cli/head.py"


OPEN = int(REQUESTS * PATIENCE_S)


CLIENT_CAPS = [
    Cap(
        "connections of clients",
        SCHEMA,
        "connections: Count = ",
        default(LimitsBlock, "connections"),
        "connections",
        "a framed head's clients",
        CONNECTIONS,
        "4,200,000 over 910 heads",
        "one more is told how many are open, and cut",
        RAISED,
        "3.6 KiB of resident memory each at rest, 29 MB for all of them (benchmarks/idle_connections.py)",
    ),
    Cap(
        "backlog of a framed head",
        HEAD,
        "BACKLOG = ",
        constant("pebblehinge.gateway.server", "BACKLOG"),
        "connections",
        "connections not yet accepted: all clients after a restart",
        CONNECTIONS,
        "all at once; the kernel takes the smaller of this and net.core.somaxconn, 4,096 as it comes",
        "the kernel drops the rest; they try again after 1 s, then 3 s",
        RAISED,
        "about 1 KB each in the kernel, only while it waits (reckoned)",
    ),
    Cap(
        "open files of a framed head",
        CLI,
        'needed_open_files("head"',
        lambda: needed_open_files("head", connections=default(LimitsBlock, "connections")()),
        "files",
        "the soft limit is raised to so many",
        CONNECTIONS + SHELFS + 64,
        "clients, shelfs, its own",
        "a warning at the start names both figures; later accepts fail",
        ENOUGH,
    ),
    Cap(
        "accesses of a head",
        SCHEMA,
        "accesses: Count = 20_000",
        default(LimitsBlock, "accesses"),
        "accesses",
        "taken and not answered",
        OPEN,
        f"{REQUESTS} a second, {PATIENCE_S:g} s each",
        "pushed back at the door",
        ENOUGH,
    ),
    Cap(
        "bytes of accesses",
        SCHEMA,
        "bytes: Size = 256",
        default(LimitsBlock, "bytes"),
        "bytes",
        "payload held",
        OPEN * 65536,
        "the same, 64 KiB each",
        "pushed back at the door",
        ENOUGH,
    ),
    Cap(
        "accesses of a connection",
        SCHEMA,
        "streams: Count = ",
        default(LimitsBlock, "streams"),
        "accesses",
        "open on one connection",
        16,
        f"{OPEN} over {CONNECTIONS} connections are one each",
        "the connection is cut with why",
        ENOUGH,
    ),
    Cap(
        "keepalive",
        SCHEMA,
        "keepalive: Ms = ",
        default(LimitsBlock, "keepalive"),
        "ms",
        "silence after which either "
        f"end asks: {CONNECTIONS} idle clients and {COMING_SHELFS} shelfs make {(CONNECTIONS + COMING_SHELFS) / 5:.0f} "
        "PING a second from a head, and as many to it",
        None,
        "",
        "three times as long with nothing: cut",
        NAMED,
    ),
    Cap(
        "patience with a new link",
        SCHEMA,
        "connect: Ms = ",
        default(LimitsBlock, "connect"),
        "ms",
        "connection and greeting at a shelf",
        None,
        "the same at any size, but all heads come to a restarted shelf at once",
        "the trip is not reached",
        NAMED,
    ),
    Cap(
        "rsync transfers",
        "pebblehinge/settings/rsync.py",
        "transfers: Count = ",
        default(RsyncBlock, "transfers"),
        "transfers",
        "under way at one head",
        None,
        "not told for the coming size",
        "turned away at the door",
        NAMED,
    ),
]
