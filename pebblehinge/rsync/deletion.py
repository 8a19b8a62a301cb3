"""Deletes what stands below a push and is not in its list."""

from __future__ import annotations

from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.filters import Filters
from pebblehinge.rsync.numbers import int32
from pebblehinge.rsync.stream import IO_ERROR, WARNING
from pebblehinge.rsync.transfer_session import TransferSession

STOPPED_DELETING = 4  # what an IO_ERROR message says of it: the client's tool exits with 25


class Deletion:
    """The deletions of one push."""

    def __init__(self, session: TransferSession, destination: Destination) -> None:
        self.session, self.destination = session, destination

    async def run(self, filters: Filters) -> None:
        """Removes what the client does not have, below the directories that it sent, up to a limit."""
        names = {self.destination.path(e) for e in self.session.list}
        gone: list[bytes] = []
        self.session.folders.clear()
        for named in self.session.list:
            if named.folder:
                path = self.destination.path(named)
                await self._extra(path, names, b"" if named.name == b"." else named.name + b"/", filters, gone)
        most = min(
            self.session.block.max_delete,
            self.session.options.max_delete if self.session.options.max_delete >= 0 else 1 << 30,
        )
        for n, path in enumerate(gone):
            if n >= most:
                self.session.told.failed.append("--max-delete")
                self.session.say(f"Deletions stopped due to --max-delete limit ({len(gone) - n} skipped)", WARNING)
                if self.session.version >= 30:
                    self.session.stream.message(IO_ERROR, int32(STOPPED_DELETING))
                return
            if not self.session.options.dry_run:
                await self.session.transfer.remove(path)
            self.session.say(f"deleting {path.decode('utf-8', 'surrogateescape')}")

    async def _extra(
        self, path: bytes, names: set[bytes], prefix: bytes, filters: Filters, gone: list[bytes], inside: bool = False
    ) -> bool:
        """What stands below `path` and is not named: the deepest first. True where something there is kept."""
        kept = False
        for entry in (await self.session.folder(path)).sorted():
            below = path + b"/" + entry.name if path else entry.name
            if below in names and not inside:
                kept = True
                continue
            if not self.session.options.delete_excluded and not filters.takes(prefix + entry.name, entry.folder):
                kept = True
                continue
            if entry.folder and await self._extra(below, names, prefix + entry.name + b"/", filters, gone, True):
                kept = True
                continue
            gone.append(below)
        return kept
