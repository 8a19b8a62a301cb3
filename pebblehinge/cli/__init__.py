"""The command line.

Exit status: 0 for success, 1 for a broken rule or a missed goal, 2 for wrong usage, invalid settings or a fault of the
environment, such as an address in use.

Each module holds a group of commands; importing it registers them with `main`.

A module here imports at its top only what every command needs. What one command needs is imported in the function
that uses it, marked `noqa: PLC0415`: a process then loads only the packages of its own role, and `--help`, `check`
and the start of each role stay fast. Imports that only type annotations need are under `TYPE_CHECKING`.
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
