"""A module's files on one head: the logs of its directories, and what its sessions share."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.rsync.directory_log import DirectoryLog
from pebblehinge.rsync.module_state import Access
from pebblehinge.rsync.sharing import Keeping
from pebblehinge.rsync.turns import Turns
from pebblehinge.settings.schema import ModuleBlock

FOLDERS = 4096  # logs that a head remembers


class Place:
    """One module of one head: what its sessions share."""

    def __init__(
        self,
        name: str,
        block: ModuleBlock,
        slots: list[int],
        most_units: float,
        turns: Turns,
        access: Access,
        keeping: Keeping,
    ) -> None:
        self.name, self.block, self.slots, self.most_units = name, block, slots, most_units
        self.turns, self.access, self.keeping = turns, access, keeping
        self.folders: OrderedDict[bytes, DirectoryLog] = OrderedDict()
        self.landed = self.unsure = self.appends = 0

    def log(self, path: bytes) -> DirectoryLog:
        log = self.folders.get(path)
        if log is None:
            log = self.folders[path] = DirectoryLog(self, path)
            for old in list(self.folders):
                if len(self.folders) <= FOLDERS:
                    break
                if not self.folders[old].busy():
                    del self.folders[old]
        self.folders.move_to_end(path)
        return log
