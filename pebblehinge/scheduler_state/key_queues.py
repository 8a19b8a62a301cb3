"""Lines of requests, one a key, first come first."""

from __future__ import annotations

from typing import Any


class KeyQueues:
    """Who stands in line for a key. A line that empties is forgotten."""

    def __init__(self) -> None:
        self.rows: dict[str, list[Any]] = {}

    def join(self, key: str, one: Any) -> None:
        self.rows.setdefault(key, []).append(one)

    def first(self, key: str) -> Any:
        return self.rows[key][0]

    def leave(self, key: str, one: Any) -> Any:
        """Returns who is first from now on, None if nobody."""
        row = self.rows.get(key, [])
        if one in row:
            row.remove(one)
        if not row:
            self.rows.pop(key, None)
        return row[0] if row else None
