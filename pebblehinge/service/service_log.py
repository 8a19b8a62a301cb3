"""The log of the gateway in service: a limited number of lines on standard error."""

from __future__ import annotations

import sys

MAX_LINES = 2000  # Limit for one process, so that its log can't grow without bound.
MAX_VALUE_CHARACTERS = 300  # Longer field values are cut off.


class ServiceLog:
    """Writes the log lines of one process."""

    __slots__ = ("line_count",)

    def __init__(self) -> None:
        self.line_count = 0

    def write(self, gateway_name: str, uptime_s: float, event: str, fields: dict[str, object]) -> None:
        """Writes one line with an event and its fields, unless MAX_LINES lines have been written."""
        self.line_count += 1
        if self.line_count > MAX_LINES:
            return
        field_text = "".join(
            f" {key.replace(' ', '-')}={str(value)[:MAX_VALUE_CHARACTERS]!r}" for key, value in fields.items()
        )
        print(f"pebblehinge {gateway_name} {uptime_s:.3f} {event}{field_text}", file=sys.stderr, flush=True)
