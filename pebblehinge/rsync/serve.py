"""The daemon's end of one connection, from the greeting to the goodbye. What a client may see comes from `house`."""

from __future__ import annotations

import hmac
import stat
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Protocol

from pebblehinge.rsync.delta import Search
from pebblehinge.rsync.digests import login, login_digest
from pebblehinge.rsync.file_content import FileContent
from pebblehinge.rsync.file_writer import Writer
from pebblehinge.rsync.filters import Filters, read_filters
from pebblehinge.rsync.flist import Named, arranging
from pebblehinge.rsync.flist_reader import ListIn
from pebblehinge.rsync.flist_writer import ListOut
from pebblehinge.rsync.greeting import Agreed, hello, read_hello, settle
from pebblehinge.rsync.numbers import (
    DONE,
    IndexIn,
    IndexOut,
    int32,
    longint,
    read_byte,
    read_short,
    read_vstring,
    short,
    varlong,
    vstring,
)
from pebblehinge.rsync.options import Options, parse, receiver_wants_filters
from pebblehinge.rsync.stream import (
    ERROR,
    ERROR_EXIT,
    ERROR_XFER,
    FILE,
    INFO,
    IO_ERROR,
    NO_SEND,
    PARTIAL,
    STEPS,
    SYNTAX,
    WARNING,
    Gone,
    RsyncError,
    Stream,
)
from pebblehinge.rsync.sums import Summing, Sums, read_sums
from pebblehinge.rsync.tokens import DeflatedIn, DeflatedOut, PlainIn, PlainOut
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import Entry, Folder, clean
from pebblehinge.settings.schema import ModuleBlock

BASIS, XNAME, TRANSFER, NEW = 1 << 11, 1 << 12, 1 << 15, 1 << 13
MOST_ARGUMENTS = 200
REQUESTS = 64 << 10  # bytes of sums that a sender has not answered yet; one file's always go
FILES_AHEAD = 32  # files that are asked for, or read ahead, together
STOPPED_DELETING = 4  # what an IO_ERROR message says of it: the client's tool exits with 25
BREATH = 1 << 20  # bytes of a file that are taken in one turn of the loop
COMMITS = 64  # of files whose saves are under way while the next come


class House(Protocol):
    """What a connection may see, and what it is given."""

    modules: dict[str, ModuleBlock]
    motd: str

    def admits(self, module: str) -> str | None: ...
    def secret(self, user: str) -> bytes | None: ...
    def challenge(self) -> bytes: ...
    def seed(self) -> int: ...
    def begin(self, module: str, user: str) -> Transfer | str: ...


@dataclass
class Told:
    """What became of one transfer, for records and metrics."""

    module: str = ""
    user: str = ""
    push: bool = False
    files: int = 0
    bytes: int = 0  # of files that were moved, whole
    literal: int = 0
    matched: int = 0
    failed: list[str] = field(default_factory=list)
    error: str = ""
    code: int = 0
    ended: bool = False  # the goodbye was said
    saved: list[str] = field(default_factory=list)


class Turned(Exception):
    """The connection ended before a transfer began, and its client was told why."""


async def serve(stream: Stream, house: House, told: Told) -> None:
    """One connection. Ends when all is said; raises RsyncError only where nothing can be said any more."""
    stream.put(hello())
    await stream.flush()
    try:
        agreed = read_hello(await stream.line())
        name = (await stream.line()).decode("utf-8", "replace").strip()
        if name in ("", "#list"):
            _say_list(stream, house)
            raise Turned()
        if name.startswith("#"):
            raise RsyncError(f"command {name[:40]!r} is not known here", SYNTAX)
        block = house.modules.get(name)
        if block is None or (reason := house.admits(name)) == "hidden":
            raise RsyncError(f"Unknown module '{name[:80]}'", 5)
        if reason is not None:
            raise RsyncError(reason, 5)
        told.module, told.user = name, await _log_in(stream, house, name, agreed)
        stream.put(b"@RSYNCD: OK\n")
        await stream.flush()
        words = await _arguments(stream, agreed.version)
    except RsyncError as error:
        told.error, told.code = str(error), error.code
        stream.put(b"@ERROR: " + str(error).encode("utf-8", "surrogateescape") + b"\n")
        await stream.flush()
        return
    except Turned:
        told.ended = True
        await stream.flush()
        return
    await _transfer(stream, house, agreed, words, told)


