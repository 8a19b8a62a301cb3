"""A table of so many rows, the least recently used out first."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

T = TypeVar("T")


class LruCache(OrderedDict[str, T]):
    """Keeps at most so many; `use` is what counts as a use, a plain look-up does not."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def use(self, key: str, new: T) -> T:
        """What stands under a key, else what is new, now the last used; over the bound the first goes."""
        found = self.pop(key, None) or new
        self[key] = found
        if len(self) > self.most:
            self.popitem(last=False)
        return found
