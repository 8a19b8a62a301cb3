"""What became of one transfer."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Told:
    """What became of one transfer, for records and metrics."""

    module: str = ""
    user: str = ""
    push: bool = False
    files: int = 0
    bytes: int = 0  # of files that were moved, whole
    literal: int = 0
    matched: int = 0
    failed: list[str] = field(default_factory=list)
    error: str = ""
    code: int = 0
    ended: bool = False  # the goodbye was said
    saved: list[str] = field(default_factory=list)
