"""The daemon as sender: a client pulls."""

from __future__ import annotations

from collections import deque
from typing import Any

from pebblehinge.rsync.delta import Search
from pebblehinge.rsync.filters import Filters, read_filters
from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.flist_writer import ListOut
from pebblehinge.rsync.numbers import DONE, int32, longint, varlong
from pebblehinge.rsync.stream import NO_SEND, STEPS, RsyncError
from pebblehinge.rsync.sums import Sums, read_sums
from pebblehinge.rsync.tokens import DeflatedOut, PlainOut
from pebblehinge.rsync.transfer_session import FILES_AHEAD, TRANSFER, TransferSession
from pebblehinge.rsync.tree import Entry, clean


class Sending(TransferSession):
    """A client pulls."""

    async def run(self) -> None:
        stream, options = self.stream, self.options
        filters = await read_filters(stream)
        out = ListOut(self.agreed.shape)
        entries: list[Named] = []
        self.kept: dict[bytes, Entry] = {}
        self.error = 0
        for path in options.paths:
            await self._path(path, filters, entries)
        for n, entry in enumerate(entries):
            stream.put(out.entry(entry, top=entry.name == b"."))
            if n % 256 == 255:
                await stream.flush()
                await stream.breathe(STEPS)
        stream.put(out.end(self.error))
        await stream.flush()
        await self.arrange(entries)
        await self._send_all()
        size = sum(e.size for e in self.list if e.file)
        for number in (stream.got, stream.put_bytes, size):
            stream.put(varlong(number, 3) if self.version >= 30 else longint(number))
        if self.version >= 29:
            for number in (1, 1):  # ms it took to make and to send the list: told as no time worth the name
                stream.put(varlong(number, 3) if self.version >= 30 else longint(number))
        await stream.flush()
        await self.expect_done()
        if self.version >= 31:
            self.done()
            await stream.flush()
            await self.expect_done()

    # ---- the list

    async def _path(self, raw: bytes, filters: Filters, entries: list[Named]) -> None:
        """What one of the paths names. `dir/` is what is in it, `dir` is itself with all in it."""
        module = self.transfer.place.name.encode()
        below = raw.removeprefix(module)
        inner = below.endswith(b"/") or not below.strip(b"/")
        path = clean(below)
        entry = await self.standing(path)
        if entry is None:
            self.error |= 1
            self.fail(f'link_stat "{path.decode("utf-8", "surrogateescape")}" failed: No such file or directory (2)')
            return
        name = b"." if inner and entry.folder else path.rpartition(b"/")[2]
        if not entry.folder:
            await self._add(entry, path, name, entries)
        elif not (self.options.recursive or self.options.dirs or self.options.list_only):
            self.say(f"skipping directory {name.decode('utf-8', 'surrogateescape')}")
        else:
            await self._add(entry, path, name, entries)
            if self.options.recursive or inner:
                await self._walk(path, b"" if name == b"." else name + b"/", filters, entries)

    async def _walk(self, top: bytes, prefix: bytes, filters: Filters, entries: list[Named]) -> None:
        todo = deque([(top, prefix)])
        while todo:
            path, before = todo.popleft()
            folder = await self.folder(path)
            for entry in folder.sorted():
                name = before + entry.name
                await self.stream.breathe(8)
                if not filters.takes(name, entry.folder):
                    continue
                below = path + b"/" + entry.name if path else entry.name
                await self._add(entry, below, name, entries)
                if entry.folder and self.options.recursive:
                    todo.append((below, name + b"/"))

    async def _add(self, entry: Entry, path: bytes, name: bytes, entries: list[Named]) -> None:
        if len(entries) >= self.block.max_files:
            raise RsyncError(f"more than {self.block.max_files} files in one transfer: this module gives no more", 4)
        o = self.options
        if entry.kind == "l" and not o.links:
            self.say(f'skipping non-regular file "{name.decode("utf-8", "surrogateescape")}"')
            return
        if entry.kind == "f" and ((0 <= o.max_size < entry.size) or entry.size < o.min_size):
            return
        named = Named(name, entry.size, entry.mtime, entry.unix_mode(), link=entry.data if entry.kind == "l" else b"")
        if o.checksum and entry.kind == "f":
            named.digest = await self.digest_of(entry)
        if name not in self.kept:
            self.kept[name] = entry
        entries.append(named)

    # ---- files

    async def _send_all(self) -> None:
        """Requests are read ahead as far as they have come, so that the next files' first blocks are under way."""
        phase = 0
        ahead: deque[tuple[int, int, bytes, Sums | None, Any]] = deque()
        while True:
            while not ahead or (self.stream.held and len(ahead) < FILES_AHEAD and ahead[-1][0] != DONE):
                ahead.append(await self._request())
            index, flags, extra, sums, start = ahead.popleft()
            if index == DONE:
                phase += 1
                self.done()
                if phase > self.phases:
                    return
                await self.stream.flush()
                continue
            if sums is None:
                self.put_item(index, flags, extra)
            else:
                await self._send(index, flags, extra, sums, start)
            if not self.stream.held:
                await self.stream.flush()

    async def _request(self) -> tuple[int, int, bytes, Sums | None, Any]:
        index, flags, extra = await self.read_item()
        if index == DONE:
            return index, 0, b"", None, None
        named = self.by_index.get(index)
        if named is None:
            raise RsyncError(f"file {index} is not in the list")
        if not flags & TRANSFER:
            return index, flags, extra, None, None
        if not named.file:
            raise RsyncError(f"{named.name[:80]!r} is asked for and is no file")
        sums = await read_sums(self.stream, self.agreed.digest)
        if self.options.dry_run:
            return index, flags, extra, None, None
        entry = self.kept[named.name]
        start = None
        if entry.size and not entry.data:
            start = self.transfer.spawn(_begun(self.reader.content(entry)))
        return index, flags, extra, sums, start

    async def _send(self, index: int, flags: int, extra: bytes, sums: Sums, start: Any) -> None:
        stream, entry = self.stream, self.kept[self.by_index[index].name]
        out = DeflatedOut() if self.agreed.compress else PlainOut()
        try:
            # Whatever can go wrong before the first byte is said instead of the file.
            first, rest = (entry.data, None) if start is None else await start
        except RsyncError as error:
            self.fail(f"{entry.name.decode('utf-8', 'surrogateescape')}: {error}")
            if self.version < 30:
                raise
            stream.message(NO_SEND, int32(index))
            return
        self.put_item(index, flags, extra)
        stream.put(sums.head())
        search, whole = Search(sums, self.agreed.digest), self.agreed.digest.whole()
        piece = first
        while piece:
            whole.update(piece)
            self._tokens(out, search.feed(piece))
            await stream.flush()
            piece = await anext(rest, b"") if rest is not None else b""
        self._tokens(out, search.end())
        stream.put(out.end() + whole.digest())
        self.told.files += 1
        self.told.bytes += entry.size
        self.told.literal += search.literal
        self.told.matched += search.matched

    def _tokens(self, out: Any, found: Any) -> None:
        for token in found:
            self.stream.put(out.literal(token) if isinstance(token, bytes) else out.match(token))


async def _begun(content: Any) -> tuple[bytes, Any]:
    """A file's first block, and the rest."""
    return await anext(content, b""), content
