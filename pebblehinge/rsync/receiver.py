"""The daemon as receiver: a client pushes."""

from __future__ import annotations

from pebblehinge.rsync.commit_queue import CommitQueue
from pebblehinge.rsync.deletion import Deletion
from pebblehinge.rsync.destination import Destination
from pebblehinge.rsync.errors import EXIT_FILE_IO, EXIT_PARTIAL, RsyncError
from pebblehinge.rsync.file_receiver import FileReceiver
from pebblehinge.rsync.filters import Filters, read_filters
from pebblehinge.rsync.flist import ListedFile
from pebblehinge.rsync.flist_reader import FileListReader
from pebblehinge.rsync.generator import Basis, Generator
from pebblehinge.rsync.numbers import DONE
from pebblehinge.rsync.options import receiver_wants_filters
from pebblehinge.rsync.transfer_session import FILES_AHEAD, ITEM_TRANSFER, TransferSession

MAX_UNANSWERED_BYTES = 64 << 10
"""Bytes of checksums that a sender has not answered yet; those of one file always go."""

STEPS_PER_FILE = 8
"""Steps of work that a file counts for."""


class ReceiverSession(TransferSession):
    """Takes a push. Files are asked for ahead, a few at a time; each is committed when it is complete."""

    async def run(self) -> None:
        """Takes the whole push; raises RsyncError if it can't go on."""
        filters = Filters()
        if receiver_wants_filters(self.options, self.version):
            filters = await read_filters(self.stream)
        reader = FileListReader(self.negotiated.list_format, self.block.max_files, self.block.max_list)
        await self.sort_list(await reader.read(self.stream))
        destination, commits = Destination(self), CommitQueue(self)
        await destination.resolve()
        generator = Generator(self, destination, commits)
        receiver = FileReceiver(self, destination, commits)
        await self._run_phase(generator, receiver, self.files, redo=False)
        again, receiver.again = receiver.again, []
        await self._run_phase(generator, receiver, again, redo=True)
        for listed in receiver.again:
            self.report_failure(f"{listed.display_name}: what came is not what its sum says, twice")
        for _ in range(self.phases - 1):
            self.put_phase_end()
            await self.stream.flush()
            await self.expect_phase_end()
        await commits.wait_until_at_most(0)
        if self.options.delete and not reader.error:
            await Deletion(self, destination, filters).run()
        elif self.options.delete:
            self.send_text("IO error encountered -- skipping file deletion")
        await self._say_goodbye()

    async def _say_goodbye(self) -> None:
        self.put_phase_end()
        await self.stream.flush()
        if self.version >= 31:
            await self.expect_phase_end()
            self.put_phase_end()
            await self.stream.flush()

    async def _run_phase(
        self, generator: Generator, receiver: FileReceiver, files: list[ListedFile], redo: bool
    ) -> None:
        """Asks for what differs and takes what comes, up to the phase's end."""
        for listed in files:
            await self.stream.yield_after_work(STEPS_PER_FILE)
            try:
                await generator.ask(listed, redo)
            except RsyncError as error:
                if error.code not in (EXIT_FILE_IO, EXIT_PARTIAL):
                    raise
                self.report_failure(f"{listed.display_name}: {error}")
            while self._must_wait(generator):
                await self.stream.flush()
                await self._take_answer(generator, receiver)
        self.put_phase_end()
        await self.stream.flush()
        while await self._take_answer(generator, receiver):
            pass

    @staticmethod
    def _must_wait(generator: Generator) -> bool:
        """Whether so much is asked for that answers are taken first."""
        asked = generator.asked
        if len(asked) >= FILES_AHEAD:
            return True
        return len(asked) > 1 and sum(file.checksum_bytes for file in asked) > MAX_UNANSWERED_BYTES

    async def _take_answer(self, generator: Generator, receiver: FileReceiver) -> bool:
        """Takes one file, or the phase's end: then returns False."""
        item = await self.read_item()
        if item.index == DONE:
            while generator.asked:
                self._report_not_sent(generator)
            return False
        listed = self.files_by_index.get(item.index)
        while generator.asked and generator.asked[0].listed is not listed:
            self._report_not_sent(generator)
        if listed is None or not generator.asked:
            raise RsyncError(f"file {item.index} was not asked for")
        generator.asked.popleft()
        basis = generator.bases.pop(item.index, Basis())
        if not self.options.dry_run and item.flags & ITEM_TRANSFER:
            await receiver.receive(listed, basis)
        return True

    def _report_not_sent(self, generator: Generator) -> None:
        """Reports the first file asked for: the sender could not read it, and said so."""
        listed = generator.asked.popleft().listed
        self.report_failure(f"{listed.display_name}: its sender did not send it")
