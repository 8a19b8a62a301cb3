"""Deletes what stands below a push and is not in its list."""

from __future__ import annotations

from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.filters import Filters
from pebblehinge.rsync.flist import TOP_NAME, ListedFile
from pebblehinge.rsync.numbers import int32
from pebblehinge.rsync.stream import TAG_IO_ERROR, TAG_WARNING
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import join_path

DELETE_LIMIT_REACHED = 4
"""What an I/O error message says where deletions stopped at the limit: the client's tool exits with 25."""


class Deletion:
    """The deletions of one push."""

    def __init__(self, session: TransferSession, destination: Destination, filters: Filters) -> None:
        self._session = session
        self._destination = destination
        self._filters = filters
        self._listed: set[bytes] = set()
        self._extra: list[bytes] = []

    async def run(self) -> None:
        """Removes what the client does not have below the directories that it sent, up to a limit."""
        session = self._session
        self._listed = {self._destination.path(listed) for listed in session.files}
        session.directories.clear()
        for listed in session.files:
            if listed.is_directory:
                await self._find_extra(self._destination.path(listed), _prefix(listed), is_extra=False)
        limit = session.block.max_delete
        if session.options.max_delete >= 0:
            limit = min(limit, session.options.max_delete)
        for path in self._extra[: max(0, limit)]:
            if not session.options.dry_run:
                await session.transfer.remove(path)
            session.send_text(f"deleting {path.decode('utf-8', 'surrogateescape')}")
        skipped = len(self._extra) - max(0, limit)
        if skipped > 0:
            self._report_limit(skipped)

    def _report_limit(self, skipped: int) -> None:
        session = self._session
        session.report.failed.append("--max-delete")
        session.send_text(f"Deletions stopped due to --max-delete limit ({skipped} skipped)", TAG_WARNING)
        if session.version >= 30:
            session.stream.message(TAG_IO_ERROR, int32(DELETE_LIMIT_REACHED))

    async def _find_extra(self, directory: bytes, prefix: bytes, is_extra: bool) -> bool:
        """Adds what stands in a directory and is not listed, the deepest first.

        Args:
            directory: Its path.
            prefix: What stands before a name in it in the list.
            is_extra: Whether the directory itself is not listed.

        Returns:
            Whether something in it stays.
        """
        something_stays = False
        for entry in (await self._session.read_directory(directory)).sorted():
            path = join_path(directory, entry.name)
            name = prefix + entry.name
            if path in self._listed and not is_extra:
                something_stays = True
                continue
            if not self._session.options.delete_excluded and not self._filters.includes(name, entry.is_directory):
                something_stays = True
                continue
            if entry.is_directory and await self._find_extra(path, name + b"/", is_extra=True):
                something_stays = True
                continue
            self._extra.append(path)
        return something_stays


def _prefix(listed: ListedFile) -> bytes:
    return b"" if listed.name == TOP_NAME else listed.name + b"/"
