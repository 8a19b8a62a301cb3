"""FIFO queues by key."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KeyQueues(Generic[T]):
    """One FIFO queue a key. A queue that empties is forgotten."""

    def __init__(self) -> None:
        self.queues: dict[str, list[T]] = {}

    def append(self, key: str, item: T) -> None:
        """Appends an item to the queue of a key."""
        self.queues.setdefault(key, []).append(item)

    def first(self, key: str) -> T:
        """Returns the first item of a key's queue.

        Raises:
            KeyError: nothing is queued for the key.
        """
        return self.queues[key][0]

    def remove(self, key: str, item: T) -> T | None:
        """Removes an item, if it is there; returns the first of those left, None if there are none."""
        row = self.queues.get(key, [])
        if item in row:
            row.remove(item)
        if not row:
            self.queues.pop(key, None)
        return row[0] if row else None
