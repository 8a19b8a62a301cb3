"""The stand-in shelf: `model` is the machine without sockets, `contents` what it stores, `server` its sockets."""

from pebblehinge.shelf.contents import Contents
from pebblehinge.shelf.model import Job, Machine
from pebblehinge.shelf.server import ShelfServer

__all__ = ["Contents", "Job", "Machine", "ShelfServer"]
