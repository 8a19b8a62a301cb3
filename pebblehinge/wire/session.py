"""The protocol state of a connection: the greeting, which agrees on a version, and the frames after it."""

from __future__ import annotations

from typing import Any

from pebblehinge.wire.frames import FrameDecoder, WireError, encode
from pebblehinge.wire.kinds import Kind

MAGIC = "pebblehinge"
"""The first value of a greeting, which identifies the protocol."""

OLDEST_VERSION, NEWEST_VERSION = 1, 1
"""The range of supported protocol versions."""

MAX_GREETING_BYTES = 1024
"""Limit of a frame's length before the greeting is accepted; also the least limit that a greeting may state."""

MAX_NAME_CHARS = 200
"""Limit of this end's name in a greeting; a longer name is truncated."""

MAX_QUOTED_MAGIC_CHARS = 20
"""Limit of the quotation of an invalid magic value in the error message."""


class Session:
    """The protocol state of one end of a connection.

    Attributes:
        role: The role of this end: `client`, `head`, `shelf`, `listing`, `lab`, `group`, `member` or `operator`.
        name: The name of this end.
        max_frame_bytes: The greatest length of a frame that this end accepts, in bytes.
        max_streams: The number of requests that this end allows to be open on the connection at once.
        dialed: Whether this end dialed the connection and so sends its greeting first.
        decoder: The decoder of the received frames.
        version: The protocol version agreed on, None before the greeting.
        peer_role: The role of the other end, empty before the greeting.
        peer_name: The name of the other end, empty before the greeting.
        peer_max_frame_bytes: The greatest length of a frame that the other end accepts, in bytes.
        peer_max_streams: The number of open requests that the other end allows.
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
        """Returns the encoded greeting of this end."""
        name = self.name[:MAX_NAME_CHARS]
        return encode(
            Kind.HELLO, MAGIC, OLDEST_VERSION, NEWEST_VERSION, self.role, name, self.max_frame_bytes, self.max_streams
        )

    def feed(self, data: bytes) -> None:
        """Passes received bytes to the decoder."""
        self.decoder.feed(data)

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns the next frame, or None if it is not complete yet.

        The first frame must be the greeting, which sets the version and the peer attributes and is returned as well.
        The end that dialed may receive an ERROR instead, since the other end may reject the connection.

        Raises:
            WireError: The frame violates the protocol, or is not allowed at this time.
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
