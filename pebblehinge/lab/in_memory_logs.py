"""In-memory records and logs for runs in virtual time."""

from __future__ import annotations

from typing import Any


class InMemoryRecords:
    """Keeps records in memory."""

    enabled = True

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def note(self, t: float, event: str, **values: Any) -> None:
        self.rows.append({"t": round(t, 3), "e": event, **values})

    def close(self) -> None:
        pass


class WarningLog:
    """A log that keeps warnings and errors in memory and drops the rest."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, dict[str, Any]]] = []

    def debug(self, event: str, **values: Any) -> None:
        pass

    info = debug

    def warning(self, event: str, **values: Any) -> None:
        self.lines.append(("warning", event, values))

    def error(self, event: str, **values: Any) -> None:
        self.lines.append(("error", event, values))

    def bind(self, **_: Any) -> WarningLog:
        return self
