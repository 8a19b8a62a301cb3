"""The snapshot of the state machine. Structs are stored as msgpack arrays: the order of their fields is fixed."""

from __future__ import annotations

import msgspec

from pebblehinge.replicated_config.commands import Reservations


class Version(msgspec.Struct, array_like=True):
    """One version of the configuration."""

    number: int
    text: str
    author: str
    note: str
    rejection: str = ""  # the reason, if the version was rejected; else ""


class GatewayRecord(msgspec.Struct, array_like=True):
    """The newest version that a gateway has acknowledged."""

    name: str
    version: int


class SessionRecord(msgspec.Struct, array_like=True, frozen=True):
    """The last proposal of a session, and the stored form of its result."""

    session: str
    serial: int
    reason: str


class ConfigSnapshot(msgspec.Struct, array_like=True):
    """The whole state. `active` and `pending` are version numbers, 0 for none; `revision` counts changes."""

    versions: list[Version]
    active: int
    pending: int
    reservations: Reservations
    gateways: dict[str, GatewayRecord]
    sessions: list[SessionRecord]
    revision: int = 0
