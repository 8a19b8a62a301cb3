"""The running gateway of the framed protocol.

`admission` says what may enter the request table, `node_link` leads to one storage node, `discovery_link` to the
endpoint list, `server` holds the sockets. Scheduling decisions are in `pebblehinge/decide/` alone.
"""

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.server import GatewayServer

__all__ = ["GatewayCore", "GatewayServer"]
