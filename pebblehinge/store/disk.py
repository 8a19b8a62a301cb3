"""File operations of storage. Tests use another disk, which loses what was not synced, tears, fails and fills up."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from pebblehinge.store.errors import FolderInUseError

LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o600  # mode of the files


class Disk(Protocol):
    """The file operations that storage needs, on one folder; they raise OSError if they fail."""

    def names(self) -> list[str]:
        """Names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """The bytes of a file."""

    def exists(self, name: str) -> bool:
        """Whether there is such a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is made if need be; durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Makes durable what was appended."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to so many bytes, durably."""

    def replace(self, name: str, data: bytes) -> None:
        """Writes a file, whole or not at all; durable when it returns."""

    def remove(self, name: str) -> None:
        """Removes a file if it is there."""

    def sync_folder(self) -> None:
        """Makes durable which files there are."""


class RealDisk:
    """A folder of the file system, which is made if need be."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.open_files: dict[str, int] = {}  # open for appending: file descriptors by name
        self.lock_fd = -1

    def acquire_lock(self) -> None:
        """Locks the folder for this process until it ends; raises FolderInUseError where another has it."""
        self.lock_fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise FolderInUseError(f"{self.folder} is in use by another process") from None

    def names(self) -> list[str]:
        """Names of the files, sorted."""
        return sorted(p.name for p in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        """The bytes of a file."""
        return (self.folder / name).read_bytes()

    def exists(self, name: str) -> bool:
        """Whether there is such a file."""
        return (self.folder / name).exists()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is made if need be and stays open."""
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
        """Cuts a file to so many bytes and syncs it."""
        with open(self.folder / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def replace(self, name: str, data: bytes) -> None:
        """Writes a temporary file, syncs it and renames it."""
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self.sync_folder()

    def remove(self, name: str) -> None:
        """Closes and removes a file if it is there."""
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
        """Closes all files; the lock stays."""
        for fd in self.open_files.values():
            os.close(fd)
        self.open_files.clear()
