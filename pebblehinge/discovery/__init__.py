"""The stand-in for service discovery: it tells gateways which storage nodes there are, with the delays of a real one.

`registry` decides which changes become known when; `server` has the sockets and speaks the framed protocol.
"""

from pebblehinge.discovery.registry import Endpoint, EndpointRegistry, EndpointState
from pebblehinge.discovery.server import DiscoveryServer

__all__ = ["DiscoveryServer", "Endpoint", "EndpointRegistry", "EndpointState"]
