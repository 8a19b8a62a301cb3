"""What a client asks for, from the arguments that its tool sends to a server."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.rsync.stream import SYNTAX, UNSUPPORTED, RsyncError

# Letters that change nothing here: how much is told, owners and permissions (kept as far as a manifest holds them).
CALM = set("vqpoghEOJ")
DECLINED = {
    "H": "hard links",
    "A": "access lists",
    "X": "extended attributes",
    "R": "relative names",
    "s": "protected arguments",
    "K": "kept directory links",
    "b": "backups",
    "y": "fuzzy names",
    "N": "creation times",
    "U": "access times",
}
LONG_CALM = {
    "--stats",
    "--no-implied-dirs",
    "--numeric-ids",
    "--no-i-r",
    "--no-inc-recursive",
    "--delete-during",
    "--delete-before",
    "--delete-delay",
    "--delete-after",
    "--partial",
    "--whole-file",
    "--no-whole-file",
    "--sparse",
    "--omit-dir-times",
    "--omit-link-times",
    "--no-r",
    "--no-msgs2stderr",
    "--msgs2stderr",
    "--info",
    "--debug",
    "--log-format",
    "--out-format",
    "--modify-window",
    "--bwlimit",
    "--partial-dir",
    "--munge-links",
    "--no-munge-links",
    "--fsync",
    "--open-noatime",
    "--old-args",
    "--super",
    "--safe-links",
    "--8-bit-output",
    "--progress",
    "--force",
}


@dataclass(slots=True)
class Options:
    """One transfer's options. `sender`: this end sends, the client pulls."""

    sender: bool = False
    recursive: bool = False
    dirs: bool = False
    links: bool = False
    uid: bool = False
    gid: bool = False
    devices: bool = False
    times: bool = False
    numeric: bool = False
    checksum: bool = False
    ignore_times: bool = False
    size_only: bool = False
    update: bool = False
    existing: bool = False
    ignore_existing: bool = False
    dry_run: bool = False
    list_only: bool = False
    delete: bool = False
    delete_excluded: bool = False
    prune: bool = False  # empty directories are left out
    max_delete: int = -1
    append: int = 0  # 1: what is there is not looked at, 2: it is part of the sum
    whole: bool = False
    compress: bool = False
    timeout: float = 0.0  # seconds
    block: int = 0
    digest: str = ""
    seed: int = 0
    max_size: int = -1
    min_size: int = -1
    able: str = ""  # what the client's tool can do, by letters
    paths: list[bytes] = field(default_factory=list)


def receiver_wants_filters(options: Options, version: int) -> bool:
    """Whether a client that pushes sends its filter rules first: where the receiver needs them to delete or prune."""
    return options.prune or (options.delete and (not options.delete_excluded or version >= 29))


def _number(text: str, name: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise RsyncError(f"{name}={text}: a whole number is expected", SYNTAX) from None


def parse(words: list[bytes]) -> Options:
    """The arguments after the module's name. Raises RsyncError naming what is declined."""
    o = Options()
    texts = [w.decode("utf-8", "surrogateescape") for w in words]
    if not texts or texts[0] != "--server":
        raise RsyncError("the arguments do not begin with --server", SYNTAX)
    rest = iter(texts[1:])
    for text in rest:
        if text == ".":
            break
        if text.startswith("--"):
            name, _, value = text.partition("=")
            _long(o, name, value)
        elif text.startswith("-"):
            _short(o, text[1:])
        else:
            raise RsyncError(f"{text[:80]!r} stands where `.` should", SYNTAX)
    o.paths = [t.encode("utf-8", "surrogateescape") for t in rest]
    if not o.paths:
        raise RsyncError("no path is named", SYNTAX)
    if o.compress and o.digest == "none":
        raise RsyncError("--checksum-choice=none is declined", UNSUPPORTED)
    return o


def _short(o: Options, letters: str) -> None:
    i = 0
    while i < len(letters):
        c = letters[i]
        if c == "e":
            o.able = letters[i + 1 :].lstrip(".")
            if not letters[i + 1 :].startswith("."):
                raise RsyncError(f"-{letters[i:][:40]}: the capabilities of a tool are expected there", SYNTAX)
            return
        if c == "B":
            o.block = _number(letters[i + 1 :], "--block-size")
            return
        if c in CALM:
            o.uid |= c == "o"
            o.gid |= c == "g"
        elif c == "r":
            o.recursive = True
        elif c == "d":
            o.dirs = True
        elif c == "l":
            o.links = True
        elif c == "L" or c == "k":
            raise RsyncError(f"-{c} is declined: links are not followed here", UNSUPPORTED)
        elif c == "D":
            o.devices = True
        elif c == "t":
            o.times = True
        elif c == "c":
            o.checksum = True
        elif c == "I":
            o.ignore_times = True
        elif c == "u":
            o.update = True
        elif c == "n":
            o.dry_run = True
        elif c == "z":
            o.compress = True
        elif c == "W":
            o.whole = True
        elif c == "m":
            o.prune = True
        elif c in "xS":
            pass  # file systems and holes: as a module keeps files they make no difference
        elif c in DECLINED:
            raise RsyncError(f"-{c} is declined: {DECLINED[c]} are not kept here", UNSUPPORTED)
        else:
            raise RsyncError(f"-{c} is not known here", SYNTAX)
        i += 1


def _long(o: Options, name: str, value: str) -> None:
    if name == "--sender":
        o.sender = True
    elif name in ("--delete", "--delete-during", "--delete-before", "--delete-after", "--delete-delay"):
        o.delete = True
    elif name == "--delete-excluded":
        o.delete = o.delete_excluded = True
    elif name == "--max-delete":
        o.max_delete = _number(value, name)
    elif name == "--size-only":
        o.size_only = True
    elif name == "--existing" or name == "--ignore-non-existing":
        o.existing = True
    elif name == "--ignore-existing":
        o.ignore_existing = True
    elif name == "--list-only":
        o.list_only = True
    elif name == "--append":
        o.append += 1
    elif name == "--inplace":
        pass  # files become visible whole here, whatever is asked
    elif name == "--numeric-ids":
        o.numeric = True
    elif name == "--timeout":
        o.timeout = float(_number(value, name))
    elif name == "--block-size":
        o.block = _number(value, name)
    elif name == "--max-size":
        o.max_size = _number(value, name)
    elif name == "--min-size":
        o.min_size = _number(value, name)
    elif name == "--checksum-seed":
        o.seed = _number(value, name)
    elif name in ("--checksum-choice", "--cc"):
        o.digest = value.split(",")[0]
    elif name in ("--new-compress", "--compress-choice", "--zc"):
        if name != "--new-compress" and value != "zlibx":
            raise RsyncError(f"{name}={value} is declined: zlibx is known here", UNSUPPORTED)
        o.compress = True
    elif name == "--old-compress":
        raise RsyncError("--old-compress is declined: zlibx is known here", UNSUPPORTED)
    elif name in LONG_CALM:
        pass
    else:
        raise RsyncError(f"{name} is declined: it is not known here", UNSUPPORTED)
