"""Writer of event logs.

Whole lines are written once per iteration of the event loop, so that a kill loses at most one iteration's events.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.event_log.errors import EventLogError

MAX_BUFFERED_LINES = 1 << 16
"""Buffered lines at which a log is written immediately instead of at the end of the loop's iteration."""

FILE_MODE = 0o644
CLOSED = -1
"""Value of `EventLog.fd` after the log was closed or has failed."""

_encode = msgspec.json.Encoder().encode


class NullEventLog:
    """An event log that discards all events."""

    enabled = False

    def note(self, time_ms: float, event: str, /, **values: Any) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class EventLog:
    """Event log of one process, which appends its events to `NAME.jsonl` in a folder.

    Args:
        folder: An existing folder.
        name: The file's name without its suffix.
        call_soon: Schedules a function to run after the callbacks that are ready now, as `loop.call_soon` does.
        on_failure: Called once with the error when a write fails; later events are then discarded. Without this
            callback the error is raised.

    Raises:
        EventLogError: The file can't be opened.
    """

    enabled = True

    def __init__(
        self,
        folder: str | Path,
        name: str,
        call_soon: Callable[..., Any],
        on_failure: Callable[[EventLogError], None] | None = None,
    ) -> None:
        self.path = Path(folder) / f"{name}.jsonl"
        self.call_soon = call_soon
        self.on_failure = on_failure
        self.lines: list[bytes] = []
        self.flush_scheduled = False
        try:
            self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)
        except OSError as error:
            raise self._write_error(error) from None

    def note(self, time_ms: float, event: str, /, **values: Any) -> None:
        """Buffers an event; it is written after the callbacks of the event loop that are ready now.

        Args:
            time_ms: Time of the event in milliseconds; stored to a microsecond as `t`.
            event: Name of the event, stored as `e`.
            **values: Further fields, of types that JSON can represent.

        Raises:
            EventLogError: The buffer was full, the write failed, and there is no `on_failure`.
        """
        self.lines.append(_encode({"t": round(time_ms, 3), "e": event, **values}))
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.flush()
        elif not self.flush_scheduled:
            self.flush_scheduled = True
            self.call_soon(self.flush)

    def flush(self) -> None:
        """Writes the buffered events.

        Raises:
            EventLogError: The write failed, and there is no `on_failure`.
        """
        self.flush_scheduled = False
        if not self.lines or self.fd == CLOSED:
            return
        data = b"\n".join(self.lines) + b"\n"
        self.lines.clear()
        try:
            while data:
                data = data[os.write(self.fd, data) :]
        except OSError as error:
            self._fail(self._write_error(error))

    def close(self) -> None:
        """Writes the buffered events and closes the file.

        Raises:
            EventLogError: The write failed, and there is no `on_failure`.
        """
        self.flush()
        if self.fd != CLOSED:
            os.close(self.fd)
            self.fd = CLOSED

    def _fail(self, error: EventLogError) -> None:
        """Closes the file, so that the failure is reported once rather than for every later event."""
        os.close(self.fd)
        self.fd = CLOSED
        if self.on_failure is None:
            raise error from None
        self.on_failure(error)

    def _write_error(self, error: OSError) -> EventLogError:
        return EventLogError(f"records: {self.path} can't be written ({error.strerror})")
