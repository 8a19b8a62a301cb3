"""The command line. Exit status: 0 kept, 1 a rule or goal was missed, 2 wrong use, settings or surroundings.

Commands stand in files by group; importing one joins its commands to `main`.
"""

from pebblehinge.cli import clients, days, group, head, stand_ins, store, trials
from pebblehinge.cli.base import clock_of, main
from pebblehinge.cli.days import find_day

__all__ = ["clients", "clock_of", "days", "find_day", "group", "head", "main", "stand_ins", "store", "trials"]
