"""Takes the files of a push: their tokens become blocks, and each entry is committed when its file is complete."""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.rsync.basis_file import BasisFile
from pebblehinge.rsync.block_checksums import read_block_checksums
from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.digests import IncrementalDigest
from pebblehinge.rsync.errors import EXIT_PARTIAL, ConnectionClosedError, RsyncError
from pebblehinge.rsync.file_writer import FileWriter
from pebblehinge.rsync.flist import ListedFile
from pebblehinge.rsync.generator import Basis
from pebblehinge.rsync.stream import YIELD_STEPS
from pebblehinge.rsync.tokens import DeflatedTokenReader, PlainTokenReader
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import DirectoryEntry

YIELD_BYTES = 1 << 20
"""Bytes of a file after which other tasks run."""

MAX_COMMITS = 64
"""Files whose commits are under way while the next ones come."""

MAX_SIZE_FACTOR = 2
"""Times the module's bound that a file that can't be taken may go on for, before the transfer ends."""


@dataclass(slots=True)
class IncomingFile:
    """One file while it comes.

    Attributes:
        listed: The file as the list has it.
        path: Its path in the module.
        basis: What the sender was told of it.
        basis_file: Reads the blocks that the sender names.
        writer: Stores its blocks.
        digest: Its digest, as far as it came.
        bytes_seen: Its bytes so far.
        bytes_at_yield: Its bytes when other tasks last ran.
        failure: Why it can't be stored; the rest of it is then read and dropped.
    """

    listed: ListedFile
    path: bytes
    basis: Basis
    basis_file: BasisFile
    writer: FileWriter
    digest: IncrementalDigest
    bytes_seen: int = 0
    bytes_at_yield: int = 0
    failure: RsyncError | None = None


class FileReceiver:
    """Takes files one after the other.

    Attributes:
        again: The files whose digest was not that of what came.
    """

    def __init__(self, session: TransferSession, destination: Destination, commits: CommitQueue) -> None:
        self.again: list[ListedFile] = []
        self._session = session
        self._destination = destination
        self._commits = commits

    async def receive(self, listed: ListedFile, basis: Basis) -> None:
        """Takes one file.

        What was stored is kept for the next try if the connection closes. A file that this module does not take is
        reported to the client.

        Raises:
            RsyncError: The transfer can't go on.
        """
        session, store = self._session, self._session.transfer.store
        file = await self._begin(listed, basis)
        try:
            await self._read_tokens(file)
            sent_digest = await session.stream.take(session.negotiated.digest.length)
            if file.failure is None and file.digest.digest() == sent_digest:
                await self._commit(file)
                return
        except ConnectionClosedError:
            checksums = await file.writer.stored_checksums()
            now_ms = session.transfer.clock()
            store.partial_uploads.keep(now_ms, store.name, file.path, listed.size, checksums, file.writer.block)
            raise
        finally:
            file.writer.cancel()
            file.basis_file.cancel()
        store.partial_uploads.discard(store.name, file.path)
        if file.failure is None:
            self.again.append(listed)
        elif file.failure.code == EXIT_PARTIAL:
            session.report_failure(f"{listed.display_name}: {file.failure}")
        else:
            raise file.failure

    async def _begin(self, listed: ListedFile, basis: Basis) -> IncomingFile:
        session, entry = self._session, basis.entry
        header = await read_block_checksums(session.stream, header_only=True)
        if not header.has_same_blocks(basis.checksums):
            raise RsyncError("the sender answers other sums than were sent")
        stored = await session.content.checksums(entry) if entry is not None and not entry.data else None
        return IncomingFile(
            listed,
            self._destination.path(listed),
            basis,
            BasisFile(session.transfer, entry, basis.checksums, stored),
            FileWriter(session.transfer, stored),
            session.negotiated.digest.whole(),
        )

    async def _read_tokens(self, file: IncomingFile) -> None:
        stream = self._session.stream
        tokens = DeflatedTokenReader() if self._session.negotiated.compress else PlainTokenReader()
        while (token := await tokens.next(stream)) is not None:
            data = token if isinstance(token, bytes) else await self._read_match(file, token)
            # Few bytes may stand for many: deflated zeros, or runs of blocks. The gateway's other work goes on
            # between them, and a file that is beyond its module's bound twice over ends the transfer.
            await stream.yield_after_work()
            if isinstance(token, bytes):
                self._session.report.literal += len(token)
                file.bytes_seen += len(token)
            else:
                file.bytes_seen += file.basis.checksums.length(token)
            if file.bytes_seen - file.bytes_at_yield > YIELD_BYTES:
                file.bytes_at_yield = file.bytes_seen
                await stream.yield_after_work(YIELD_STEPS)
            await self._store(file, data)

    async def _read_match(self, file: IncomingFile, index: int) -> bytes:
        """Returns a block that the sender names, or nothing where the file can't be stored anyway."""
        checksums = file.basis.checksums
        if not 0 <= index < checksums.count:
            raise RsyncError(f"block {index} of {checksums.count}")
        self._session.report.matched += checksums.length(index)
        return await file.basis_file.read(index) if file.failure is None else b""

    async def _store(self, file: IncomingFile, data: bytes) -> None:
        if file.failure is None:
            file.digest.update(data)
            try:
                await file.writer.write(data)
            except RsyncError as error:  # the rest of it is read and dropped, then the next file comes
                file.failure = error
        elif file.bytes_seen > MAX_SIZE_FACTOR * self._session.block.max_size:
            text = f"{file.listed.display_name}: goes on for more than {file.bytes_seen} bytes"
            raise RsyncError(text, EXIT_PARTIAL)

    async def _commit(self, file: IncomingFile) -> None:
        entry = await file.writer.finish(file.listed.mtime, file.listed.mode)
        self._session.report.files += 1
        self._session.report.bytes += file.writer.size
        self._commits.add(file.listed, self._commit_entry(file.path, entry))
        await self._commits.wait_until_at_most(MAX_COMMITS)

    async def _commit_entry(self, path: bytes, entry: DirectoryEntry) -> None:
        transfer = self._session.transfer
        await transfer.commit(path, entry)
        transfer.store.partial_uploads.discard(transfer.store.name, path)
