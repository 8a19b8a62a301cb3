"""What a gateway keeps on disk: confirmed writes that are not yet on their storage nodes, and learned state.

`disk` has the file operations and `errors` the exceptions. The journal is a write-ahead log: `records` are its records,
`segment` is their format on disk, `journal` knows which records are live and in which segment, `committer` groups
fsyncs, `inspection` reads a folder without changing it. `dirty_writes` holds the confirmed writes in memory, and
`writeback_policy` decides when they are written back. `memory` is the snapshot of the scheduler's learned state, whose
settings are told apart by `settings_mark`. `background` runs what waits for a disk beside the loop.
docs/durability.md states the guarantees.
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
