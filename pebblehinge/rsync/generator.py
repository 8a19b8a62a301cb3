"""The generator of a push: decides which files differ and asks the sender for them, with checksums of what stands."""

from __future__ import annotations

import stat
from collections import deque
from dataclasses import dataclass, field

from pebblehinge.rsync.block_checksums import BlockChecksumBuilder, BlockChecksums
from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.errors import EXIT_FILE_IO, EXIT_PARTIAL, RsyncError
from pebblehinge.rsync.flist import TOP_NAME, ListedFile
from pebblehinge.rsync.transfer_session import ITEM_IS_NEW, ITEM_TRANSFER, Item, TransferSession
from pebblehinge.rsync.tree import (
    KIND_DIRECTORY,
    KIND_FILE,
    KIND_LINK,
    PERMISSIONS,
    DirectoryEntry,
    split_path,
)

LINK_MODE = 0o777


@dataclass(slots=True, frozen=True)
class Basis:
    """What the sender was told of a file.

    Attributes:
        entry: The file that it sends its differences against, or None.
        checksums: The checksums of that file's blocks.
    """

    entry: DirectoryEntry | None = None
    checksums: BlockChecksums = field(default_factory=BlockChecksums)


@dataclass(slots=True, frozen=True)
class AskedFile:
    """A file whose answer is to come, and the bytes of checksums that were sent for it."""

    listed: ListedFile
    checksum_bytes: int


class Generator:
    """Asks for the files that differ.

    Attributes:
        asked: The files asked for, in order.
        bases: What the sender was told of them, by index.
    """

    def __init__(self, session: TransferSession, destination: Destination, commits: CommitQueue) -> None:
        self.asked: deque[AskedFile] = deque()
        self.bases: dict[int, Basis] = {}
        self._session = session
        self._destination = destination
        self._commits = commits
        self._nonempty = _nonempty_directories(session.files) if session.options.prune_empty else set()

    async def ask(self, listed: ListedFile, redo: bool) -> None:
        """Makes a directory or a link, or asks for a file if it differs.

        Args:
            listed: The file.
            redo: Whether it came with a wrong checksum already, so that all of it is asked for.

        Raises:
            RsyncError: It can't be taken; with `EXIT_FILE_IO` and `EXIT_PARTIAL` the others can.
        """
        path = self._destination.path(listed)
        if listed.is_directory:
            await self._make_directory(listed, path)
        elif stat.S_ISLNK(listed.mode):
            await self._make_link(listed, path)
        elif not listed.is_file:
            self._session.send_text(f'skipping non-regular file "{listed.display_name}"')
        else:
            await self._ask_for_file(listed, path, redo)

    async def _make_directory(self, listed: ListedFile, path: bytes) -> None:
        session, options = self._session, self._session.options
        if options.prune_empty and listed.name != TOP_NAME and listed.name not in self._nonempty:
            return
        if not path or options.dry_run:
            return
        known = await session.current_entry(path)
        # A directory's own time and mode are stored with it; each change is one more record.
        if known is not None and known.is_directory and not (options.times and known.mtime != listed.mtime):
            return
        if known is not None and not known.is_directory:
            raise RsyncError("a file stands where a directory should", EXIT_FILE_IO)
        entry = DirectoryEntry(KIND_DIRECTORY, b"", 0, listed.mtime, listed.mode & PERMISSIONS)
        self._commits.add(listed, session.transfer.commit(path, entry))
        await self._commits.wait_until_at_most(0)  # its files come next
        session.directories.pop(split_path(path)[0], None)

    async def _make_link(self, listed: ListedFile, path: bytes) -> None:
        session, options = self._session, self._session.options
        if not options.links or options.dry_run:
            return
        known = await session.current_entry(path)
        if known is None or known.kind != KIND_LINK or known.data != listed.link:
            entry = DirectoryEntry(KIND_LINK, b"", len(listed.link), listed.mtime, LINK_MODE, data=listed.link)
            self._commits.add(listed, session.transfer.commit(path, entry))

    async def _ask_for_file(self, listed: ListedFile, path: bytes, redo: bool) -> None:
        session, options = self._session, self._session.options
        if 0 <= session.block.max_size < listed.size:
            text = f"{listed.size} bytes: this module takes files of at most {session.block.max_size}"
            raise RsyncError(text, EXIT_PARTIAL)
        if (0 <= options.max_size < listed.size) or listed.size < options.min_size:
            return
        known = await session.current_entry(path)
        if known is not None and known.is_directory:
            raise RsyncError("a directory stands where a file should", EXIT_FILE_IO)
        if not redo and await self._is_up_to_date(listed, known):
            return
        item = Item(listed.index, ITEM_TRANSFER | (ITEM_IS_NEW if known is None else 0))
        if options.dry_run:
            session.put_item(item)
            self.asked.append(AskedFile(listed, 0))
            return
        basis = Basis() if redo or options.whole else await self._choose_basis(listed, path, known, redo)
        session.put_item(item)
        checksums = basis.checksums.encode() if basis.entry is not None else basis.checksums.encode_header()
        session.stream.put(checksums)
        self.asked.append(AskedFile(listed, len(checksums)))
        self.bases[listed.index] = basis

    async def _is_up_to_date(self, listed: ListedFile, known: DirectoryEntry | None) -> bool:
        """Whether a file is left as it is, by what the client asked for."""
        options = self._session.options
        if known is None:
            return options.existing
        if options.ignore_existing or (options.update and known.mtime > listed.mtime):
            return True
        if known.kind != KIND_FILE or known.size != listed.size or options.ignore_times:
            return False
        if options.append and known.size >= listed.size:
            return True
        if options.checksum:
            return await self._session.digest_of(known) == listed.digest
        return options.size_only or known.mtime == listed.mtime

    async def _choose_basis(self, listed: ListedFile, path: bytes, known: DirectoryEntry | None, redo: bool) -> Basis:
        """Returns what the client sends differences against: what an interrupted push left, or what stands there."""
        entry = self._find_partial(path, known)
        if entry is None and known is not None and known.kind == KIND_FILE and known.size:
            entry = known
        if entry is None:
            return Basis()
        session = self._session
        builder = BlockChecksumBuilder(entry.size, session.negotiated.digest, redo, session.options.block)
        async for data in session.content.content(entry):
            builder.feed(data)
        return Basis(entry, builder.finish())

    def _find_partial(self, path: bytes, known: DirectoryEntry | None) -> DirectoryEntry | None:
        """Returns what an interrupted push stored, if that is more than half of what stands there."""
        store = self._session.transfer.store
        part = store.partial_uploads.find(self._session.transfer.clock(), store.name, path)
        if part is None or (known is not None and len(part.blocks) * part.block <= known.size // 2):
            return None
        size = min(len(part.blocks) * part.block, part.size)
        return DirectoryEntry(KIND_FILE, b"", size, block=part.block, checksums=b"".join(part.blocks))


def _nonempty_directories(files: list[ListedFile]) -> set[bytes]:
    """Returns the names of the listed directories with something but directories below them."""
    nonempty: set[bytes] = set()
    for listed in files:
        ancestor = listed.name
        while not listed.is_directory and (ancestor := split_path(ancestor)[0]) and ancestor not in nonempty:
            nonempty.add(ancestor)
    return nonempty
