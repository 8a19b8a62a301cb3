"""A subset of the rsync daemon protocol, versions 27 to 31, with no I/O: what it reads and writes is handed in.

`stream` and `numbers` carry bytes; `greeting`, `options`, `filters`, `flist` with its reader and writer, `digests`,
`sums` and `tokens` say what they mean; `rolling_checksum` and `delta` find what two files have in common.

`serve` runs the daemon's end of a connection. `sender` answers a pull. `receiver` takes a push: `generator` asks for
files, `file_receiver` takes them, `deletion` removes what is left over.

`tree` says how files lie in extents; `module_store` and `directory_log` keep a module's directories, `transfer` reads
and commits them by accesses, `file_content` and `file_writer` move blocks. `sharing` decides how many accesses may be
under way, `turns` carries that out. docs/rsync.md says what of the protocol is in.
"""

from pebblehinge.rsync.stream import RsyncError, Stream

__all__ = ["RsyncError", "Stream"]
