"""One connection's protocol state: the greeting with its version, then frames. No I/O."""

from __future__ import annotations

from typing import Any

from pebblehinge.wire.frames import FrameDecoder, WireError, encode
from pebblehinge.wire.kinds import Kind

MAGIC = "pebblehinge"
"""The first value of a greeting, by which the protocol is known."""

OLDEST_VERSION, NEWEST_VERSION = 1, 1
"""The versions of the protocol that are spoken here."""

MAX_GREETING_BYTES = 1024
"""Bytes of a frame that a peer may announce before its greeting was accepted; also the least limit it may name."""

MAX_NAME_CHARS = 200
"""Characters of this side's name that a greeting carries."""

MAX_QUOTED_MAGIC_CHARS = 20
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

    def __init__(self, role: str, name: str, max_frame_bytes: int, max_streams: int, *, dialed: bool) -> None:
        self.role = role
        self.name = name
        self.max_frame_bytes = max_frame_bytes
        self.max_streams = max_streams
        self.dialed = dialed
        self.decoder = FrameDecoder(MAX_GREETING_BYTES)
        self.version: int | None = None
        self.peer_role = ""
        self.peer_name = ""
        self.peer_max_frame_bytes = 0
        self.peer_max_streams = 0

    def encode_greeting(self) -> bytes:
        """Returns this end's greeting, encoded."""
        name = self.name[:MAX_NAME_CHARS]
        return encode(
            Kind.HELLO, MAGIC, OLDEST_VERSION, NEWEST_VERSION, self.role, name, self.max_frame_bytes, self.max_streams
        )

    def feed(self, data: bytes) -> None:
        """Adds bytes as they were received."""
        self.decoder.feed(data)

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns the next frame, or None if it is not complete yet.

        The first frame must be the greeting: it sets version and peer attributes and is returned as well. The end that
        greets may get an ERROR in its place, since the other end may reject the connection.

        Raises:
            WireError: A frame that is not allowed, or not at this time.
        """
        frame = self.decoder.next()
        if frame is None:
            return None
        kind, values = frame
        if self.version is None:
            if kind is Kind.ERROR and self.dialed:
                return frame
            if kind is not Kind.HELLO:
                raise WireError(f"{kind.name} before HELLO")
            self._accept_greeting(*values)
        elif kind is Kind.HELLO:
            raise WireError("a second HELLO")
        return frame

    def _accept_greeting(
        self, magic: str, oldest: int, newest: int, role: str, name: str, max_frame_bytes: int, max_streams: int
    ) -> None:
        if magic != MAGIC:
            raise WireError(f"HELLO says {magic[:MAX_QUOTED_MAGIC_CHARS]!r}: expected {MAGIC!r}")
        version = min(newest, NEWEST_VERSION)
        if version < max(oldest, OLDEST_VERSION):
            raise WireError(
                f"versions {oldest} to {newest} are offered: {OLDEST_VERSION} to {NEWEST_VERSION} are spoken here"
            )
        if max_frame_bytes < MAX_GREETING_BYTES or max_streams < 1:
            raise WireError(
                f"limits of {max_frame_bytes} bytes and {max_streams} streams: at least {MAX_GREETING_BYTES} and 1"
            )
        self.version = version
        self.peer_role = role
        self.peer_name = name
        self.peer_max_frame_bytes = max_frame_bytes
        self.peer_max_streams = max_streams
        self.decoder.max_frame_bytes = self.max_frame_bytes
