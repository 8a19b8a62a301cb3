"""An rsync client's list and pull: reads the file list, asks for files, puts them together. No I/O."""

from __future__ import annotations

from pebblehinge.lab.rsync_call import Local
from pebblehinge.lab.rsync_session import Session
from pebblehinge.rsync.block_checksums import BlockChecksumBuilder, BlockChecksums, read_block_checksums
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.filters import encode_filters
from pebblehinge.rsync.flist import ListedFile, sort_entries
from pebblehinge.rsync.flist_reader import FileListReader
from pebblehinge.rsync.numbers import DONE, read_longint, read_varlong, short
from pebblehinge.rsync.stream import TAG_ERROR_XFER
from pebblehinge.rsync.tokens import DeflatedTokenReader, PlainTokenReader
from pebblehinge.rsync.transfer_session import ITEM_TRANSFER

WINDOW = 16  # files asked for ahead


class PullSession(Session):
    """A client that lists or pulls."""

    async def _transfer(self, verb: str) -> None:
        await self._pull(verb == "list")

    async def _pull(self, only_list: bool) -> None:
        stream, wanted, version = self.stream, self.call, self.agreed.version
        stream.put(encode_filters(wanted.filters))
        await stream.flush()
        listing = FileListReader(self.agreed.list_format, 1 << 22, 1 << 32)
        wanted.listed = await listing.read(stream)
        files = sort_entries(version, wanted.listed)
        todo = [] if only_list else [f for f in files if f.is_file and self._differs(f)]
        for f in files if not only_list else []:
            if not f.is_file:
                wanted.files[f.name] = Local(f.link, f.mtime, f.mode)
        again: list[ListedFile] = []
        await self._ask(todo, False, again)
        redo, again = again, []
        await self._ask(redo, True, again)
        if again:
            self.call.said.append((TAG_ERROR_XFER, "failed verification twice"))
        for _ in range(self.phases - 1):
            await self._done()
        for _ in range(5 if version >= 29 else 3):
            await (read_varlong(stream, 3) if version >= 30 else read_longint(stream))
        stream.put(self.index_out(DONE))
        await stream.flush()
        if version >= 31:
            if await self.index_in(stream) != DONE:
                raise RsyncError("no goodbye")
            stream.put(self.index_out(DONE))
            await stream.flush()
        if listing.error:
            self.call.said.append((TAG_ERROR_XFER, "some files could not be listed"))

    def _differs(self, f: ListedFile) -> bool:
        mine = self.call.files.get(f.name)
        if mine is None or mine.size != f.size:
            return True
        if self.call.checksum:
            whole = self.agreed.digest.whole()
            for piece in mine.pieces():
                whole.update(piece)
            return whole.digest() != f.digest
        return mine.mtime != f.mtime

    async def _ask(self, files: list[ListedFile], redo: bool, again: list[ListedFile]) -> None:
        stream = self.stream
        asked: list[tuple[ListedFile, BlockChecksums]] = []
        todo = list(files)
        while todo or asked:
            while todo and len(asked) < WINDOW:
                f = todo.pop(0)
                mine, sums = self.call.files.get(f.name), BlockChecksums()
                if mine is not None and mine.size and not redo:
                    summing = BlockChecksumBuilder(mine.size, self.agreed.digest)
                    for piece in mine.pieces():
                        summing.feed(piece)
                    sums = summing.finish()
                stream.put(self.index_out(f.index))
                if self.agreed.version >= 29:
                    stream.put(short(ITEM_TRANSFER))
                stream.put(sums.encode() if sums.count else sums.encode_header())
                asked.append((f, sums))
            await stream.flush()
            f, sums = asked.pop(0)
            while f.index in self.call.no_send:
                if not asked:
                    f = None  # type: ignore[assignment]
                    break
                f, sums = asked.pop(0)
            if f is None or not await self._file(f, sums, again):
                # A message that it is not sent stands before the next one's index, or before the phase's end.
                if asked or todo:
                    continue
                return
        await self._done()

    async def _file(self, f: ListedFile, sums: BlockChecksums, again: list[ListedFile]) -> bool:
        stream, digest = self.stream, self.agreed.digest
        index, _ = await self._item()
        if index != f.index:
            raise RsyncError(f"file {index} came, {f.index} was asked for")
        await read_block_checksums(stream, header_only=True)
        mine = self.call.files.get(f.name)
        whole, out, zeros = digest.whole(), bytearray(), 0
        tokens = DeflatedTokenReader() if self.agreed.compress else PlainTokenReader()
        while (token := await tokens.next(stream)) is not None:
            if isinstance(token, int):
                assert mine is not None
                data = mine.data[token * sums.block : token * sums.block + sums.length(token)]
                self.call.matched += len(data)
            else:
                data = token
                self.call.literal += len(data)
            whole.update(data)
            if f.size > 1 << 28 and not data.strip(b"\0"):  # a huge file is kept as its length
                zeros += len(data)
            else:
                out += data
        if await stream.take(digest.length) != whole.digest():
            again.append(f)
            return True
        self.call.files[f.name] = Local(bytes(out), f.mtime, f.mode, zeros)
        self.call.moved.append(f.name)
        return True
