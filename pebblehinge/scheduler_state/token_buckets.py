"""What a head keeps of a volume."""

from __future__ import annotations


class TokenBuckets:
    """A volume's stores: this head's part of the limit, and what is still due of reserve and share, in units."""

    __slots__ = ("limit", "reserve", "share", "at_ms")

    def __init__(self, limit: float, at_ms: float, due: float) -> None:
        self.limit, self.at_ms = limit, at_ms  # filled up to that time
        self.reserve = self.share = due
