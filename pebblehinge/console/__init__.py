"""Web console of a gateway: one page that shows its state and updates itself.

`view` and `node_health` read the gateway's state twice a second while a viewer is connected, `rows` defines the types
of the resulting JSON, and `server` serves it over HTTP. No request of the gateway waits for the console.
"""

from pebblehinge.console.server import Console

__all__ = ["Console"]
