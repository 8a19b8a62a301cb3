"""Who waited for whom: where the time of requests went, by volume and shelf. No I/O, no clock."""

from pebblehinge.account.books import Books, Share

__all__ = ["Books", "Share"]
