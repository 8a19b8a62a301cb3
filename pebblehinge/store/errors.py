"""Exceptions of the stored files; all derive from `StorageError`."""

from __future__ import annotations


class StorageError(Exception):
    """A folder or file is unusable, or its content can't be trusted; the message is one line for the operator."""


class FolderInUseError(StorageError):
    """Another process has locked the folder."""


class JournalDamagedError(StorageError):
    """A journal is unreadable at a place where writes may have been confirmed; the message names the place."""


class JournalFencedError(StorageError):
    """Another process has taken the journal over and applies its writes."""


class JournalFailedError(StorageError):
    """An append or fsync failed: the content on disk is unknown, and the journal accepts no further records."""


class SnapshotRejectedError(StorageError):
    """A snapshot of the scheduler's state is unreadable, or is not valid for this gateway."""
