"""The gateway of the framed protocol.

`server` runs the gateway and accepts clients, `admission` checks their requests and adds them to the request table,
`node_link` sends attempts to one storage node, and `discovery_link` receives the endpoint list. All scheduling
decisions are taken in `pebblehinge/decide/`.
"""

from pebblehinge.gateway.admission import GatewayCore
from pebblehinge.gateway.server import GatewayServer

__all__ = ["GatewayCore", "GatewayServer"]
