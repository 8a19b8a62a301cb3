"""FIFO queues by key."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KeyQueues(Generic[T]):
    """Holds one FIFO queue per key. A queue that becomes empty is removed."""

    def __init__(self) -> None:
        self.queues: dict[str, list[T]] = {}

    def append(self, key: str, item: T) -> None:
        """Appends an item to the queue of a key."""
        self.queues.setdefault(key, []).append(item)

    def first(self, key: str) -> T:
        """Returns the first item in the queue of a key.

        Raises:
            KeyError: Nothing is queued for the key.
        """
        return self.queues[key][0]

    def remove(self, key: str, item: T) -> T | None:
        """Removes an item, if it is queued, and returns the item that is then first, None if the queue is empty."""
        queue = self.queues.get(key, [])
        if item in queue:
            queue.remove(item)
        if not queue:
            self.queues.pop(key, None)
        return queue[0] if queue else None
