"""The stand-in storage node: a simulated machine that stores what gateways write, and injects faults for the lab.

`machine` is the simulated machine without sockets, `contents` what it stores, `requests` what it does with an attempt.
`connection` and `registration` are its connections, `fault_control` the faults that the lab injects, and `server` puts
them together as one process.
"""

from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.errors import ControlError, JournalError, StorageNodeError
from pebblehinge.storage_node.job import Job
from pebblehinge.storage_node.machine import Machine
from pebblehinge.storage_node.server import StorageNodeServer

__all__ = ["Contents", "ControlError", "Job", "JournalError", "Machine", "StorageNodeError", "StorageNodeServer"]
