"""Replies of a member to an operator, and as the client reads them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from pebblehinge.replicated_config.errors import ReplicatedConfigError


class OperatorReply(NamedTuple):
    """Whether a request succeeded, and its result or the reason why not. Sent in a TOLD frame."""

    ok: bool
    text: str

    @classmethod
    def success(cls, text: str) -> OperatorReply:
        """Returns the reply to a request that succeeded with this result."""
        return cls(True, text)

    @classmethod
    def failure(cls, error: ReplicatedConfigError) -> OperatorReply:
        """Returns the reply to a request that failed."""
        return cls(False, str(error))

    @classmethod
    def from_error(cls, error: ReplicatedConfigError | None, text: str) -> OperatorReply:
        """Returns the reply to a request that failed with `error`, or succeeded with `text` if there is none."""
        return cls.success(text) if error is None else cls.failure(error)


class MemberReply(NamedTuple):
    """One member's reply; `leader` is the address of the member to ask instead, "" if none is named."""

    ok: bool
    text: str
    leader: str


SendReply = Callable[[OperatorReply], None]  # sends the reply to one request, once
