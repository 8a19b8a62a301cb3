"""One connection's protocol state: the greeting with its version, then frames. No I/O."""

from __future__ import annotations

from typing import Any

from pebblehinge.wire.frames import Frames, Kind, WireError, encode

MAGIC = "pebblehinge"
OLDEST, NEWEST = 1, 1  # versions of the protocol that are spoken here
GREETING_LIMIT = 1024  # before the greeting no peer may announce more


class Session:
    """The side that accepts (`greets` False) or the one that connects (`greets` True)."""

    def __init__(self, role: str, name: str, limit: int, streams: int, *, greets: bool) -> None:
        self.role, self.name, self.limit, self.streams = role, name, limit, streams
        self.greets = greets
        self.frames = Frames(GREETING_LIMIT)
        self.version: int | None = None
        self.peer_role = self.peer_name = ""
        self.peer_limit = self.peer_streams = 0

    def opening(self) -> bytes:
        """What the connecting side says first."""
        return encode(Kind.HELLO, MAGIC, OLDEST, NEWEST, self.role, self.name[:200], self.limit, self.streams)

    def feed(self, data: bytes) -> None:
        self.frames.feed(data)

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """The next frame; the first must be the greeting, which is taken in here and returned too."""
        got = self.frames.next()
        if got is None:
            return None
        kind, values = got
        if self.version is None:
            if kind is Kind.ERROR and self.greets:
                return got  # the other side won't have us, and says why
            if kind is not Kind.HELLO:
                raise WireError(f"{kind.name} before HELLO")
            self._greeted(*values)
        elif kind is Kind.HELLO:
            raise WireError("a second HELLO")
        return got

    def _greeted(self, magic: str, oldest: int, newest: int, role: str, name: str, limit: int, streams: int) -> None:
        if magic != MAGIC:
            raise WireError(f"HELLO says {magic[:20]!r}: expected {MAGIC!r}")
        version = min(newest, NEWEST)
        if version < max(oldest, OLDEST):
            raise WireError(f"versions {oldest} to {newest} are offered: {OLDEST} to {NEWEST} are spoken here")
        if limit < GREETING_LIMIT or streams < 1:
            raise WireError(f"limits of {limit} bytes and {streams} streams: at least {GREETING_LIMIT} and 1")
        self.version, self.peer_role, self.peer_name = version, role, name
        self.peer_limit, self.peer_streams = limit, streams
        self.frames.limit = self.limit
