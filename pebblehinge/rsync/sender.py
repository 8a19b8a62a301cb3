"""The daemon as sender: a client pulls."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Iterator
from dataclasses import dataclass

from pebblehinge.rsync.block_checksums import BlockChecksums, read_block_checksums
from pebblehinge.rsync.delta import BlockSearch
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.filters import read_filters
from pebblehinge.rsync.flist import TOP_NAME, ListedFile
from pebblehinge.rsync.flist_writer import FileListWriter
from pebblehinge.rsync.numbers import DONE, int32, longint, varlong
from pebblehinge.rsync.source import Source
from pebblehinge.rsync.stream import TAG_NO_SEND, YIELD_STEPS
from pebblehinge.rsync.tokens import DeflatedTokenWriter, PlainTokenWriter
from pebblehinge.rsync.transfer_session import FILES_AHEAD, ITEM_TRANSFER, Item, TransferSession
from pebblehinge.rsync.tree import DirectoryEntry

LIST_FLUSH_ENTRIES = 256
"""Entries of the list after which it is flushed."""

LIST_TIME_MS = 1
"""What is said of the time that it took to make and to send the list: next to nothing."""


@dataclass(slots=True)
class StartedFile:
    """A file whose first block was read: that block, and what yields the rest."""

    first: bytes
    rest: AsyncGenerator[bytes, None]


@dataclass(slots=True)
class PulledFile:
    """A file whose content is asked for.

    Attributes:
        entry: The file.
        checksums: Those of the client's file.
        start: Reads the file's first block; None if all its content stands in its entry.
    """

    entry: DirectoryEntry
    checksums: BlockChecksums
    start: asyncio.Task[StartedFile] | None


@dataclass(slots=True)
class FileRequest:
    """What the client says of one file, and the file if its content is asked for."""

    item: Item
    pulled: PulledFile | None = None


class SenderSession(TransferSession):
    """Answers a pull."""

    async def run(self) -> None:
        """Sends the list and the files asked for; raises RsyncError if the transfer can't go on."""
        stream = self.stream
        source = Source(self, await read_filters(stream))
        await source.find_all()
        await self._send_list(source.files, source.error)
        await self.sort_list(source.files)
        await self._send_all(source.entries_by_name)
        self._put_statistics()
        await stream.flush()
        await self.expect_phase_end()
        if self.version >= 31:
            self.put_phase_end()
            await stream.flush()
            await self.expect_phase_end()

    async def _send_list(self, files: list[ListedFile], error: int) -> None:
        stream = self.stream
        writer = FileListWriter(self.negotiated.list_format)
        for number, listed in enumerate(files, 1):
            stream.put(writer.encode(listed, is_top=listed.name == TOP_NAME))
            if number % LIST_FLUSH_ENTRIES == 0:
                await stream.flush()
                await stream.yield_after_work(YIELD_STEPS)
        stream.put(writer.encode_end(error))
        await stream.flush()

    def _put_statistics(self) -> None:
        total_size = sum(listed.size for listed in self.files if listed.is_file)
        numbers = [self.stream.bytes_received, self.stream.bytes_sent, total_size]
        if self.version >= 29:
            numbers += [LIST_TIME_MS, LIST_TIME_MS]
        for number in numbers:
            self.stream.put(varlong(number, 3) if self.version >= 30 else longint(number))

    async def _send_all(self, entries: dict[bytes, DirectoryEntry]) -> None:
        """Sends what is asked for. Requests are read as far as they are here, so that next files are read ahead."""
        phase = 0
        requests: deque[FileRequest] = deque()
        while True:
            while not requests or self._may_read_ahead(requests):
                requests.append(await self._read_request(entries))
            request = requests.popleft()
            if request.item.index == DONE:
                phase += 1
                self.put_phase_end()
                if phase > self.phases:
                    return
                await self.stream.flush()
                continue
            if request.pulled is None:
                self.put_item(request.item)
            else:
                await self._send(request.item, request.pulled)
            if not self.stream.unread_bytes:
                await self.stream.flush()

    def _may_read_ahead(self, requests: deque[FileRequest]) -> bool:
        return bool(self.stream.unread_bytes) and len(requests) < FILES_AHEAD and requests[-1].item.index != DONE

    async def _read_request(self, entries: dict[bytes, DirectoryEntry]) -> FileRequest:
        item = await self.read_item()
        if item.index == DONE:
            return FileRequest(item)
        listed = self.files_by_index.get(item.index)
        if listed is None:
            raise RsyncError(f"file {item.index} is not in the list")
        if not item.flags & ITEM_TRANSFER:
            return FileRequest(item)
        if not listed.is_file:
            raise RsyncError(f"{listed.name[:80]!r} is asked for and is no file")
        checksums = await read_block_checksums(self.stream)
        if self.options.dry_run:
            return FileRequest(item)
        entry = entries[listed.name]
        start = None
        if entry.size and not entry.data:
            start = self.transfer.spawn(_start(self.content.content(entry)))
        return FileRequest(item, PulledFile(entry, checksums, start))

    async def _send(self, item: Item, pulled: PulledFile) -> None:
        stream, entry, checksums = self.stream, pulled.entry, pulled.checksums
        try:
            # Whatever can go wrong before the first byte is said instead of the file.
            started = await pulled.start if pulled.start is not None else None
        except RsyncError as error:
            self.report_failure(f"{entry.name.decode('utf-8', 'surrogateescape')}: {error}")
            if self.version < 30:
                raise
            stream.message(TAG_NO_SEND, int32(item.index))
            return
        self.put_item(item)
        stream.put(checksums.encode_header())
        writer = DeflatedTokenWriter() if self.negotiated.compress else PlainTokenWriter()
        search = BlockSearch(checksums, self.negotiated.digest)
        digest = self.negotiated.digest.whole()
        piece = started.first if started is not None else entry.data
        while piece:
            digest.update(piece)
            self._put_tokens(writer, search.feed(piece))
            await stream.flush()
            piece = await anext(started.rest, b"") if started is not None else b""
        self._put_tokens(writer, search.end())
        stream.put(writer.end() + digest.digest())
        self.report.files += 1
        self.report.bytes += entry.size
        self.report.literal += search.literal_bytes
        self.report.matched += search.matched_bytes

    def _put_tokens(self, writer: PlainTokenWriter | DeflatedTokenWriter, tokens: Iterator[bytes | int]) -> None:
        for token in tokens:
            self.stream.put(writer.literal(token) if isinstance(token, bytes) else writer.match(token))


async def _start(content: AsyncGenerator[bytes, None]) -> StartedFile:
    """Reads a file's first block."""
    return StartedFile(await anext(content, b""), content)
