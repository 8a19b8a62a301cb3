"""A module's files on one gateway: the logs of its directories, and what its sessions share."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.rsync.directory_log import DirectoryLog
from pebblehinge.rsync.module_state import Request
from pebblehinge.rsync.partial_uploads import PartialUploads
from pebblehinge.rsync.transfer_scheduler import TransferScheduler
from pebblehinge.settings.schema import ModuleBlock

MAX_DIRECTORY_LOGS = 4096
"""Directory logs that a gateway remembers."""


class ModuleStore:
    """One module of one gateway.

    Attributes:
        name: The module's name.
        block: Its settings.
        slots: The slots of its volume.
        max_units: Largest size of one request, in units.
        scheduler: Schedules the requests of all transfers.
        request: Makes one request.
        partial_uploads: What is kept of interrupted uploads.
        directories: The directory logs by path, the least recently used first.
        committed: Entries committed so far.
        uncertain: Appends of which it was not known whether they ran.
        appends: Appends begun so far.
    """

    def __init__(
        self,
        name: str,
        block: ModuleBlock,
        slots: list[int],
        max_units: float,
        scheduler: TransferScheduler,
        request: Request,
        partial_uploads: PartialUploads,
    ) -> None:
        self.name = name
        self.block = block
        self.slots = slots
        self.max_units = max_units
        self.scheduler = scheduler
        self.request = request
        self.partial_uploads = partial_uploads
        self.directories: OrderedDict[bytes, DirectoryLog] = OrderedDict()
        self.committed = 0
        self.uncertain = 0
        self.appends = 0

    def log(self, path: bytes) -> DirectoryLog:
        """Returns the log of a directory; the least recently used idle ones are forgotten."""
        log = self.directories.get(path)
        if log is None:
            log = self.directories[path] = DirectoryLog(self, path)
            for oldest in list(self.directories):
                if len(self.directories) <= MAX_DIRECTORY_LOGS:
                    break
                if not self.directories[oldest].is_busy():
                    del self.directories[oldest]
        self.directories.move_to_end(path)
        return log
