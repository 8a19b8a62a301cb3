"""What a transfer asks of the storage nodes, and what it learns of an append."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Operation:
    """What a request does.

    Attributes:
        op: The operation's number on the wire.
        extent: The extent's name.
        profile: The request class, by its name in the settings.
        offset: Where it begins, in bytes.
        length: How many bytes it reads or writes.
        data: The bytes to write.
        label: The idempotency label of an append.
    """

    op: int
    extent: str
    profile: str
    offset: int
    length: int
    data: bytes = b""
    label: str | None = None


@dataclass(slots=True, frozen=True)
class AppendAnswer:
    """How an append ended.

    Attributes:
        final: The word of the final answer.
        appended: Whether the records were appended; None if the storage node said nothing.
    """

    final: str
    appended: bool | None
