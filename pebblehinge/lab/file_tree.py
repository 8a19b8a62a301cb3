"""Reads and writes a directory tree for the stand-in rsync client, held in memory as a whole: small trees only."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from pebblehinge.lab.rsync_call import Local

MAX_TREE_BYTES = 1 << 30  # file contents held in memory


class FileTreeError(Exception):
    """A directory tree that can't be read or written."""


def read_tree(top: Path) -> dict[bytes, Local]:
    """Returns all files, directories and links below `top`; a single file is returned under its own name."""
    if not top.exists():
        raise FileTreeError(f"{top} is not there")
    if not top.is_dir():
        return {os.fsencode(top.name): _read_entry(top)}
    entries = {b".": _read_entry(top)}
    total = 0
    for path in sorted(top.rglob("*")):
        entry = _read_entry(path)
        total += entry.size
        if total > MAX_TREE_BYTES:
            raise FileTreeError(f"{top} holds more than {MAX_TREE_BYTES} bytes: too much for this client")
        entries[os.fsencode(path.relative_to(top).as_posix())] = entry
    return entries


def _read_entry(path: Path) -> Local:
    status = path.lstat()
    if stat.S_ISLNK(status.st_mode):
        data = os.fsencode(os.readlink(path))
    elif stat.S_ISREG(status.st_mode):
        data = path.read_bytes()
    else:
        data = b""
    return Local(data, int(status.st_mtime), status.st_mode & 0xFFFF)


def write_tree(top: Path, files: dict[bytes, Local]) -> int:
    """Writes the received files, each atomically; returns how many were written."""
    written = 0
    top.mkdir(parents=True, exist_ok=True)
    for name in sorted(files):
        entry, path = files[name], top / os.fsdecode(name)
        if name == b".":
            continue
        if any(parent.is_symlink() for parent in path.parents if parent != top and top in parent.parents):
            raise FileTreeError(f"{path} lies beyond a link")
        if stat.S_ISDIR(entry.mode):
            path.mkdir(parents=True, exist_ok=True)
            continue
        path.parent.mkdir(parents=True, exist_ok=True)
        if path.is_symlink() or path.exists():
            if _read_entry(path) == entry:
                continue
        temporary = path.with_name(f".{path.name}.new")
        if stat.S_ISLNK(entry.mode):
            if temporary.is_symlink():
                temporary.unlink()
            temporary.symlink_to(os.fsdecode(entry.data))
        else:
            with temporary.open("wb") as file:
                for chunk in entry.pieces():
                    file.write(chunk)
            temporary.chmod(entry.mode & 0o777)
            os.utime(temporary, (entry.mtime, entry.mtime))
        os.replace(temporary, path)
        written += 1
    return written
