"""What a head keeps on disk: writes that it has confirmed and not yet brought to their shelfs, and what it has learned.

`disk` has the file operations, `records` what a journal records, `segment` its format on disk, `journal` which records
are live and where, `inspection` a look at a folder that changes nothing, `dirty` what is confirmed and not yet written
back; `flushing` decides when that happens, `committer` shares fsyncs. docs/durability.md has the promises.
"""

from pebblehinge.store.disk import Disk, RealDisk, StorageError

__all__ = ["Disk", "RealDisk", "StorageError"]
