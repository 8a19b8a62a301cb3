"""Connections that speak the framed protocol over asyncio transports, and the parsing of addresses."""

from pebblehinge.net.address import AddressError, parse_address
from pebblehinge.net.peer import Peer, dial

__all__ = ["AddressError", "Peer", "dial", "parse_address"]
