"""A table of bounded size that drops the least recently used row."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

T = TypeVar("T")


class LruCache(OrderedDict[str, T]):
    """Holds at most `most` rows; only `use` counts as a use, a plain look-up does not."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.max_rows = most

    def get_or_insert(self, key: str, new: T) -> T:
        """Returns the row of a key, or stores the new one; it is the last used now, and the oldest may be dropped."""
        found = self.pop(key, None) or new
        self[key] = found
        if len(self) > self.max_rows:
            self.popitem(last=False)
        return found
