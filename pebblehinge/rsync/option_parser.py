"""Reads the arguments that a client's tool sends to a server."""

from __future__ import annotations

from pebblehinge.rsync.errors import EXIT_SYNTAX, EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.options import Options

LETTER_FLAGS = {
    "o": "uid",
    "g": "gid",
    "r": "recursive",
    "d": "dirs",
    "l": "links",
    "D": "devices",
    "t": "times",
    "c": "checksum",
    "I": "ignore_times",
    "u": "update",
    "n": "dry_run",
    "z": "compress",
    "W": "whole",
    "m": "prune_empty",
}
"""Letters that set an attribute of `Options`."""

IGNORED_LETTERS = frozenset("vqphEOJxS")
"""Letters that change nothing here: how much is shown, permissions, file systems, holes."""

DECLINED_LETTERS = {
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
"""Letters that ask for what is not kept here."""

FOLLOWED_LINKS = frozenset("Lk")
CAPABILITIES_LETTER = "e"
BLOCK_SIZE_LETTER = "B"

LONG_FLAGS = {
    "--sender": "sender",
    "--delete": "delete",
    "--delete-during": "delete",
    "--delete-before": "delete",
    "--delete-after": "delete",
    "--delete-delay": "delete",
    "--size-only": "size_only",
    "--existing": "existing",
    "--ignore-non-existing": "existing",
    "--ignore-existing": "ignore_existing",
    "--list-only": "list_only",
    "--numeric-ids": "numeric",
}
"""Options that set an attribute of `Options`."""

LONG_NUMBERS = {
    "--max-delete": "max_delete",
    "--block-size": "block",
    "--max-size": "max_size",
    "--min-size": "min_size",
    "--checksum-seed": "seed",
    "--timeout": "timeout",
}
"""Options with a number, and their attributes."""

IGNORED_OPTIONS = frozenset(
    {
        "--stats",
        "--no-implied-dirs",
        "--no-i-r",
        "--no-inc-recursive",
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
        "--inplace",
    }
)
"""Options that change nothing here; files become visible whole, also with --inplace."""

COMPRESSION = "zlibx"


def parse_options(arguments: list[bytes]) -> Options:
    """Returns the options in the arguments after the module's name; raises RsyncError naming what is declined."""
    options = Options()
    texts = [argument.decode("utf-8", "surrogateescape") for argument in arguments]
    if not texts or texts[0] != "--server":
        raise RsyncError("the arguments do not begin with --server", EXIT_SYNTAX)
    remaining = iter(texts[1:])
    for text in remaining:
        if text == ".":
            break
        if text.startswith("--"):
            name, _, value = text.partition("=")
            _parse_long(options, name, value)
        elif text.startswith("-"):
            _parse_letters(options, text[1:])
        else:
            raise RsyncError(f"{text[:80]!r} stands where `.` should", EXIT_SYNTAX)
    options.paths = [text.encode("utf-8", "surrogateescape") for text in remaining]
    if not options.paths:
        raise RsyncError("no path is named", EXIT_SYNTAX)
    if options.compress and options.digest == "none":
        raise RsyncError("--checksum-choice=none is declined", EXIT_UNSUPPORTED)
    return options


def _parse_number(text: str, name: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise RsyncError(f"{name}={text}: a whole number is expected", EXIT_SYNTAX) from None


def _parse_letters(options: Options, letters: str) -> None:
    for position, letter in enumerate(letters):
        rest = letters[position + 1 :]
        if letter == CAPABILITIES_LETTER:
            options.capabilities = rest.lstrip(".")
            if not rest.startswith("."):
                shown = letters[position:][:40]
                raise RsyncError(f"-{shown}: the capabilities of a tool are expected there", EXIT_SYNTAX)
            return
        if letter == BLOCK_SIZE_LETTER:
            options.block = _parse_number(rest, "--block-size")
            return
        if letter in LETTER_FLAGS:
            setattr(options, LETTER_FLAGS[letter], True)
        elif letter not in IGNORED_LETTERS:
            raise _declined_letter(letter)


def _declined_letter(letter: str) -> RsyncError:
    if letter in FOLLOWED_LINKS:
        return RsyncError(f"-{letter} is declined: links are not followed here", EXIT_UNSUPPORTED)
    if letter in DECLINED_LETTERS:
        return RsyncError(f"-{letter} is declined: {DECLINED_LETTERS[letter]} are not kept here", EXIT_UNSUPPORTED)
    return RsyncError(f"-{letter} is not known here", EXIT_SYNTAX)


def _parse_long(options: Options, name: str, value: str) -> None:
    if name in LONG_FLAGS:
        setattr(options, LONG_FLAGS[name], True)
    elif name in LONG_NUMBERS:
        number = _parse_number(value, name)
        setattr(options, LONG_NUMBERS[name], float(number) if name == "--timeout" else number)
    elif name == "--delete-excluded":
        options.delete = options.delete_excluded = True
    elif name == "--append":
        options.append += 1
    elif name in ("--checksum-choice", "--cc"):
        options.digest = value.split(",")[0]
    elif name in ("--new-compress", "--compress-choice", "--zc"):
        if name != "--new-compress" and value != COMPRESSION:
            raise RsyncError(f"{name}={value} is declined: {COMPRESSION} is known here", EXIT_UNSUPPORTED)
        options.compress = True
    elif name == "--old-compress":
        raise RsyncError(f"--old-compress is declined: {COMPRESSION} is known here", EXIT_UNSUPPORTED)
    elif name not in IGNORED_OPTIONS:
        raise RsyncError(f"{name} is declined: it is not known here", EXIT_UNSUPPORTED)
