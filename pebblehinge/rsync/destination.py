"""Where a push goes."""

from __future__ import annotations

from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.stream import FILE, RsyncError
from pebblehinge.rsync.transfer_session import TransferSession
from pebblehinge.rsync.tree import clean


class Destination:
    """Where the list goes: into a directory, or one file to a name of its own."""

    def __init__(self, session: TransferSession) -> None:
        self.session = session
        self.top, self.rename = b"", False

    async def resolve(self) -> None:
        """Makes the directories that it needs."""
        raw = self.session.options.paths[0].removeprefix(self.session.transfer.place.name.encode())
        self.top, self.rename = clean(raw), False
        standing = await self.session.standing(self.top)
        single = len(self.session.list) == 1 and not self.session.list[0].folder and not raw.endswith(b"/")
        if self.top and single and (standing is None or not standing.folder):
            self.rename = True
            await self.session.transfer.make_folders(self.top.rpartition(b"/")[0])
        elif standing is None and not self.session.options.dry_run:
            await self.session.transfer.make_folders(self.top)
        elif standing is not None and not standing.folder:
            raise RsyncError(f"{self.top[:80]!r} is no directory", FILE)

    def path(self, named: Named) -> bytes:
        if self.rename:
            return self.top
        if named.name == b".":
            return self.top
        return self.top + b"/" + named.name if self.top else named.name
