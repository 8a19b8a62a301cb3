"""How large a version may be, and the frames that bring it."""

from __future__ import annotations

import msgspec

from pebblehinge.replicated_config.errors import VersionTooLargeError
from pebblehinge.settings import Config

# Bytes of a version's text; 1,024 gateways, 2,048 storage nodes, 2,000 volumes are 0.93 MB as they are proposed.
MAX_TEXT_BYTES = 3 << 20
MAX_FRAME_BYTES = 8 << 20  # a GRANT brings two texts and what is reserved, a diff may show all lines of two


def with_group_frame_limit(config: Config) -> Config:
    """The settings under which members and gateways talk about versions: frames may have MAX_FRAME_BYTES at least.

    Clients and storage nodes keep the settings' limit: what one of them may make a gateway hold stays as stated.
    """
    limits = config.limits
    frame = max(limits.frame, MAX_FRAME_BYTES)
    return msgspec.structs.replace(config, limits=msgspec.structs.replace(limits, frame=frame))


def check_text_size(text: str) -> None:
    """Raises VersionTooLargeError for a text that can't become a version."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise VersionTooLargeError(size, MAX_TEXT_BYTES)
