"""Parts of a fleet that the settings do not spell out."""

from __future__ import annotations

import msgspec

from pebblehinge.settings import Config


def released(config: Config, name: str, number: int) -> str:
    """Adds the shelf that takes over a slot at a release: a further name, a further address. Returns its name."""
    old = config.shelf[name]
    host, _, port = old.listen.rpartition(":")
    new = f"{name}.{number}"
    config.shelf[new] = msgspec.structs.replace(old, listen=f"{host}:{int(port) + 1000 * number}")
    return new
