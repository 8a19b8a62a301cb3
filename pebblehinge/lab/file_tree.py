"""A real directory as the stand-in rsync client's files, in and out. Small trees: all of it is held in memory."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from pebblehinge.lab.rsync_call import Local

MAX_TREE_BYTES = 1 << 30  # bytes that are held


class FileTreeError(Exception):
    """A directory that can't be read or written as wanted."""


def read_tree(top: Path) -> dict[bytes, Local]:
    """All files, directories and links below `top`; a single file under its own name."""
    if not top.exists():
        raise FileTreeError(f"{top} is not there")
    if not top.is_dir():
        return {os.fsencode(top.name): _one(top)}
    found = {b".": _one(top)}
    total = 0
    for path in sorted(top.rglob("*")):
        local = _one(path)
        total += local.size
        if total > MAX_TREE_BYTES:
            raise FileTreeError(f"{top} holds more than {MAX_TREE_BYTES} bytes: too much for this client")
        found[os.fsencode(path.relative_to(top).as_posix())] = local
    return found


def _one(path: Path) -> Local:
    at = path.lstat()
    if stat.S_ISLNK(at.st_mode):
        data = os.fsencode(os.readlink(path))
    elif stat.S_ISREG(at.st_mode):
        data = path.read_bytes()
    else:
        data = b""
    return Local(data, int(at.st_mtime), at.st_mode & 0xFFFF)


def write_tree(top: Path, files: dict[bytes, Local]) -> int:
    """Writes what came, each file whole or not at all; how many were written."""
    written = 0
    top.mkdir(parents=True, exist_ok=True)
    for name in sorted(files):
        local, path = files[name], top / os.fsdecode(name)
        if name == b".":
            continue
        if any(above.is_symlink() for above in path.parents if above != top and top in above.parents):
            raise FileTreeError(f"{path} lies beyond a link")
        if stat.S_ISDIR(local.mode):
            path.mkdir(parents=True, exist_ok=True)
            continue
        path.parent.mkdir(parents=True, exist_ok=True)
        if path.is_symlink() or path.exists():
            if _one(path) == local:
                continue
        new = path.with_name(f".{path.name}.new")
        if stat.S_ISLNK(local.mode):
            if new.is_symlink():
                new.unlink()
            new.symlink_to(os.fsdecode(local.data))
        else:
            with new.open("wb") as file:
                for piece in local.pieces():
                    file.write(piece)
            new.chmod(local.mode & 0o777)
            os.utime(new, (local.mtime, local.mtime))
        os.replace(new, path)
        written += 1
    return written
