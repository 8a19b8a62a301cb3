"""Exceptions of the Raft package; all derive from `RaftError`."""

from __future__ import annotations

from pebblehinge.store.errors import StorageError


class RaftError(Exception):
    """Base class of the package's exceptions."""


class LogError(RaftError):
    """A log that contradicts itself: a member stops rather than go on with it."""


class NotLeaderError(RaftError):
    """The request is for the leader, and this member is not the leader."""

    def __init__(self) -> None:
        """The message is the same for every request."""
        super().__init__("not the leader")


class MembershipChangeError(RaftError):
    """The leader rejected a membership change; the message says why."""


class LeadershipTransferError(RaftError):
    """The leader rejected a leadership transfer; the message says why."""


class StorageDamagedError(RaftError, StorageError):
    """Stored data that may have been promised to other members can't be read back."""


class StorageFailedError(RaftError, StorageError):
    """A write or fsync failed: what is on disk is unknown, and the storage accepts nothing more."""


class IdentityError(RaftError, StorageError):
    """A folder that is not, or not surely, the folder of this member."""


class SafetyViolationError(RaftError):
    """Exploration found a state in which a safety property does not hold; the message names property and events."""
