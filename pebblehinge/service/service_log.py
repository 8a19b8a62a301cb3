"""The log of the gateway in service: lines on standard error, bounded in number."""

from __future__ import annotations

import sys

MAX_LINES = 2000  # of one process, so that its log can't grow for ever
VALUE_LIMIT = 300  # characters of a field's value


class ServiceLog:
    """Writes the lines of one process."""

    __slots__ = ("lines",)

    def __init__(self) -> None:
        self.lines = 0

    def write(self, name: str, uptime_s: float, event: str, fields: dict[str, object]) -> None:
        """Write an event of the gateway `name` with its fields, unless the log is full."""
        self.lines += 1
        if self.lines > MAX_LINES:
            return
        rest = "".join(f" {key.replace(' ', '-')}={str(value)[:VALUE_LIMIT]!r}" for key, value in fields.items())
        print(f"pebblehinge {name} {uptime_s:.3f} {event}{rest}", file=sys.stderr, flush=True)
