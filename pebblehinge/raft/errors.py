"""The exceptions of the Raft package, all derived from `RaftError`."""

from __future__ import annotations

from pebblehinge.store.errors import StorageError


class RaftError(Exception):
    """The base class of the package's exceptions."""


class LogError(RaftError):
    """The log's entries have a gap; the member stops instead of continuing with an inconsistent log."""


class NotLeaderError(RaftError):
    """Only the leader can handle the request, and this member is not the leader."""

    def __init__(self) -> None:
        super().__init__("not the leader")


class MembershipChangeError(RaftError):
    """The leader rejected a membership change; the message states the reason."""


class LeadershipTransferError(RaftError):
    """The leader rejected a leadership transfer; the message states the reason."""


class StorageDamagedError(RaftError, StorageError):
    """Stored data is damaged, although the member may have acknowledged it to other members."""


class StorageFailedError(RaftError, StorageError):
    """A write or fsync failed: the state on disk is unknown, and the storage rejects all further writes."""


class IdentityError(RaftError, StorageError):
    """The storage folder does not belong to this member, or its owner can't be determined."""


class SafetyViolationError(RaftError):
    """The exploration reached a state that violates a safety property; the message names it and lists the events."""
