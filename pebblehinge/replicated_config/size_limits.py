"""Limits on the size of a version, and of the frames that carry it."""

from __future__ import annotations

import msgspec

from pebblehinge.replicated_config.errors import VersionTooLargeError
from pebblehinge.settings import Config

# The text of a version with 1,024 gateways, 2,048 storage nodes and 2,000 volumes has 0.93 MB when it is proposed.
MAX_TEXT_BYTES = 3 << 20
MAX_FRAME_BYTES = 8 << 20  # a GRANT carries two texts and the reservations; a diff may carry all lines of two texts


def with_group_frame_limit(config: Config) -> Config:
    """Returns the settings for connections to members of the group, whose frames may have at least MAX_FRAME_BYTES.

    Clients and storage nodes keep the configured limit, which bounds the memory that each can make a gateway hold.
    """
    limits = config.limits
    frame = max(limits.frame, MAX_FRAME_BYTES)
    return msgspec.structs.replace(config, limits=msgspec.structs.replace(limits, frame=frame))


def check_text_size(text: str) -> None:
    """Checks that a text is small enough to become a version.

    Raises:
        VersionTooLargeError: If it has more than MAX_TEXT_BYTES.
    """
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise VersionTooLargeError(size, MAX_TEXT_BYTES)
