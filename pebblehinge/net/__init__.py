"""The layer between asyncio's transports and the framed protocol: one class a connection, and addresses."""

from pebblehinge.net.address import AddressError, parse_address
from pebblehinge.net.peer import Peer, dial

__all__ = ["AddressError", "Peer", "dial", "parse_address"]
