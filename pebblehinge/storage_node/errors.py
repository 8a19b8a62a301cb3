"""Errors of the storage node."""


class StorageNodeError(Exception):
    """Base class of the errors of this package."""


class JournalError(StorageNodeError):
    """A journal of effects is damaged before its end; the message names the file and the byte."""


class ControlError(StorageNodeError):
    """A control request of the lab has an unknown verb, or a missing or malformed value."""
