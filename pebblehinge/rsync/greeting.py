"""The first lines of a connection, by which both sides agree on a version of the protocol."""

from __future__ import annotations

from pebblehinge.rsync.digests import LOGIN_DIGESTS
from pebblehinge.rsync.errors import EXIT_START, RsyncError
from pebblehinge.rsync.negotiation import NegotiatedOptions

OLDEST_VERSION = 27
NEWEST_VERSION = 31
MAX_VERSION_DIGITS = 4

PREFIX = b"@RSYNCD: "


def encode_greeting(version: int = NEWEST_VERSION) -> bytes:
    """Returns this side's greeting line; versions from 30 on have a part after the dot."""
    text = PREFIX + (b"%d.0" % version if version >= 30 else b"%d" % version)
    if version >= 31:
        text += b" " + " ".join(LOGIN_DIGESTS).encode()
    return text + b"\n"


def parse_greeting(line: bytes, version: int = NEWEST_VERSION) -> NegotiatedOptions:
    """Returns what follows from the other side's greeting line, for this side's `version`.

    Raises:
        RsyncError: It is no greeting, or its version is too old.
    """
    if not line.startswith(PREFIX):
        raise RsyncError("no greeting: `@RSYNCD: VERSION` is expected", EXIT_START)
    words = line[len(PREFIX) :].split()
    number, _, part = (words[0] if words else b"").partition(b".")
    if not number.isdigit() or (part and not part.isdigit()) or len(number) > MAX_VERSION_DIGITS:
        raise RsyncError("a greeting without a version", EXIT_START)
    their_version = int(number)
    if their_version < OLDEST_VERSION:
        text = f"protocol version {their_version} is too old: {OLDEST_VERSION} to {NEWEST_VERSION} are spoken here"
        raise RsyncError(text)
    if their_version >= 30 and part not in (b"", b"0"):
        their_version -= 1  # an unfinished version of its maker's: the one before is meant
    login_digests = [word.decode("ascii", "replace") for word in words[1:]] or None
    return NegotiatedOptions(min(their_version, version), login_digests)
