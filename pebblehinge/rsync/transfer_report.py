"""What became of one transfer."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class TransferReport:
    """What became of one transfer, for logs and metrics.

    Attributes:
        module: The module's name; "" as long as the client has named none.
        user: The user's name; "" where no login was asked for.
        push: Whether the client pushes.
        files: Files moved.
        bytes: Length of the files moved.
        literal: Bytes sent as they are.
        matched: Bytes that the receiver had already.
        failed: Messages on what could not be moved.
        error: Why the transfer failed, or "".
        code: The exit code for `error`.
        ended: Whether it came to its regular end.
        saved: Names of files committed, the first ones.
    """

    module: str = ""
    user: str = ""
    push: bool = False
    files: int = 0
    bytes: int = 0
    literal: int = 0
    matched: int = 0
    failed: list[str] = field(default_factory=list)
    error: str = ""
    code: int = 0
    ended: bool = False
    saved: list[str] = field(default_factory=list)
