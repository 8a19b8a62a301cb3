"""A table of bounded size that drops the least recently used row."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

T = TypeVar("T")


class LruCache(OrderedDict[str, T]):
    """Holds at most `max_rows` rows. Only `get_or_insert` counts as a use; a plain look-up does not."""

    def __init__(self, max_rows: int) -> None:
        super().__init__()
        self.max_rows = max_rows

    def get_or_insert(self, key: str, default: T) -> T:
        """Returns the row of a key, after storing the default if there is none.

        The row becomes the most recently used one. If the table is full, the least recently used row is dropped.
        """
        row = self.pop(key, None) or default
        self[key] = row
        if len(self) > self.max_rows:
            self.popitem(last=False)
        return row
