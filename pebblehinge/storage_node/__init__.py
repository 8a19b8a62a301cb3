"""Stand-in storage node: a simulated machine that stores what gateways write, with faults that the lab injects.

`machine` simulates the machine's time without sockets, `contents` stores the data, and `requests` executes attempts.
`connection` and `registration` hold the connections, `fault_control` injects the lab's faults, and `server` combines
them into one process.
"""

from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.errors import ControlError, JournalError, StorageNodeError
from pebblehinge.storage_node.job import Job
from pebblehinge.storage_node.machine import Machine
from pebblehinge.storage_node.server import StorageNodeServer

__all__ = ["Contents", "ControlError", "Job", "JournalError", "Machine", "StorageNodeError", "StorageNodeServer"]
