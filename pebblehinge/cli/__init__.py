"""The command line. Exit status: 0 kept, 1 a rule or goal was missed, 2 wrong use, settings or surroundings.

Commands stand in files by group; importing one joins its commands to `main`.

A module here imports at its top only what every command needs. What one command needs is imported in the function
that uses it, marked `noqa: PLC0415`: a process then loads its own role's packages and no other's, and `--help`, `check`
and the start of each role stay quick. Types alone are imported under `TYPE_CHECKING`.
"""

from pebblehinge.cli import clients, days, gateway, group, load, rsync_client, stand_ins, store, trials
from pebblehinge.cli.base import main, ms_clock
from pebblehinge.cli.days import find_day

__all__ = [
    "clients",
    "ms_clock",
    "days",
    "find_day",
    "gateway",
    "group",
    "load",
    "main",
    "rsync_client",
    "stand_ins",
    "store",
    "trials",
]
