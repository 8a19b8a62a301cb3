"""Parts of a fleet that the settings do not spell out."""

from __future__ import annotations

import msgspec

from pebblehinge.settings import Config

RELEASE_STEP = 1000  # ports from a shelf's process to the one that takes over its slot, or the fleet's shelfs, if more


def release_address(config: Config, listen: str, number: int) -> str:
    """Where the process stands that takes over a slot at a release; 0 is the first, at its own address. A fleet block
    numbers its shelfs' ports in turn: a step that is less than their count would lead to another's port."""
    host, _, port = listen.rpartition(":")
    step = max(RELEASE_STEP, config.fleet.shelfs if config.fleet is not None else 0)
    return f"{host}:{int(port) + step * number}"


def released(config: Config, name: str, number: int) -> str:
    """Adds the shelf that takes over a slot at a release: a further name, a further address. Returns its name."""
    old = config.shelf[name]
    new = f"{name}.{number}"
    config.shelf[new] = msgspec.structs.replace(old, listen=release_address(config, old.listen, number))
    return new
