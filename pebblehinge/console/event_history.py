"""Recent events that the console shows."""

from __future__ import annotations

from collections import deque

from pebblehinge.console.rows import EventRow

MAX_EVENTS = 200
"""Events kept; the oldest ones are discarded."""

MAX_EVENTS_SHOWN = 40
"""Events in a snapshot, the most recent ones."""


class EventHistory:
    """Recent events, numbered from 1."""

    def __init__(self) -> None:
        self._rows: deque[EventRow] = deque(maxlen=MAX_EVENTS)
        self._event_count = 0

    def add(self, now_ms: float, text: str) -> None:
        """Adds an event that occurred at `now_ms` by the gateway's clock."""
        self._event_count += 1
        self._rows.append((self._event_count, round(now_ms, 1), text))

    def latest(self) -> list[EventRow]:
        """Returns the events that belong in a snapshot, oldest first."""
        return list(self._rows)[-MAX_EVENTS_SHOWN:]
