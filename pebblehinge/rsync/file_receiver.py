"""Takes one file of a push: its tokens become blocks, and its entry is committed when it is whole."""

from __future__ import annotations

from pebblehinge.rsync.basis_file import BasisFile
from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.file_writer import Writer
from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.stream import PARTIAL, STEPS, Gone, RsyncError
from pebblehinge.rsync.sums import Sums, read_sums
from pebblehinge.rsync.tokens import DeflatedIn, PlainIn
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import Entry

BREATH = 1 << 20  # bytes of a file that are taken in one turn of the loop
COMMITS = 64  # of files whose saves are under way while the next come


class FileReceiver:
    """Takes files one after the other; `again` are those whose sum was not that of what came."""

    def __init__(self, session: TransferSession, destination: Destination, commits: CommitQueue) -> None:
        self.session, self.destination, self.commits = session, destination, commits
        self.again: list[Named] = []

    async def receive(self, named: Named, basis: Entry | None, sums: Sums, redo: bool) -> None:
        path, place = self.destination.path(named), self.session.transfer.place
        head = await read_sums(self.session.stream, self.session.agreed.digest, whole=False)
        if (head.count, head.block, head.rest) != (sums.count, sums.block, sums.rest):
            raise RsyncError("the sender answers other sums than were sent")
        known = await self.session.reader.sums(basis) if basis is not None and not basis.data else None
        writer, whole = Writer(self.session.transfer, known), self.session.agreed.digest.whole()
        tokens = DeflatedIn() if self.session.agreed.compress else PlainIn()
        failed: RsyncError | None = None
        old = BasisFile(self.session.transfer, basis, sums, known)
        seen = breathed = 0
        try:
            while (token := await tokens.next(self.session.stream)) is not None:
                if isinstance(token, int):
                    if not 0 <= token < sums.count:
                        raise RsyncError(f"block {token} of {sums.count}")
                    self.session.told.matched += sums.length(token)
                    data = await old.read(token) if failed is None else b""
                else:
                    self.session.told.literal += len(token)
                    data = token
                # Few bytes may stand for many: deflated zeros, or runs of blocks. The head's other work goes on
                # between them, and a file that is beyond its module's bound twice over ends the transfer.
                await self.session.stream.breathe()
                seen += len(data) if isinstance(token, bytes) else sums.length(token)
                if seen - breathed > BREATH:
                    breathed = seen
                    await self.session.stream.breathe(STEPS)
                if failed is None:
                    whole.update(data)
                    try:
                        await writer.put(data)
                    except RsyncError as error:  # the rest of it is read and thrown away, then the next file comes
                        failed = error
                elif seen > 2 * self.session.block.max_size:
                    raise RsyncError(f"{self.session.display_name(named)}: goes on for more than {seen} bytes", PARTIAL)
            wanted = await self.session.stream.take(self.session.agreed.digest.length)
            if failed is None and whole.digest() == wanted:
                entry = await writer.done(named.mtime, named.mode)
                self.session.told.files += 1
                self.session.told.bytes += writer.size
                self.commits.add(named, self._save(path, entry))
                await self.commits.settle(COMMITS)
                return
        except Gone:
            sums = await writer.standing()
            place.keeping.keep(self.session.transfer.clock(), place.name, path, named.size, sums, writer.block)
            raise
        finally:
            writer.drop()
            old.drop()
        place.keeping.done(place.name, path)
        if failed is not None:
            if failed.code != PARTIAL:
                raise failed
            self.session.fail(f"{self.session.display_name(named)}: {failed}")
        else:
            self.again.append(named)

    async def _save(self, path: bytes, entry: Entry) -> None:
        await self.session.transfer.commit(path, entry)
        self.session.transfer.place.keeping.done(self.session.transfer.place.name, path)
