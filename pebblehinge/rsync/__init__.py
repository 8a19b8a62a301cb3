"""A subset of the rsync daemon protocol, versions 27 to 31, without I/O: what it reads and writes is handed in.

`stream` and `numbers` carry bytes, `stream_protocol` feeds a stream from a transport. `greeting`, `negotiation`,
`options` with `option_parser`, `filters`, `flist` with its reader and writer, `digests`, `block_checksums` and `tokens`
decode and encode what the bytes mean; `rolling_checksum` and `delta` find what two files have in common.

`serve` runs the daemon's end of a connection. `sender` answers a pull, whose files `source` finds. `receiver` takes a
push: `generator` asks for files, `file_receiver` takes them, `deletion` removes what is not in the list.

`tree` defines how files are stored in extents; `module_store` and `directory_log` hold a module's directories,
`transfer` reads and commits them by requests, `file_content` and `file_writer` move blocks, `partial_uploads` keeps
what interrupted pushes stored. `request_scheduler` decides how many requests may be in flight and which is next;
`transfer_scheduler` lets transfers wait for that. docs/rsync.md says what of the protocol is supported.
"""

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.stream import Stream

__all__ = ["RsyncError", "Stream"]
