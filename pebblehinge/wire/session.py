"""One connection's protocol state: the greeting with its version, then frames. No I/O."""

from __future__ import annotations

from typing import Any

from pebblehinge.wire.frames import Frames, WireError, encode
from pebblehinge.wire.kinds import Kind

MAGIC = "pebblehinge"
"""The first value of a greeting, by which the protocol is known."""

OLDEST, NEWEST = 1, 1
"""The versions of the protocol that are spoken here."""

GREETING_LIMIT = 1024
"""Bytes of a frame that a peer may announce before its greeting was accepted; also the least limit it may name."""

MAX_NAME_LENGTH = 200
"""Characters of this side's name that a greeting carries."""

MAX_QUOTED_MAGIC = 20
"""Characters of a wrong magic value that the text of its error repeats."""


class Session:
    """The protocol state of one end of a connection.

    Attributes:
        role: What this end is, as its greeting says: `client`, `head`, `shelf`, `listing`, `lab`, `member`, `operator`.
        name: The name of this end.
        limit: The greatest length of a frame that this end accepts, in bytes.
        streams: How many requests may be open on the connection at once.
        greets: Whether this end made the connection and so sends its greeting first.
        version: The protocol version agreed on, None before the greeting.
        peer_role: The other end's role, empty before the greeting.
        peer_name: The other end's name, empty before the greeting.
        peer_limit: The greatest length of a frame that the other end accepts, in bytes.
        peer_streams: How many open requests the other end allows.
    """

    def __init__(self, role: str, name: str, limit: int, streams: int, *, greets: bool) -> None:
        self.role = role
        self.name = name
        self.limit = limit
        self.streams = streams
        self.greets = greets
        self.frames = Frames(GREETING_LIMIT)
        self.version: int | None = None
        self.peer_role = ""
        self.peer_name = ""
        self.peer_limit = 0
        self.peer_streams = 0

    def opening(self) -> bytes:
        """Returns this end's greeting, encoded."""
        name = self.name[:MAX_NAME_LENGTH]
        return encode(Kind.HELLO, MAGIC, OLDEST, NEWEST, self.role, name, self.limit, self.streams)

    def feed(self, data: bytes) -> None:
        """Adds bytes as they were received."""
        self.frames.feed(data)

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns the next frame, or None if it is not complete yet.

        The first frame must be the greeting: it sets version and peer attributes and is returned as well. The end that
        greets may get an ERROR in its place, since the other end may reject the connection.

        Raises:
            WireError: A frame that is not allowed, or not at this time.
        """
        frame = self.frames.next()
        if frame is None:
            return None
        kind, values = frame
        if self.version is None:
            if kind is Kind.ERROR and self.greets:
                return frame
            if kind is not Kind.HELLO:
                raise WireError(f"{kind.name} before HELLO")
            self._accept_greeting(*values)
        elif kind is Kind.HELLO:
            raise WireError("a second HELLO")
        return frame

    def _accept_greeting(
        self, magic: str, oldest: int, newest: int, role: str, name: str, limit: int, streams: int
    ) -> None:
        if magic != MAGIC:
            raise WireError(f"HELLO says {magic[:MAX_QUOTED_MAGIC]!r}: expected {MAGIC!r}")
        version = min(newest, NEWEST)
        if version < max(oldest, OLDEST):
            raise WireError(f"versions {oldest} to {newest} are offered: {OLDEST} to {NEWEST} are spoken here")
        if limit < GREETING_LIMIT or streams < 1:
            raise WireError(f"limits of {limit} bytes and {streams} streams: at least {GREETING_LIMIT} and 1")
        self.version = version
        self.peer_role = role
        self.peer_name = name
        self.peer_limit = limit
        self.peer_streams = streams
        self.frames.limit = self.limit
