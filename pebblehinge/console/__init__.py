"""The web console of a gateway: one page, live.

`view` and `node_health` read the gateway's state twice a second while anybody watches, `rows` has the types of what
they show; `server` serves it over HTTP. No request of the gateway waits for any of it.
"""

from pebblehinge.console.server import Console

__all__ = ["Console"]
