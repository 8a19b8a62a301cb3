"""Reader of event logs, including those whose writer was killed."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.event_log.errors import EventLogError

LINE_START = b'{"t":'
"""The first bytes of every line that `EventLog` writes."""

_decode = msgspec.json.Decoder().decode


def read_events(path: str | Path) -> Iterator[dict[str, Any]]:
    """Yields the events of one file in order.

    A last line that a kill cut off is skipped. Where a restarted process appended to such a line, the fragment is
    skipped and the event after it is read.

    Raises:
        EventLogError: The file can't be read, or is damaged in another way.
    """
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                event = _parse_line(line)
                if event is not None:
                    yield event
                elif line.endswith(b"\n"):  # a line without a newline is the last one, cut off
                    raise EventLogError(f"records: {path}:{number} is damaged")
    except OSError as error:
        raise EventLogError(f"records: {path} can't be read ({error.strerror})") from None


def _parse_line(line: bytes) -> Any:
    """Returns the event of a line, or None if the line is cut off or damaged."""
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
