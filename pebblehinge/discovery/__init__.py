"""Stand-in for service discovery, which publishes the endpoint list to gateways with the delays of a real one.

`registry` decides when each change is published; `server` has the sockets and speaks the framed protocol.
"""

from pebblehinge.discovery.registry import Endpoint, EndpointRegistry, EndpointState
from pebblehinge.discovery.server import DiscoveryServer

__all__ = ["DiscoveryServer", "Endpoint", "EndpointRegistry", "EndpointState"]
