"""Pid file, which ensures that only one process runs for each path."""

from __future__ import annotations

import fcntl
import os

MAX_PID_BYTES = 20
"""Bytes of another process's pid file that are read."""


class PidFileError(Exception):
    """Another process holds the pid file, or it can't be written. The message is one line for the operator."""


class PidFile:
    """File with the id of this process, locked until `close` is called or the process ends.

    Attributes:
        path: Path of the file.
        descriptor: File descriptor that holds the lock.
    """

    def __init__(self, path: str) -> None:
        """Locks the file and writes the process id to it.

        Raises:
            PidFileError: Another process holds the file, or it can't be written.
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
        """Empties and unlocks the file, which is not removed, since a successor may hold it already."""
        os.ftruncate(self.descriptor, 0)
        os.close(self.descriptor)
