"""The generator of a push: decides which files differ and asks the sender for them, with sums of what stands."""

from __future__ import annotations

import stat
from collections import deque

from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.stream import FILE, PARTIAL, RsyncError
from pebblehinge.rsync.sums import Summing, Sums
from pebblehinge.rsync.transfer_session import NEW, TRANSFER, TransferSession
from pebblehinge.rsync.tree import Entry


class Generator:
    """Asks for files; `asked` and `bases` say what of them is still to come."""

    def __init__(self, session: TransferSession, destination: Destination, commits: CommitQueue) -> None:
        self.session, self.destination, self.commits = session, destination, commits
        self.filled: set[bytes] = set()  # directories with something in them, where empty ones are left out
        for named in session.list if session.options.prune else ():
            above = named.name
            while not named.folder and (above := above.rpartition(b"/")[0]) and above not in self.filled:
                self.filled.add(above)
        self.asked: deque[tuple[Named, int]] = deque()  # files whose answer is to come, with what was sent for them
        self.bases: dict[int, tuple[Entry | None, Sums]] = {}  # what was said of the file that stands, by index

    async def ask(self, named: Named, redo: bool) -> None:
        o, path = self.session.options, self.destination.path(named)
        if named.folder:
            if o.prune and named.name != b"." and named.name not in self.filled:
                return
            if path and not o.dry_run:
                known = await self.session.standing(path)
                # A directory's own time and mode are told with it; each change is one more record.
                if known is None or not known.folder or (o.times and known.mtime != named.mtime):
                    if known is not None and not known.folder:
                        raise RsyncError("a file stands where a directory should", FILE)
                    entry = Entry("d", b"", 0, named.mtime, named.mode & 0o7777)
                    self.commits.add(named, self.session.transfer.commit(path, entry))
                    await self.commits.settle(0)  # its files come next
                    self.session.folders.pop(path.rpartition(b"/")[0], None)
            return
        if stat.S_ISLNK(named.mode):
            if o.links and not o.dry_run:
                known = await self.session.standing(path)
                if known is None or known.kind != "l" or known.data != named.link:
                    entry = Entry("l", b"", len(named.link), named.mtime, 0o777, data=named.link)
                    self.commits.add(named, self.session.transfer.commit(path, entry))
            return
        if not named.file:
            self.session.say(f'skipping non-regular file "{self.session.display_name(named)}"')
            return
        if 0 <= self.session.block.max_size < named.size:
            raise RsyncError(
                f"{named.size} bytes: this module takes files of at most {self.session.block.max_size}", PARTIAL
            )
        if (0 <= o.max_size < named.size) or named.size < o.min_size:
            return
        known = await self.session.standing(path)
        if known is not None and known.folder:
            raise RsyncError("a directory stands where a file should", FILE)
        if not redo and await self._skips(named, known):
            return
        if o.dry_run:
            self.session.put_item(named.index, TRANSFER | (NEW if known is None else 0))
            self.asked.append((named, 0))
            return
        sums = Sums()
        basis = None if redo or o.whole else await self._basis(named, path, known)
        if basis is not None:
            summing = Summing(basis.size, self.session.agreed.digest, redo, o.block)
            async for data in self.session.reader.content(basis):
                summing.feed(data)
            sums = summing.done()
        self.session.put_item(named.index, TRANSFER | (NEW if known is None else 0))
        raw = sums.packed() if basis is not None else sums.head()
        self.session.stream.put(raw)
        self.asked.append((named, len(raw)))
        self.bases[named.index] = (basis, sums)

    async def _skips(self, named: Named, known: Entry | None) -> bool:
        o = self.session.options
        if known is None:
            return o.existing
        if o.ignore_existing or (o.update and known.mtime > named.mtime):
            return True
        if known.kind != "f" or known.size != named.size or o.ignore_times:
            return False
        if o.append and known.size >= named.size:
            return True
        if o.checksum:
            return await self.session.digest_of(known) == named.digest
        return o.size_only or known.mtime == named.mtime

    async def _basis(self, named: Named, path: bytes, known: Entry | None) -> Entry | None:
        """What the client's file is told apart from: what an interrupted push left, or what stands there."""
        place = self.session.transfer.place
        part = place.keeping.look(self.session.transfer.clock(), place.name, path)
        if part is not None and (known is None or len(part.blocks) * part.block > known.size // 2):
            size = min(len(part.blocks) * part.block, part.size)
            return Entry("f", b"", size, block=part.block, sums=b"".join(part.blocks))
        return known if known is not None and known.kind == "f" and known.size else None
