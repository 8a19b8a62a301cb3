"""The token buckets of one volume."""

from __future__ import annotations


class TokenBuckets:
    """Holds the tokens of a volume at this gateway, in units.

    Args:
        limit_tokens: Tokens left of this gateway's part of the volume's rate limit.
        filled_until_ms: The time up to which the buckets are filled.
        value_tokens: Initial tokens of both the reserved rate and the share, by which requests are valued.
    """

    __slots__ = ("limit_tokens", "reserve_tokens", "share_tokens", "filled_until_ms")

    def __init__(self, limit_tokens: float, filled_until_ms: float, value_tokens: float) -> None:
        self.limit_tokens = limit_tokens
        self.filled_until_ms = filled_until_ms
        self.reserve_tokens = value_tokens
        self.share_tokens = value_tokens
