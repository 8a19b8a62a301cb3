"""A stand-in rsync client: lists, pulls and pushes over a stream that is handed in, as such tools do. No I/O.

Its files are in memory: a dictionary of names below the transfer's top. What it saw of a transfer stands in `Call`:
messages, files, how it ended, and the exit code that such a tool would give.
"""

from __future__ import annotations

import stat
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.rsync.deletion import STOPPED_DELETING
from pebblehinge.rsync.delta import Search
from pebblehinge.rsync.digests import Digest, login, login_digest
from pebblehinge.rsync.filters import packed_filters
from pebblehinge.rsync.flist import Named, arranged
from pebblehinge.rsync.flist_reader import ListIn
from pebblehinge.rsync.flist_writer import ListOut
from pebblehinge.rsync.greeting import Agreed, hello, read_hello, settle
from pebblehinge.rsync.numbers import (
    DONE,
    I32,
    IndexIn,
    IndexOut,
    int32,
    read_longint,
    read_short,
    read_varlong,
    read_vstring,
    short,
)
from pebblehinge.rsync.options import Options, parse, receiver_wants_filters
from pebblehinge.rsync.stream import (
    DELETE_LIMIT,
    DELETED,
    ERROR,
    ERROR_EXIT,
    ERROR_XFER,
    INFO,
    IO_ERROR,
    NO_SEND,
    PARTIAL,
    START,
    STREAM,
    WARNING,
    Gone,
    RsyncError,
    Stream,
)  # fmt: skip
from pebblehinge.rsync.sums import Summing, Sums, read_sums
from pebblehinge.rsync.tokens import DeflatedIn, DeflatedOut, PlainIn, PlainOut
from pebblehinge.rsync.transfer_session import BASIS, TRANSFER, XNAME

ABLE = "LsfxCIvu"
WINDOW = 16  # files asked for ahead


@dataclass(slots=True)
class Local:
    """One file, directory or link of the client's."""

    data: bytes = b""
    mtime: int = 1_700_000_000
    mode: int = stat.S_IFREG | 0o644
    zeros: int = 0  # a sparse file: so many zeros after the data

    @property
    def size(self) -> int:
        return len(self.data) + self.zeros

    def pieces(self, size: int = 1 << 18) -> Any:
        for at in range(0, len(self.data), size):
            yield self.data[at : at + size]
        left, zeros = self.zeros, bytes(size)
        while left:
            yield zeros[: min(left, size)]
            left -= min(left, size)


def folder(mtime: int = 1_700_000_000) -> Local:
    return Local(mtime=mtime, mode=stat.S_IFDIR | 0o755)


def link(target: bytes) -> Local:
    return Local(target, mode=stat.S_IFLNK | 0o777)


@dataclass
class Call:
    """What a client wants, and what became of it."""

    module: str = ""
    version: int = 31
    user: str = ""
    secret: bytes = b""
    able: str = ABLE
    compress: bool = False
    checksum: bool = False
    delete: bool = False
    extra: list[str] = field(default_factory=list)  # further arguments
    filters: list[bytes] = field(default_factory=list)
    files: dict[bytes, Local] = field(default_factory=dict)  # its own; a pull adds to them
    moved: list[bytes] = field(default_factory=list)  # files that came, or that were asked for
    listed: list[Named] = field(default_factory=list)
    said: list[tuple[int, str]] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)  # what came before the transfer
    code: int = -1  # as such a tool exits; -1 while it runs
    error: str = ""
    literal: int = 0
    matched: int = 0
    no_send: list[int] = field(default_factory=list)

    def words(self, sender: bool, path: str) -> list[bytes]:
        letters = "-logDtpr" + ("z" if self.compress else "") + ("c" if self.checksum else "")
        words = ["--server", *(["--sender"] if sender else []), letters + "e." + self.able, *self.extra]
        if self.compress and "v" not in self.able:
            words.append("--compress-choice=zlibx")
        if self.delete:
            words.append("--delete")
        return [w.encode("utf-8", "surrogateescape") for w in [*words, ".", self.module + "/" + path]]


async def call(stream: Stream, wanted: Call, verb: str, path: str = "") -> Call:
    """Lists (`modules`, `list`), pulls or pushes. Everything that happened stands in the call, errors too."""
    session = _Session(stream, wanted)
    try:
        await session.run(verb, path)
        if session.io_error & STOPPED_DELETING:
            wanted.code = DELETE_LIMIT
        if wanted.code < 0:
            wanted.code = PARTIAL if any(tag == ERROR_XFER for tag, _ in wanted.said) else 0
    except Gone as error:
        told = session.exit_code or (START if not session.began else STREAM)
        wanted.code, wanted.error = told, wanted.error or str(error)
    except RsyncError as error:
        wanted.code, wanted.error = session.exit_code or error.code, str(error)
    return wanted


