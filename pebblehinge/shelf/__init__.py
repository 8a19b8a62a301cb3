"""The stand-in shelf: `model` is the machine without sockets, `contents` what it stores, `accesses` what it does with
both, `connection` and `registration` its connections, `server` the process."""

from pebblehinge.shelf.contents import Contents
from pebblehinge.shelf.model import Job, Machine
from pebblehinge.shelf.server import ShelfServer

__all__ = ["Contents", "Job", "Machine", "ShelfServer"]
