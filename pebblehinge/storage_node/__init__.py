"""The stand-in shelf: `model` is the machine without sockets, `contents` what it stores, `requests` what it does with
both, `connection` and `registration` its connections, `server` the process."""

from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.machine import Job, Machine
from pebblehinge.storage_node.server import ShelfServer

__all__ = ["Contents", "Job", "Machine", "ShelfServer"]