class _Session:
    def __init__(self, stream: Stream, wanted: Call) -> None:
        self.stream, self.call = stream, wanted
        self.exit_code = self.io_error = 0
        self.began = False
        stream.on_message = self.message

    def message(self, tag: int, data: bytes) -> None:
        if tag in (ERROR_XFER, INFO, ERROR, WARNING, DELETED):
            self.call.said.append((tag, data.decode("utf-8", "surrogateescape").rstrip("\n")))
            if tag == ERROR:
                self.call.error = self.call.said[-1][1]
        elif tag == ERROR_EXIT and len(data) == 4:
            self.exit_code = int(I32.unpack(data)[0])
        elif tag == IO_ERROR and len(data) == 4:
            self.io_error |= int(I32.unpack(data)[0])
        elif tag == NO_SEND and len(data) == 4:
            self.call.no_send.append(int(I32.unpack(data)[0]))

    async def run(self, verb: str, path: str) -> None:
        stream, wanted = self.stream, self.call
        agreed = read_hello(await stream.line(), wanted.version)
        stream.put(hello(wanted.version) + (b"" if verb == "modules" else wanted.module.encode()) + b"\n")
        await stream.flush()
        if not await self._enter(agreed):
            return
        words = wanted.words(verb != "push", path)
        end = b"\0" if agreed.version >= 30 else b"\n"
        stream.put(b"".join(w + end for w in words) + end)
        options = parse(words)
        able = wanted.able if agreed.version >= 30 else ""
        await stream.flush()
        await settle(stream, agreed, options, False, 0, able)
        self.began = True
        stream.unread()
        if agreed.version >= 30:
            stream.start_frames_out()
        self.agreed, self.options = agreed, options
        self.index_in, self.index_out = IndexIn(agreed.version), IndexOut(agreed.version)
        self.phases = 2 if agreed.version >= 29 else 1
        if verb == "push":
            await self._push()
        else:
            await self._pull(verb == "list")

    async def _enter(self, agreed: Agreed) -> bool:
        """Lines up to OK; False where the connection ends before a transfer."""
        stream, wanted = self.stream, self.call
        while True:
            line = await stream.line()
            if line.startswith(b"@RSYNCD: AUTHREQD "):
                challenge = line[18:]
                # An older tool lists no sums, and does not look at the other side's.
                kind = login_digest(agreed.version, agreed.digests if agreed.version >= 31 else None)
                answer = login(kind, wanted.secret, challenge, agreed.version)
                stream.put(wanted.user.encode() + b" " + answer + b"\n")
                await stream.flush()
            elif line == b"@RSYNCD: OK":
                return True
            elif line == b"@RSYNCD: EXIT":
                return False
            elif line.startswith(b"@ERROR"):
                raise RsyncError(line.decode("utf-8", "replace"), START)
            else:
                wanted.lines.append(line.decode("utf-8", "replace"))

    # ---- pull

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

    async def _item(self) -> tuple[int, int]:
        index = await self.index_in(self.stream)
        if index == DONE or self.agreed.version < 29:
            return index, TRANSFER
        flags = await read_short(self.stream)
        if flags & BASIS:
            await self.stream.take(1)
        if flags & XNAME:
            await read_vstring(self.stream)
        return index, flags

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

    async def _done(self) -> None:
        self.stream.put(self.index_out(DONE))
        await self.stream.flush()
        index, _ = await self._item()
        if index != DONE:
            raise RsyncError(f"file {index} came where the phase should end")

    # ---- push

    async def _push(self) -> None:
        stream, wanted, version = self.stream, self.call, self.agreed.version
        if receiver_wants_filters(self.options, version):
            stream.put(packed_filters(wanted.filters))
        out = ListOut(self.agreed.shape)
        entries = []
        for n, name in enumerate(sorted(wanted.files)):
            mine = wanted.files[name]
            named = Named(name, mine.size, mine.mtime, mine.mode)
            if stat.S_ISLNK(mine.mode):
                named.link = mine.data
            if self.options.checksum and named.file:
                whole = self.agreed.digest.whole()
                for piece in mine.pieces():
                    whole.update(piece)
                named.digest = whole.digest()
            entries.append(named)
            stream.put(out.entry(named, top=name == b"."))
            if n % 256 == 255:
                await stream.flush()
        stream.put(out.end())
        await stream.flush()
        by_index = {e.index: e for e in arranged(version, entries)}
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
            if not flags & TRANSFER:
                stream.put(self.index_out(index) + short(flags))
                continue
            sums = await read_sums(stream, self.agreed.digest)
            await self._send(by_index[index], flags, sums)
        if await self.index_in(stream) != DONE:
            raise RsyncError("no goodbye")
        if version >= 31:
            stream.put(self.index_out(DONE))
            await stream.flush()
            if await self.index_in(stream) != DONE:
                raise RsyncError("no last goodbye")

    async def _send(self, named: Named, flags: int, sums: Sums) -> None:
        stream, digest, mine = self.stream, self.agreed.digest, self.call.files[named.name]
        stream.put(self.index_out(named.index))
        if self.agreed.version >= 29:
            stream.put(short(flags))
        if self.options.dry_run:
            return
        stream.put(sums.head())
        out: Any = DeflatedOut() if self.agreed.compress else PlainOut()
        search, whole = Search(sums, digest), digest.whole()
        for piece in mine.pieces():
            whole.update(piece)
            self._tokens(out, search.feed(piece))
            await stream.flush()
        self._tokens(out, search.end())
        stream.put(out.end() + whole.digest())
        await stream.flush()
        self.call.moved.append(named.name)
        self.call.literal += search.literal
        self.call.matched += search.matched

    def _tokens(self, out: Any, found: Any) -> None:
        for token in found:
            self.stream.put(out.literal(token) if isinstance(token, bytes) else out.match(token))


__all__ = ["Call", "Digest", "Local", "Options", "call", "folder", "int32", "link"]
