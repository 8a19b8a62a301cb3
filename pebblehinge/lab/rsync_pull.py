"""An rsync client's list and pull: reads the file list, asks for files, puts them together. No I/O."""

from __future__ import annotations

from pebblehinge.lab.rsync_call import Local
from pebblehinge.lab.rsync_session import Session
from pebblehinge.rsync.filters import packed_filters
from pebblehinge.rsync.flist import Named, arranged
from pebblehinge.rsync.flist_reader import ListIn
from pebblehinge.rsync.numbers import (
    DONE,
    read_longint,
    read_varlong,
    short,
)
from pebblehinge.rsync.stream import (
    ERROR_XFER,
    RsyncError,
)
from pebblehinge.rsync.sums import Summing, Sums, read_sums
from pebblehinge.rsync.tokens import DeflatedIn, PlainIn
from pebblehinge.rsync.transfer_session import TRANSFER

WINDOW = 16  # files asked for ahead


class PullSession(Session):
    """A client that lists or pulls."""

    async def _transfer(self, verb: str) -> None:
        await self._pull(verb == "list")

    async def _pull(self, only_list: bool) -> None:
        stream, wanted, version = self.stream, self.call, self.agreed.version
        stream.put(packed_filters(wanted.filters))
        await stream.flush()
        listing = ListIn(self.agreed.shape, 1 << 22, 1 << 32)
        wanted.listed = await listing.read(stream)
        files = arranged(version, wanted.listed)
        todo = [] if only_list else [f for f in files if f.file and self._differs(f)]
        for f in files if not only_list else []:
            if not f.file:
                wanted.files[f.name] = Local(f.link, f.mtime, f.mode)
        again: list[Named] = []
        await self._ask(todo, False, again)
        redo, again = again, []
        await self._ask(redo, True, again)
        if again:
            self.call.said.append((ERROR_XFER, "failed verification twice"))
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
            self.call.said.append((ERROR_XFER, "some files could not be listed"))

    def _differs(self, f: Named) -> bool:
        mine = self.call.files.get(f.name)
        if mine is None or mine.size != f.size:
            return True
        if self.call.checksum:
            whole = self.agreed.digest.whole()
            for piece in mine.pieces():
                whole.update(piece)
            return whole.digest() != f.digest
        return mine.mtime != f.mtime

    async def _ask(self, files: list[Named], redo: bool, again: list[Named]) -> None:
        stream = self.stream
        asked: list[tuple[Named, Sums]] = []
        todo = list(files)
        while todo or asked:
            while todo and len(asked) < WINDOW:
                f = todo.pop(0)
                mine, sums = self.call.files.get(f.name), Sums()
                if mine is not None and mine.size and not redo:
                    summing = Summing(mine.size, self.agreed.digest)
                    for piece in mine.pieces():
                        summing.feed(piece)
                    sums = summing.done()
                stream.put(self.index_out(f.index))
                if self.agreed.version >= 29:
                    stream.put(short(TRANSFER))
                stream.put(sums.packed() if sums.count else sums.head())
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

    async def _file(self, f: Named, sums: Sums, again: list[Named]) -> bool:
        stream, digest = self.stream, self.agreed.digest
        index, _ = await self._item()
        if index != f.index:
            raise RsyncError(f"file {index} came, {f.index} was asked for")
        await read_sums(stream, digest, whole=False)
        mine = self.call.files.get(f.name)
        whole, out, zeros = digest.whole(), bytearray(), 0
        tokens = DeflatedIn() if self.agreed.compress else PlainIn()
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
