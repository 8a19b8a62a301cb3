"""Names and addresses of the storage nodes that replace others at a release."""

from __future__ import annotations

import msgspec

from pebblehinge.settings import Config

RELEASE_STEP = 1000  # ports from a storage node to its replacement in the slot; more in a larger fleet


def release_address(config: Config, listen: str, number: int) -> str:
    """Returns the address of the process that takes over a slot at release `number`; 0 is the original address.

    A fleet block numbers the ports of its storage nodes consecutively: a step below their count would reach the port
    of another node.
    """
    host, _, port = listen.rpartition(":")
    step = max(RELEASE_STEP, config.fleet.shelfs if config.fleet is not None else 0)
    return f"{host}:{int(port) + step * number}"


def released(config: Config, name: str, number: int) -> str:
    """Adds the storage node that takes over a slot at a release, with a new name and address; returns the name."""
    old = config.shelf[name]
    new = f"{name}.{number}"
    config.shelf[new] = msgspec.structs.replace(old, listen=release_address(config, old.listen, number))
    return new
