"""Exceptions of everything that is kept on disk; all derive from `StorageError`."""

from __future__ import annotations


class StorageError(Exception):
    """A folder or file can't be used, or can't be trusted any more; the message is one line for the operator."""


class FolderInUseError(StorageError):
    """Another process owns the folder."""


class JournalDamagedError(StorageError):
    """A journal can't be read where writes in it may have been confirmed; the message names the place."""


class JournalFencedError(StorageError):
    """The journal was taken over by another process, which applies its writes."""


class JournalFailedError(StorageError):
    """An append or fsync failed: what is on disk is unknown, and the journal accepts nothing more."""


class SnapshotRejectedError(StorageError):
    """A snapshot of the scheduler's state that can't be read, or must not be used here."""
