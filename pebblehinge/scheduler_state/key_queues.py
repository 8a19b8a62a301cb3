"""FIFO queues by key."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KeyQueues(Generic[T]):
    """One FIFO queue a key. A queue that empties is forgotten."""

    def __init__(self) -> None:
        self.rows: dict[str, list[T]] = {}

    def join(self, key: str, item: T) -> None:
        """Appends an item to the queue of a key."""
        self.rows.setdefault(key, []).append(item)

    def first(self, key: str) -> T:
        """Returns the first item of a key's queue.

        Raises:
            KeyError: nothing is queued for the key.
        """
        return self.rows[key][0]

    def leave(self, key: str, item: T) -> T | None:
        """Removes an item, if it is there; returns the first of those left, None if there are none."""
        row = self.rows.get(key, [])
        if item in row:
            row.remove(item)
        if not row:
            self.rows.pop(key, None)
        return row[0] if row else None
