"""An rsync client's push: sends its file list, then what the server asks for. No I/O."""

from __future__ import annotations

import stat
from typing import Any

from pebblehinge.lab.rsync_session import Session
from pebblehinge.rsync.block_checksums import BlockChecksums, read_block_checksums
from pebblehinge.rsync.delta import BlockSearch
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.filters import encode_filters
from pebblehinge.rsync.flist import ListedFile, sort_entries
from pebblehinge.rsync.flist_writer import FileListWriter
from pebblehinge.rsync.numbers import DONE, short
from pebblehinge.rsync.options import receiver_wants_filters
from pebblehinge.rsync.tokens import DeflatedTokenWriter, PlainTokenWriter
from pebblehinge.rsync.transfer_session import ITEM_TRANSFER


class PushSession(Session):
    """A client that pushes."""

    async def _transfer(self, verb: str) -> None:
        await self._push()

    async def _push(self) -> None:
        stream, wanted, version = self.stream, self.call, self.agreed.version
        if receiver_wants_filters(self.options, version):
            stream.put(encode_filters(wanted.filters))
        out = FileListWriter(self.agreed.list_format)
        entries = []
        for n, name in enumerate(sorted(wanted.files)):
            mine = wanted.files[name]
            named = ListedFile(name, mine.size, mine.mtime, mine.mode)
            if stat.S_ISLNK(mine.mode):
                named.link = mine.data
            if self.options.checksum and named.is_file:
                whole = self.agreed.digest.whole()
                for piece in mine.pieces():
                    whole.update(piece)
                named.digest = whole.digest()
            entries.append(named)
            stream.put(out.encode(named, is_top=name == b"."))
            if n % 256 == 255:
                await stream.flush()
        stream.put(out.encode_end())
        await stream.flush()
        by_index = {e.index: e for e in sort_entries(version, entries)}
        phase = 0
        while True:
            index, flags = await self._item()
            if index == DONE:
                phase += 1
                stream.put(self.index_out(DONE))
                await stream.flush()
                if phase > self.phases:
                    break
                continue
            if not flags & ITEM_TRANSFER:
                stream.put(self.index_out(index) + short(flags))
                continue
            sums = await read_block_checksums(stream)
            await self._send(by_index[index], flags, sums)
        if await self.index_in(stream) != DONE:
            raise RsyncError("no goodbye")
        if version >= 31:
            stream.put(self.index_out(DONE))
            await stream.flush()
            if await self.index_in(stream) != DONE:
                raise RsyncError("no last goodbye")

    async def _send(self, named: ListedFile, flags: int, sums: BlockChecksums) -> None:
        stream, digest, mine = self.stream, self.agreed.digest, self.call.files[named.name]
        stream.put(self.index_out(named.index))
        if self.agreed.version >= 29:
            stream.put(short(flags))
        if self.options.dry_run:
            return
        stream.put(sums.encode_header())
        out: Any = DeflatedTokenWriter() if self.agreed.compress else PlainTokenWriter()
        search, whole = BlockSearch(sums, digest), digest.whole()
        for piece in mine.pieces():
            whole.update(piece)
            self._tokens(out, search.feed(piece))
            await stream.flush()
        self._tokens(out, search.end())
        stream.put(out.end() + whole.digest())
        await stream.flush()
        self.call.moved.append(named.name)
        self.call.literal += search.literal_bytes
        self.call.matched += search.matched_bytes

    def _tokens(self, out: Any, found: Any) -> None:
        for token in found:
            self.stream.put(out.literal(token) if isinstance(token, bytes) else out.match(token))
