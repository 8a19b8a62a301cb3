"""Storage of a gateway on disk: confirmed writes that are not yet on their storage nodes, and learned scheduler state.

`disk` has the file operations and `errors` the exceptions. The journal is a write-ahead log: `records` defines its
records and `segment` their format on disk, `journal` tracks which records are live and in which segment, `committer`
does the group commit, `inspection` reads a journal folder without changing it. `dirty_writes` holds the confirmed
writes in memory, and `writeback_policy` decides when they are written back. `memory` stores the snapshot of the
scheduler's learned state, and `settings_mark` the canonical text of the settings whose hash the snapshot carries.
`background` runs blocking disk calls outside the event loop. docs/durability.md states the guarantees.
"""

from pebblehinge.store.disk import Disk, RealDisk
from pebblehinge.store.errors import (
    FolderInUseError,
    JournalDamagedError,
    JournalFailedError,
    JournalFencedError,
    SnapshotRejectedError,
    StorageError,
)

__all__ = [
    "Disk",
    "FolderInUseError",
    "JournalDamagedError",
    "JournalFailedError",
    "JournalFencedError",
    "RealDisk",
    "SnapshotRejectedError",
    "StorageError",
]
