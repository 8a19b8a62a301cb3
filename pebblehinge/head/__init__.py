"""The running head: `core` feeds the decision module and carries out what it says, `link` is the way to one
shelf, `listing` the way to the node list, `server` the sockets. Decisions are in `pebblehinge/decide.py` alone."""

from pebblehinge.head.core import Core
from pebblehinge.head.server import HeadServer

__all__ = ["Core", "HeadServer"]
