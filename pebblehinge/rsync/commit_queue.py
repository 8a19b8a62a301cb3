"""Commits of a push that are under way while the next files come."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.flist import ListedFile
from pebblehinge.rsync.transfer_session import TransferSession

MAX_REPORTED_FILES = 10_000
"""Committed files whose names a report holds, at most."""


@dataclass(slots=True, frozen=True)
class PendingCommit:
    """A commit under way: the file's name for messages, and the task."""

    name: str
    task: asyncio.Task[Any]


class CommitQueue:
    """The commits under way, the oldest first."""

    def __init__(self, session: TransferSession) -> None:
        self._session = session
        self._commits: deque[PendingCommit] = deque()

    def add(self, listed: ListedFile, commit: Coroutine[Any, Any, Any]) -> None:
        """Starts the commit of a file."""
        self._commits.append(PendingCommit(listed.display_name, self._session.transfer.spawn(commit)))

    async def wait_until_at_most(self, count: int) -> None:
        """Waits until no more than `count` commits are under way; those that failed are reported to the client."""
        saved = self._session.report.saved
        while len(self._commits) > count:
            commit = self._commits.popleft()
            try:
                await commit.task
                if len(saved) < MAX_REPORTED_FILES:
                    saved.append(commit.name)
            except RsyncError as error:
                self._session.report_failure(f"{commit.name}: {error}")
