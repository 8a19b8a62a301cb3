"""The daemon as receiver: a client pushes."""

from __future__ import annotations

from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.deletion import Deletion
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.file_receiver import FileReceiver
from pebblehinge.rsync.filters import Filters, read_filters
from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.flist_reader import ListIn
from pebblehinge.rsync.generator import Generator
from pebblehinge.rsync.numbers import DONE
from pebblehinge.rsync.options import receiver_wants_filters
from pebblehinge.rsync.stream import FILE, PARTIAL, RsyncError
from pebblehinge.rsync.sums import Sums
from pebblehinge.rsync.transfer_session import FILES_AHEAD, TRANSFER, TransferSession

REQUESTS = 64 << 10  # bytes of sums that a sender has not answered yet; one file's always go


class Receiving(TransferSession):
    """A client pushes. Files are asked for ahead, a few at a time; each is committed when it is whole."""

    async def run(self) -> None:
        stream, options = self.stream, self.options
        wanted = receiver_wants_filters(options, self.version)
        filters = await read_filters(stream) if wanted else Filters()
        shape = self.agreed.shape
        listing = ListIn(shape, self.block.max_files, self.block.max_list)
        entries = await listing.read(stream)
        await self.arrange(entries)
        destination, commits = Destination(self), CommitQueue(self)
        await destination.resolve()
        generator = Generator(self, destination, commits)
        receiver = FileReceiver(self, destination, commits)
        await self._phase(generator, receiver, self.list, False)
        redo, receiver.again = receiver.again, []
        await self._phase(generator, receiver, redo, True)
        for named in receiver.again:
            self.fail(f"{self.display_name(named)}: what came is not what its sum says, twice")
        for _ in range(self.phases - 1):
            self.done()
            await stream.flush()
            await self.expect_done()
        await commits.settle(0)
        if options.delete and not listing.error:
            await Deletion(self, destination).run(filters)
        elif options.delete:
            self.say("IO error encountered -- skipping file deletion")
        self.done()
        await stream.flush()
        if self.version >= 31:
            await self.expect_done()
            self.done()
            await stream.flush()

    async def _phase(self, generator: Generator, receiver: FileReceiver, files: list[Named], redo: bool) -> None:
        """Asks for what differs, takes what comes, up to the phase's end."""
        for named in files:
            await self.stream.breathe(8)
            try:
                await generator.ask(named, redo)
            except RsyncError as error:
                if error.code not in (FILE, PARTIAL):
                    raise
                self.fail(f"{self.display_name(named)}: {error}")
            while len(generator.asked) >= FILES_AHEAD or (
                len(generator.asked) > 1 and sum(n for _, n in generator.asked) > REQUESTS
            ):
                await self.stream.flush()
                await self._take(generator, receiver, redo)
        self.done()
        await self.stream.flush()
        while await self._take(generator, receiver, redo):
            pass

    async def _take(self, generator: Generator, receiver: FileReceiver, redo: bool) -> bool:
        """One file, or the phase's end: False."""
        index, flags, _ = await self.read_item()
        if index == DONE:
            if generator.asked:
                for named, _ in generator.asked:  # the sender could not read them, and said so
                    self.fail(f"{self.display_name(named)}: its sender did not send it")
                generator.asked.clear()
            return False
        named = self.by_index.get(index)
        while generator.asked and generator.asked[0][0] is not named:
            skipped = generator.asked.popleft()[0]
            self.fail(f"{self.display_name(skipped)}: its sender did not send it")
        if named is None or not generator.asked:
            raise RsyncError(f"file {index} was not asked for")
        generator.asked.popleft()
        basis, sums = generator.bases.pop(index, (None, Sums()))
        if self.options.dry_run or not flags & TRANSFER:
            return True
        await receiver.receive(named, basis, sums, redo)
        return True
