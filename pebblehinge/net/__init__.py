"""The thin layer between asyncio transports and the protocol: one class a connection, and addresses."""

from pebblehinge.net.peer import Peer, dial, parse_address

__all__ = ["Peer", "dial", "parse_address"]
