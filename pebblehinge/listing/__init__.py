"""The stand-in node list: `registry` decides what it tells whom and when, `server` has the sockets."""

from pebblehinge.listing.registry import Registry
from pebblehinge.listing.server import ListingServer

__all__ = ["ListingServer", "Registry"]