def _say_list(stream: Stream, house: House) -> None:
    if house.motd:
        stream.put(house.motd.encode() + b"\n")
    for name, block in house.modules.items():
        if block.listed and house.admits(name) != "hidden":
            stream.put(f"{name:<15}\t{block.comment}\n".encode())
    stream.put(b"@RSYNCD: EXIT\n")


async def _log_in(stream: Stream, house: House, module: str, agreed: Agreed) -> str:
    block = house.modules[module]
    if not block.users:
        return ""
    challenge = house.challenge()
    stream.put(b"@RSYNCD: AUTHREQD " + challenge + b"\n")
    await stream.flush()
    user, _, answer = (await stream.line()).partition(b" ")
    name = user.decode("utf-8", "replace")
    secret = house.secret(name) if name in block.users else None
    kind = login_digest(agreed.version, agreed.digests)
    # A sum is taken whoever asks, so that the time it takes does not tell which users there are.
    wanted = login(kind, secret if secret is not None else b"nobody's", challenge, agreed.version)
    if not hmac.compare_digest(wanted, answer.rstrip(b"=")) or secret is None:
        raise RsyncError(f"auth failed on module {module}", 5)
    return name


async def _arguments(stream: Stream, version: int) -> list[bytes]:
    end = b"\0" if version >= 30 else b"\n"
    words = []
    while word := await stream.line(end):
        words.append(word)
        if len(words) > MOST_ARGUMENTS:
            raise RsyncError(f"more than {MOST_ARGUMENTS} arguments", SYNTAX)
    return words


async def _transfer(stream: Stream, house: House, agreed: Agreed, words: list[bytes], told: Told) -> None:
    """From the arguments on what goes wrong is said within frames, which the client's tool shows."""
    transfer: Transfer | None = None
    try:
        problem: RsyncError | None = None
        options = Options()
        try:
            options = parse(words)
            _check(options, house.modules[told.module])
        except RsyncError as error:
            problem = error
            options.able = next((w.decode("ascii", "replace").partition("e.")[2] for w in words if b"e." in w), "")
            options.digest, options.compress = "", False
        told.push = not options.sender
        await settle(stream, agreed, options, True, house.seed())
        stream.start_frames_out()
        if agreed.version >= 30:
            stream.unread()
        if problem is not None:
            raise problem
        got = house.begin(told.module, told.user)
        if isinstance(got, str):
            raise RsyncError(got, 5)
        transfer = got
        if options.sender:
            await Sending(stream, transfer, agreed, options, told).run()
        else:
            await Receiving(stream, transfer, agreed, options, told).run()
        await stream.flush()
        told.ended = True
    except RsyncError as error:
        told.error, told.code = str(error), error.code
        stream.message(ERROR, (str(error) + "\n").encode("utf-8", "surrogateescape"))
        if agreed.version >= 31:
            stream.message(ERROR_EXIT, int32(error.code))
        await stream.flush()
    finally:
        if transfer is not None:
            transfer.end()


def _check(options: Options, block: ModuleBlock) -> None:
    if not options.sender and block.read_only:
        raise RsyncError("this module is read only", SYNTAX)
    if not options.sender and options.append == 1:
        raise RsyncError("--append is declined: what stands is never trusted unseen; --append-verify is known", 4)


