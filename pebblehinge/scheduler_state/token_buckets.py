"""The token buckets of one volume."""

from __future__ import annotations


class TokenBuckets:
    """A volume's tokens, in units: this gateway's part of its limit, and what is still due of reserve and share.

    Args:
        limit: tokens of the limit at the start.
        at_ms: up to when the buckets are filled.
        due: tokens of reserve and share at the start.
    """

    __slots__ = ("limit_tokens", "reserve_tokens", "share_tokens", "filled_until_ms")

    def __init__(self, limit: float, at_ms: float, due: float) -> None:
        self.limit_tokens = limit
        self.filled_until_ms = at_ms
        self.reserve_tokens = due
        self.share_tokens = due
