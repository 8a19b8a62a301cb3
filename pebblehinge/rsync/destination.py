"""Where the files of a push go."""

from __future__ import annotations

from pebblehinge.rsync.errors import EXIT_FILE_IO, RsyncError
from pebblehinge.rsync.flist import TOP_NAME, ListedFile
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import join_path, normalize_path, split_path


class Destination:
    """Where the list goes: into a directory, or a single file to a name of its own.

    Attributes:
        top: The path of the directory, or of the single file.
        is_file: Whether `top` is the path of a single file.
    """

    def __init__(self, session: TransferSession) -> None:
        self._session = session
        self.top = b""
        self.is_file = False

    async def resolve(self) -> None:
        """Looks at what stands there and makes the directories that are needed; raises RsyncError for a file there."""
        session = self._session
        raw = session.options.paths[0].removeprefix(session.transfer.store.name.encode())
        self.top = normalize_path(raw)
        current = await session.current_entry(self.top)
        is_single = len(session.files) == 1 and not session.files[0].is_directory and not raw.endswith(b"/")
        if self.top and is_single and (current is None or not current.is_directory):
            self.is_file = True
            await session.transfer.make_directories(split_path(self.top)[0])
        elif current is None and not session.options.dry_run:
            await session.transfer.make_directories(self.top)
        elif current is not None and not current.is_directory:
            raise RsyncError(f"{self.top[:80]!r} is no directory", EXIT_FILE_IO)

    def path(self, listed: ListedFile) -> bytes:
        """Returns the path of a file of the list."""
        if self.is_file or listed.name == TOP_NAME:
            return self.top
        return join_path(self.top, listed.name)
