"""What a member answers to an operator, and how a client reads it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from pebblehinge.replicated_config.errors import ReplicatedConfigError


class OperatorReply(NamedTuple):
    """Whether a request was done, and its result or the reason why not. Sent in a TOLD frame."""

    ok: bool
    text: str

    @classmethod
    def success(cls, text: str) -> OperatorReply:
        """The request was done, with this result."""
        return cls(True, text)

    @classmethod
    def failure(cls, error: ReplicatedConfigError) -> OperatorReply:
        """The request was not done."""
        return cls(False, str(error))

    @classmethod
    def from_error(cls, error: ReplicatedConfigError | None, text: str) -> OperatorReply:
        """`text` if there was no error."""
        return cls.success(text) if error is None else cls.failure(error)


class MemberReply(NamedTuple):
    """One member's reply; `leader` is the address of the one to ask instead, "" if none is named."""

    ok: bool
    text: str
    leader: str


SendReply = Callable[[OperatorReply], None]  # answers a request, once
