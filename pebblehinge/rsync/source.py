"""The files that a pull names: walks the module's directories and makes the list."""

from __future__ import annotations

from collections import deque

from pebblehinge.rsync.errors import EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.filters import Filters
from pebblehinge.rsync.flist import TOP_NAME, ListedFile
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import (
    KIND_FILE,
    KIND_LINK,
    DirectoryEntry,
    join_path,
    normalize_path,
    split_path,
)

STEPS_PER_ENTRY = 8
"""Steps of work that an entry of a directory counts for."""

IO_ERROR = 1
"""What the list's end says where something could not be read."""


class Source:
    """What a pull names.

    Attributes:
        files: The list, in the order in which it is sent.
        entries_by_name: The module's entries by their names in the list.
        error: 0, or `IO_ERROR`.
    """

    def __init__(self, session: TransferSession, filters: Filters) -> None:
        self.files: list[ListedFile] = []
        self.entries_by_name: dict[bytes, DirectoryEntry] = {}
        self.error = 0
        self._session = session
        self._filters = filters

    async def find_all(self) -> None:
        """Makes the list of all paths that the client named; raises RsyncError if it is too long."""
        for path in self._session.options.paths:
            await self._find(path)

    async def _find(self, raw: bytes) -> None:
        """Adds what one path names: `directory/` is what is in it, `directory` is itself with all in it."""
        session, options = self._session, self._session.options
        below_module = raw.removeprefix(session.transfer.store.name.encode())
        means_content = below_module.endswith(b"/") or not below_module.strip(b"/")
        path = normalize_path(below_module)
        entry = await session.current_entry(path)
        if entry is None:
            self.error |= IO_ERROR
            shown = path.decode("utf-8", "surrogateescape")
            session.report_failure(f'link_stat "{shown}" failed: No such file or directory (2)')
            return
        name = TOP_NAME if means_content and entry.is_directory else split_path(path)[1]
        if not entry.is_directory:
            await self._add(entry, name)
        elif not (options.recursive or options.dirs or options.list_only):
            session.send_text(f"skipping directory {name.decode('utf-8', 'surrogateescape')}")
        else:
            await self._add(entry, name)
            if options.recursive or means_content:
                await self._walk(path, b"" if name == TOP_NAME else name)

    async def _walk(self, top: bytes, top_name: bytes) -> None:
        """Adds what is in a directory, and below it if the client asked for that."""
        session = self._session
        directories = deque([(top, top_name)])
        while directories:
            path, directory_name = directories.popleft()
            directory = await session.read_directory(path)
            for entry in directory.sorted():
                name = join_path(directory_name, entry.name)
                await session.stream.yield_after_work(STEPS_PER_ENTRY)
                if not self._filters.includes(name, entry.is_directory):
                    continue
                await self._add(entry, name)
                if entry.is_directory and session.options.recursive:
                    directories.append((join_path(path, entry.name), name))

    async def _add(self, entry: DirectoryEntry, name: bytes) -> None:
        session, options = self._session, self._session.options
        if len(self.files) >= session.block.max_files:
            text = f"more than {session.block.max_files} files in one transfer: this module gives no more"
            raise RsyncError(text, EXIT_UNSUPPORTED)
        if entry.kind == KIND_LINK and not options.links:
            session.send_text(f'skipping non-regular file "{name.decode("utf-8", "surrogateescape")}"')
            return
        if entry.kind == KIND_FILE and (0 <= options.max_size < entry.size or entry.size < options.min_size):
            return
        link = entry.data if entry.kind == KIND_LINK else b""
        listed = ListedFile(name, entry.size, entry.mtime, entry.unix_mode(), link=link)
        if options.checksum and entry.kind == KIND_FILE:
            listed.digest = await session.digest_of(entry)
        self.entries_by_name.setdefault(name, entry)
        self.files.append(listed)
