"""Caps of the laboratory. Used by `caps_roles.py`."""

from __future__ import annotations

from caps_points import ENOUGH, LOW, NAMED, RAISED, Cap, constant
from caps_sizes import (
    COMING_HEADS,
    COMING_SHELFS,
    HEADS,
    REQUESTS,
    SHELFS,
)

from pebblehinge.lab.fleet import release_address
from pebblehinge.settings import Config
from pebblehinge.settings.schema import FleetBlock

LABORATORY_CAPS = [
    Cap(
        "step to a shelf's next release",
        "pebblehinge/lab/fleet.py",
        "step = max(",
        lambda: _step(SHELFS),
        "ports",
        "shelfs of a laboratory's fleet before s1's next process has the port of another; 1,000 before",
        SHELFS,
        "a fleet of all shelfs",
        "the new process does not start: its address is in use",
        RAISED,
        "none",
    ),
    Cap(
        "releases of a shelf in a script",
        "pebblehinge/lab/faults/ground.py",
        "RELEASES = ",
        constant("pebblehinge.lab.faults.ground", "RELEASES"),
        "releases",
        "addresses that a script knows by the shelf's name",
        None,
        "the same at any size",
        "ways to a later one are not struck",
        NAMED,
    ),
    Cap(
        "processes of a day",
        "pebblehinge/lab/processes.py",
        "async def start_all",
        lambda: 0,
        "0: none",
        "one process for each head, shelf, load",
        None,
        f"{COMING_HEADS} and {COMING_SHELFS} at 40 MB or so are 96 GB (reckoned): hollow ones share processes",
        "the machine's memory",
        NAMED,
    ),
    Cap(
        "lines of a script of faults",
        "pebblehinge/lab/faults/script.py",
        "MOST_LINES = ",
        constant("pebblehinge.lab.faults.script", "MOST_LINES"),
        "lines",
        "faults of a day",
        HEADS + SHELFS,
        "one for each process",
        "refused with its line",
        ENOUGH,
    ),
    Cap(
        "datagrams that wait in virtual time",
        "pebblehinge/lab/memory_transport.py",
        "MAX_QUEUED_DATAGRAMS = ",
        constant("pebblehinge.lab.memory_transport", "MAX_QUEUED_DATAGRAMS"),
        "datagrams",
        "of one process",
        None,
        "nothing that heads share goes by datagram",
        "lost, as in a socket",
        NAMED,
    ),
    Cap(
        "rows of a trial",
        "pebblehinge/cli/days.py",
        "MAX_TRIAL_REQUESTS = ",
        constant("pebblehinge.cli.days", "MAX_TRIAL_REQUESTS"),
        "accesses",
        "a trial of grown load",
        20 * REQUESTS * COMING_HEADS,
        "the fleet's 20 busiest seconds",
        "refused: half a second of the whole fleet is all that is played, so trials are of parts of it",
        LOW,
    ),
]


def _step(shelfs: int) -> int:
    fleet = Config(fleet=FleetBlock(shelfs=shelfs))
    return int(release_address(fleet, "127.0.0.1:0", 1).rpartition(":")[2])
