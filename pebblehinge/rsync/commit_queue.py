"""Commits of a push that are under way while the next files come."""

from __future__ import annotations

from collections import deque
from typing import Any

from pebblehinge.rsync.flist import Named
from pebblehinge.rsync.stream import RsyncError
from pebblehinge.rsync.transfer_session import TransferSession


class CommitQueue:
    """The commits under way, oldest first, each with its file's name."""

    def __init__(self, session: TransferSession) -> None:
        self.session = session
        self.commits: deque[tuple[str, Any]] = deque()

    def add(self, named: Named, coro: Any) -> None:
        self.commits.append((self.session.display_name(named), self.session.transfer.spawn(coro)))

    async def settle(self, most: int) -> None:
        """Waits until no more than so many saves are under way; what failed is said."""
        while len(self.commits) > most:
            name, task = self.commits.popleft()
            try:
                await task
                self.session.told.saved.append(name) if len(self.session.told.saved) < 10_000 else None
            except RsyncError as error:
                self.session.fail(f"{name}: {error}")