class _Either:
    """What both directions need."""

    def __init__(self, stream: Stream, transfer: Transfer, agreed: Agreed, options: Options, told: Told) -> None:
        self.stream, self.transfer, self.agreed, self.options, self.told = stream, transfer, agreed, options, told
        self.version = agreed.version
        self.index_in, self.index_out = IndexIn(self.version), IndexOut(self.version)
        self.phases = 2 if self.version >= 29 else 1
        self.block = transfer.block
        self.folders: dict[bytes, Folder] = {}
        self.content = FileContent(transfer)

    async def folder(self, path: bytes) -> Folder:
        """A directory as it stood when this transfer first looked."""
        if path not in self.folders:
            if len(self.folders) > 1024:
                self.folders.clear()
            self.folders[path] = await self.transfer.folder(path)
        return self.folders[path]

    async def standing(self, path: bytes) -> Entry | None:
        if not path:
            return Entry("d", b"", mode=0o755)
        above, _, name = path.rpartition(b"/")
        return (await self.folder(above)).entries.get(name)

    async def arrange(self, entries: list[Named]) -> None:
        """The list as both sides have it, with its indexes."""
        steps = arranging(self.version, entries)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                self.list = stop.value
                break
            await self.stream.breathe(STEPS)
        self.by_index = {e.index: e for e in self.list}

    async def digest_of(self, entry: Entry) -> bytes:
        """A file's sum as this transfer takes them: the file is read for it."""
        whole = self.agreed.digest.whole()
        async for data in self.content.content(entry):
            whole.update(data)
        return whole.digest()

    async def read_item(self) -> tuple[int, int, bytes]:
        """A file's index with what is said of it; DONE alone ends a phase."""
        index = await self.index_in(self.stream)
        if index == DONE or self.version < 29:
            return index, TRANSFER, b""
        if index < 0:
            raise RsyncError(f"index {index} is not known here")
        flags = await read_short(self.stream)
        extra = b""
        if flags & BASIS:
            extra += bytes([await read_byte(self.stream)])
        if flags & XNAME:
            name = await read_vstring(self.stream)
            extra += vstring(name)
        return index, flags, extra

    def put_item(self, index: int, flags: int, extra: bytes = b"") -> None:
        self.stream.put(self.index_out(index))
        if self.version >= 29:
            self.stream.put(short(flags) + extra)

    def say(self, text: str, tag: int = INFO) -> None:
        self.stream.message(tag, (text + "\n").encode("utf-8", "surrogateescape"))

    def fail(self, text: str) -> None:
        """One file could not be moved: the client's tool goes on, and exits with 23."""
        self.told.failed.append(text)
        self.say(text, ERROR_XFER)

    def done(self) -> None:
        self.stream.put(self.index_out(DONE))

    async def expect_done(self) -> None:
        index, _, _ = await self.read_item()
        if index != DONE:
            raise RsyncError(f"index {index} where the end of the transfer should stand")


class Sending(_Either):
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
            start = self.transfer.spawn(_begun(self.content.content(entry)))
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


