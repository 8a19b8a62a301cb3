"""The running head: `admission` says what may come into the core's books, `link` is the way to one shelf, `listing` the
way to the node list, `server` the sockets. Decisions are in `pebblehinge/decide/` alone."""

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.server import GatewayServer

__all__ = ["GatewayCore", "GatewayServer"]
