"""The last events that the console shows."""

from __future__ import annotations

from collections import deque

from pebblehinge.console.rows import EventRow

MAX_EVENTS = 200
"""So many are kept."""

MAX_EVENTS_SHOWN = 40
"""So many are in a snapshot."""


class EventHistory:
    """The last events, numbered from 1."""

    def __init__(self) -> None:
        self._rows: deque[EventRow] = deque(maxlen=MAX_EVENTS)
        self._event_count = 0

    def add(self, now_ms: float, text: str) -> None:
        """Adds an event at a time by the gateway's clock."""
        self._event_count += 1
        self._rows.append((self._event_count, round(now_ms, 1), text))

    def latest(self) -> list[EventRow]:
        """The events that a snapshot shows, in their order."""
        return list(self._rows)[-MAX_EVENTS_SHOWN:]