class Receiving(_Either):
    """A client pushes. Files are asked for ahead, a few at a time; each is committed when it is whole."""

    async def run(self) -> None:
        stream, options = self.stream, self.options
        wanted = receiver_wants_filters(options, self.version)
        filters = await read_filters(stream) if wanted else Filters()
        shape = self.agreed.shape
        listing = ListIn(shape, self.block.max_files, self.block.max_list)
        entries = await listing.read(stream)
        await self.arrange(entries)
        self.filled: set[bytes] = set()  # directories with something in them, where empty ones are left out
        for named in self.list if options.prune else ():
            above = named.name
            while not named.folder and (above := above.rpartition(b"/")[0]) and above not in self.filled:
                self.filled.add(above)
        await self._destination()
        self.commits: deque[tuple[str, Any]] = deque()
        self.asked: deque[tuple[Named, int]] = deque()  # files whose answer is to come, with what was sent for them
        self.again: list[Named] = []
        self.bases: dict[int, tuple[Entry | None, Sums]] = {}  # what was said of the file that stands, by index
        await self._phase(self.list, False)
        redo, self.again = self.again, []
        await self._phase(redo, True)
        for named in self.again:
            self.fail(f"{self._said(named)}: what came is not what its sum says, twice")
        for _ in range(self.phases - 1):
            self.done()
            await stream.flush()
            await self.expect_done()
        await self._settle(0)
        if options.delete and not listing.error:
            await self._delete(filters)
        elif options.delete:
            self.say("IO error encountered -- skipping file deletion")
        self.done()
        await stream.flush()
        if self.version >= 31:
            await self.expect_done()
            self.done()
            await stream.flush()

    def _said(self, named: Named) -> str:
        return named.name.decode("utf-8", "surrogateescape")

    async def _destination(self) -> None:
        """Where the list goes: into a directory, or one file to a name of its own."""
        raw = self.options.paths[0].removeprefix(self.transfer.place.name.encode())
        self.top, self.rename = clean(raw), False
        standing = await self.standing(self.top)
        single = len(self.list) == 1 and not self.list[0].folder and not raw.endswith(b"/")
        if self.top and single and (standing is None or not standing.folder):
            self.rename = True
            await self.transfer.make_folders(self.top.rpartition(b"/")[0])
        elif standing is None and not self.options.dry_run:
            await self.transfer.make_folders(self.top)
        elif standing is not None and not standing.folder:
            raise RsyncError(f"{self.top[:80]!r} is no directory", FILE)

    def path(self, named: Named) -> bytes:
        if self.rename:
            return self.top
        if named.name == b".":
            return self.top
        return self.top + b"/" + named.name if self.top else named.name

    # ---- asking

    async def _phase(self, files: list[Named], redo: bool) -> None:
        """Asks for what differs, takes what comes, up to the phase's end."""
        for named in files:
            await self.stream.breathe(8)
            try:
                await self._ask(named, redo)
            except RsyncError as error:
                if error.code not in (FILE, PARTIAL):
                    raise
                self.fail(f"{self._said(named)}: {error}")
            while len(self.asked) >= FILES_AHEAD or (len(self.asked) > 1 and sum(n for _, n in self.asked) > REQUESTS):
                await self.stream.flush()
                await self._take(redo)
        self.done()
        await self.stream.flush()
        while await self._take(redo):
            pass

    async def _ask(self, named: Named, redo: bool) -> None:
        o, path = self.options, self.path(named)
        if named.folder:
            if o.prune and named.name != b"." and named.name not in self.filled:
                return
            if path and not o.dry_run:
                known = await self.standing(path)
                # A directory's own time and mode are told with it; each change is one more record.
                if known is None or not known.folder or (o.times and known.mtime != named.mtime):
                    if known is not None and not known.folder:
                        raise RsyncError("a file stands where a directory should", FILE)
                    entry = Entry("d", b"", 0, named.mtime, named.mode & 0o7777)
                    self._commit(named, self.transfer.commit(path, entry))
                    await self._settle(0)  # its files come next
                    self.folders.pop(path.rpartition(b"/")[0], None)
            return
        if stat.S_ISLNK(named.mode):
            if o.links and not o.dry_run:
                known = await self.standing(path)
                if known is None or known.kind != "l" or known.data != named.link:
                    entry = Entry("l", b"", len(named.link), named.mtime, 0o777, data=named.link)
                    self._commit(named, self.transfer.commit(path, entry))
            return
        if not named.file:
            self.say(f'skipping non-regular file "{self._said(named)}"')
            return
        if 0 <= self.block.max_size < named.size:
            raise RsyncError(f"{named.size} bytes: this module takes files of at most {self.block.max_size}", PARTIAL)
        if (0 <= o.max_size < named.size) or named.size < o.min_size:
            return
        known = await self.standing(path)
        if known is not None and known.folder:
            raise RsyncError("a directory stands where a file should", FILE)
        if not redo and await self._skips(named, known):
            return
        if o.dry_run:
            self.put_item(named.index, TRANSFER | (NEW if known is None else 0))
            self.asked.append((named, 0))
            return
        sums = Sums()
        basis = None if redo or o.whole else await self._basis(named, path, known)
        if basis is not None:
            summing = Summing(basis.size, self.agreed.digest, redo, o.block)
            async for data in self.content.content(basis):
                summing.feed(data)
            sums = summing.done()
        self.put_item(named.index, TRANSFER | (NEW if known is None else 0))
        raw = sums.packed() if basis is not None else sums.head()
        self.stream.put(raw)
        self.asked.append((named, len(raw)))
        self.bases[named.index] = (basis, sums)

    async def _skips(self, named: Named, known: Entry | None) -> bool:
        o = self.options
        if known is None:
            return o.existing
        if o.ignore_existing or (o.update and known.mtime > named.mtime):
            return True
        if known.kind != "f" or known.size != named.size or o.ignore_times:
            return False
        if o.append and known.size >= named.size:
            return True
        if o.checksum:
            return await self.digest_of(known) == named.digest
        return o.size_only or known.mtime == named.mtime

    async def _basis(self, named: Named, path: bytes, known: Entry | None) -> Entry | None:
        """What the client's file is told apart from: what an interrupted push left, or what stands there."""
        place = self.transfer.place
        part = place.keeping.look(self.transfer.clock(), place.name, path)
        if part is not None and (known is None or len(part.blocks) * part.block > known.size // 2):
            size = min(len(part.blocks) * part.block, part.size)
            return Entry("f", b"", size, block=part.block, sums=b"".join(part.blocks))
        return known if known is not None and known.kind == "f" and known.size else None

    # ---- taking

    async def _take(self, redo: bool) -> bool:
        """One file, or the phase's end: False."""
        index, flags, _ = await self.read_item()
        if index == DONE:
            if self.asked:
                for named, _ in self.asked:  # the sender could not read them, and said so
                    self.fail(f"{self._said(named)}: its sender did not send it")
                self.asked.clear()
            return False
        named = self.by_index.get(index)
        while self.asked and self.asked[0][0] is not named:
            skipped = self.asked.popleft()[0]
            self.fail(f"{self._said(skipped)}: its sender did not send it")
        if named is None or not self.asked:
            raise RsyncError(f"file {index} was not asked for")
        self.asked.popleft()
        basis, sums = self.bases.pop(index, (None, Sums()))
        if self.options.dry_run or not flags & TRANSFER:
            return True
        await self._file(named, basis, sums, redo)
        return True

    async def _file(self, named: Named, basis: Entry | None, sums: Sums, redo: bool) -> None:
        path, place = self.path(named), self.transfer.place
        head = await read_sums(self.stream, self.agreed.digest, whole=False)
        if (head.count, head.block, head.rest) != (sums.count, sums.block, sums.rest):
            raise RsyncError("the sender answers other sums than were sent")
        known = await self.content.sums(basis) if basis is not None and not basis.data else None
        writer, whole = Writer(self.transfer, known), self.agreed.digest.whole()
        tokens = DeflatedIn() if self.agreed.compress else PlainIn()
        failed: RsyncError | None = None
        old = _Old(self.transfer, basis, sums, known)
        seen = breathed = 0
        try:
            while (token := await tokens.next(self.stream)) is not None:
                if isinstance(token, int):
                    if not 0 <= token < sums.count:
                        raise RsyncError(f"block {token} of {sums.count}")
                    self.told.matched += sums.length(token)
                    data = await old.read(token) if failed is None else b""
                else:
                    self.told.literal += len(token)
                    data = token
                # Few bytes may stand for many: deflated zeros, or runs of blocks. The head's other work goes on
                # between them, and a file that is beyond its module's bound twice over ends the transfer.
                await self.stream.breathe()
                seen += len(data) if isinstance(token, bytes) else sums.length(token)
                if seen - breathed > BREATH:
                    breathed = seen
                    await self.stream.breathe(STEPS)
                if failed is None:
                    whole.update(data)
                    try:
                        await writer.put(data)
                    except RsyncError as error:  # the rest of it is read and thrown away, then the next file comes
                        failed = error
                elif seen > 2 * self.block.max_size:
                    raise RsyncError(f"{self._said(named)}: goes on for more than {seen} bytes", PARTIAL)
            wanted = await self.stream.take(self.agreed.digest.length)
            if failed is None and whole.digest() == wanted:
                entry = await writer.done(named.mtime, named.mode)
                self.told.files += 1
                self.told.bytes += writer.size
                self._commit(named, self._save(path, entry))
                await self._settle(COMMITS)
                return
        except Gone:
            sums = await writer.standing()
            place.keeping.keep(self.transfer.clock(), place.name, path, named.size, sums, writer.block)
            raise
        finally:
            writer.drop()
            old.drop()
        place.keeping.done(place.name, path)
        if failed is not None:
            if failed.code != PARTIAL:
                raise failed
            self.fail(f"{self._said(named)}: {failed}")
        else:
            self.again.append(named)

    async def _save(self, path: bytes, entry: Entry) -> None:
        await self.transfer.commit(path, entry)
        self.transfer.place.keeping.done(self.transfer.place.name, path)

    def _commit(self, named: Named, coro: Any) -> None:
        self.commits.append((self._said(named), self.transfer.spawn(coro)))

    async def _settle(self, most: int) -> None:
        """Waits until no more than so many saves are under way; what failed is said."""
        while len(self.commits) > most:
            name, task = self.commits.popleft()
            try:
                await task
                self.told.saved.append(name) if len(self.told.saved) < 10_000 else None
            except RsyncError as error:
                self.fail(f"{name}: {error}")

    # ---- deleting

    async def _delete(self, filters: Filters) -> None:
        """Removes what the client does not have, below the directories that it sent, up to a limit."""
        names = {self.path(e) for e in self.list}
        gone: list[bytes] = []
        self.folders.clear()
        for named in self.list:
            if named.folder:
                path = self.path(named)
                await self._extra(path, names, b"" if named.name == b"." else named.name + b"/", filters, gone)
        most = min(self.block.max_delete, self.options.max_delete if self.options.max_delete >= 0 else 1 << 30)
        for n, path in enumerate(gone):
            if n >= most:
                self.told.failed.append("--max-delete")
                self.say(f"Deletions stopped due to --max-delete limit ({len(gone) - n} skipped)", WARNING)
                if self.version >= 30:
                    self.stream.message(IO_ERROR, int32(STOPPED_DELETING))
                return
            if not self.options.dry_run:
                await self.transfer.remove(path)
            self.say(f"deleting {path.decode('utf-8', 'surrogateescape')}")

    async def _extra(
        self, path: bytes, names: set[bytes], prefix: bytes, filters: Filters, gone: list[bytes], inside: bool = False
    ) -> bool:
        """What stands below `path` and is not named: the deepest first. True where something there is kept."""
        kept = False
        for entry in (await self.folder(path)).sorted():
            below = path + b"/" + entry.name if path else entry.name
            if below in names and not inside:
                kept = True
                continue
            if not self.options.delete_excluded and not filters.takes(prefix + entry.name, entry.folder):
                kept = True
                continue
            if entry.folder and await self._extra(below, names, prefix + entry.name + b"/", filters, gone, True):
                kept = True
                continue
            gone.append(below)
        return kept


class _Old:
    """Blocks of the file that stands, as the client names them."""

    def __init__(self, transfer: Transfer, basis: Entry | None, sums: Sums, known: list[bytes] | None) -> None:
        self.transfer, self.basis, self.sums, self.known = transfer, basis, sums, known
        self.content = FileContent(transfer)
        self.ahead: dict[int, Any] = {}  # the module's blocks that are at hand, or on their way
        self.most = max(1, transfer.block.ahead // basis.block) if basis is not None and basis.block else 1

    async def _block(self, n: int) -> bytes:
        """One of the module's blocks; those after it are read ahead, as they are mostly wanted in turn."""
        assert self.basis is not None and self.known is not None
        for m in [m for m in self.ahead if not n <= m < n + self.most]:
            self.ahead.pop(m).cancel()
        for m in range(n, min(n + self.most, len(self.known))):
            if m not in self.ahead:
                size = min(self.basis.block, self.basis.size - m * self.basis.block)
                self.ahead[m] = self.transfer.spawn(self.content.block_of(self.known[m], size))
        return await self.ahead[n]

    def drop(self) -> None:
        for task in self.ahead.values():
            task.cancel()

    async def read(self, index: int) -> bytes:
        basis = self.basis
        assert basis is not None
        start = index * self.sums.block
        length = self.sums.length(index)
        if basis.data:
            return basis.data[start : start + length]
        assert self.known is not None
        out = b""
        while len(out) < length:
            n, inner = divmod(start + len(out), basis.block)
            data = await self._block(n)
            out += data[inner : inner + length - len(out)]
        return out


__all__ = ["House", "Receiving", "Sending", "Told", "serve"]
