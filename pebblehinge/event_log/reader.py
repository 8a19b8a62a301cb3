"""Reads a file of events, also one whose writer was killed."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.event_log.errors import EventLogError

LINE_START = b'{"t":'
"""How the writer begins every line."""

_decode = msgspec.json.Decoder().decode


def read_events(path: str | Path) -> Iterator[dict[str, Any]]:
    """Yields the events of one file in their order.

    A last line that a kill cut off is left out. Where a restarted process appended to such a line, the fragment is
    left out and what follows it is read.

    Raises:
        EventLogError: The file can't be read, or is damaged in another way.
    """
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                event = _parse_line(line)
                if event is not None:
                    yield event
                elif line.endswith(b"\n"):  # only the last line of a file can lack it
                    raise EventLogError(f"records: {path}:{number} is damaged")
    except OSError as error:
        raise EventLogError(f"records: {path} can't be read ({error.strerror})") from None


def _parse_line(line: bytes) -> Any:
    """The event that a line holds, or None if it is cut off or damaged."""
    try:
        return _decode(line)
    except msgspec.DecodeError:
        pass
    if not line.endswith(b"\n"):
        return None
    fragment, start, rest = line.rpartition(LINE_START)
    if not start or not fragment:
        return None
    try:
        return _decode(start + rest)
    except msgspec.DecodeError:
        return None
