"""How large a version may be, and the frames that bring it."""

from __future__ import annotations

import msgspec

from pebblehinge.settings import Config

TEXT = 3 << 20  # bytes of a version's text; 1,024 heads, 2,048 shelfs, 2,000 volumes are 0.93 MB as they are proposed
FRAME = 8 << 20  # bytes: a GRANT brings two texts and what is set aside, a diff may tell all lines of two


def roomy(config: Config) -> Config:
    """The settings under which instances and heads talk about versions. Clients and shelfs keep `limits frame`: what
    one of them may make a head hold stays as it is stated."""
    limits = config.limits
    return msgspec.structs.replace(config, limits=msgspec.structs.replace(limits, frame=max(limits.frame, FRAME)))


def too_large(text: str) -> str:
    """Why a text can't become a version, or nothing."""
    size = len(text.encode())
    return f"the version's text has {size:,} bytes: expected at most {TEXT:,}" if size > TEXT else ""
