"""The running head: `admission` says what may come into the core's books, `link` is the way to one shelf, `listing` the
way to the node list, `server` the sockets. Decisions are in `pebblehinge/decide/` alone."""

from pebblehinge.head.admission import HeadCore
from pebblehinge.head.server import HeadServer

__all__ = ["HeadCore", "HeadServer"]
