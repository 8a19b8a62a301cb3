"""File operations of the storage layer.

Tests use another implementation of `Disk`, which loses data that was not synced, tears writes, fails and fills up.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from pebblehinge.store.errors import FolderInUseError

LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o600


class Disk(Protocol):
    """The file operations that storage needs, on one folder; each raises OSError on failure."""

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def exists(self, name: str) -> bool:
        """Returns whether a file exists."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, creating it if necessary; the data is durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Makes the appended data of a file durable."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""

    def replace(self, name: str, data: bytes) -> None:
        """Writes a file atomically; it is durable when the call returns."""

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""

    def sync_folder(self) -> None:
        """Makes the creation and removal of files durable."""


class RealDisk:
    """A folder of the file system, created if necessary.

    Attributes:
        folder: The folder's path.
        open_files: File descriptors, open for appending, by file name.
        lock_fd: File descriptor of the lock file, -1 before `acquire_lock`.
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.open_files: dict[str, int] = {}
        self.lock_fd = -1

    def acquire_lock(self) -> None:
        """Locks the folder for this process until the process ends.

        Raises:
            FolderInUseError: Another process holds the lock.
        """
        self.lock_fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise FolderInUseError(f"{self.folder} is in use by another process") from None

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""
        return sorted(p.name for p in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.folder / name).read_bytes()

    def exists(self, name: str) -> bool:
        """Returns whether a file exists."""
        return (self.folder / name).exists()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if necessary and stays open."""
        fd = self.open_files.get(name)
        if fd is None:
            fd = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, FILE_MODE)
            self.open_files[name] = fd
        while data:
            data = data[os.write(fd, data) :]

    def sync(self, name: str) -> None:
        """Syncs a file that is open for appending."""
        fd = self.open_files.get(name)
        if fd is not None:
            os.fsync(fd)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes and syncs it."""
        with open(self.folder / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def replace(self, name: str, data: bytes) -> None:
        """Writes a temporary file, syncs it, renames it to the file's name and syncs the folder."""
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self.sync_folder()

    def remove(self, name: str) -> None:
        """Closes a file and removes it if it exists."""
        fd = self.open_files.pop(name, None)
        if fd is not None:
            os.close(fd)
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Syncs the folder."""
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Closes all open files; the lock stays held."""
        for fd in self.open_files.values():
            os.close(fd)
        self.open_files.clear()
