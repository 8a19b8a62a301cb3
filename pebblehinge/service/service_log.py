"""The log of the gateway in service: lines on standard error, bounded in number."""

from __future__ import annotations

import sys

MAX_LINES = 2000  # of one process, so that its log can't grow for ever
MAX_VALUE_CHARACTERS = 300  # characters of a field's value


class ServiceLog:
    """Writes the lines of one process."""

    __slots__ = ("line_count",)

    def __init__(self) -> None:
        self.line_count = 0

    def write(self, gateway_name: str, uptime_s: float, event: str, fields: dict[str, object]) -> None:
        """Write an event of the gateway `gateway_name` with its fields, unless the log is full."""
        self.line_count += 1
        if self.line_count > MAX_LINES:
            return
        field_text = "".join(
            f" {key.replace(' ', '-')}={str(value)[:MAX_VALUE_CHARACTERS]!r}" for key, value in fields.items()
        )
        print(f"pebblehinge {gateway_name} {uptime_s:.3f} {event}{field_text}", file=sys.stderr, flush=True)
