"""The pid file: one process of a name at a time."""

from __future__ import annotations

import fcntl
import os

MAX_PID_BYTES = 20
"""Bytes of another process's file that are read for its id."""


class PidFileError(Exception):
    """Another process holds the file, or it can't be written: one line."""


class PidFile:
    """The process's id in a file, locked until `close` or the process's end.

    Attributes:
        path: Where the file is.
        descriptor: The open file that holds the lock.
    """

    def __init__(self, path: str) -> None:
        """Writes the file and locks it.

        Raises:
            PidFileError: Another process holds it, or it can't be written.
        """
        self.path = path
        try:
            self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise PidFileError(f"{path} can't be written ({error.strerror})") from None
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.pread(self.descriptor, MAX_PID_BYTES, 0).decode("ascii", "replace").strip()
            os.close(self.descriptor)
            raise PidFileError(f"{path} is held by process {holder or 'unknown'}") from None
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, f"{os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        """Empties the file and unlocks it. The file stays: removing it could take away a successor's."""
        os.ftruncate(self.descriptor, 0)
        os.close(self.descriptor)
