"""What comes into and out of `version_application`: grants, modes, and what a gateway keeps over restarts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec

from pebblehinge.replicated_config.commands import Reservations
from pebblehinge.settings import Config


class Mode(Enum):
    """How a gateway acts; the values are shown to operators."""

    NONE = "none"  # it knows no version
    CUT_OFF = "cut off"  # its lease has expired: it acts on the floor's share
    TRANSITIONAL = "careful"  # it has acknowledged the pending version: on the smaller of both limits
    ACTIVE = "active"


class StoredVersions(msgspec.Struct, array_like=True):
    """What a gateway keeps over restarts. Stored as a msgpack array: the order of fields is fixed."""

    active: int
    text: str
    reservations: Reservations
    pending: int = 0
    pending_text: str = ""


class EffectiveConfig(NamedTuple):
    """What to act on; `config` is None if no version is known. `mode` is a value of `Mode`."""

    config: Config | None
    mode: str


@dataclass(frozen=True, slots=True)
class Grant:
    """The values of a GRANT frame, in its order. A text is "" if the gateway has it; `leader` names another member."""

    token: int
    lease_ms: float
    active: int
    active_text: str
    pending: int
    pending_text: str
    reservations: Reservations
    leader: str = ""

    @property
    def has_version(self) -> bool:
        """False if there is no version yet, or the member does not lead, or too many renewals wait there."""
        return bool(self.active or self.pending)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version that this gateway can't use, and why."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Everything that a grant may change."""

    active: int
    pending: int
    reservations: Reservations
    lease_expires_ms: float
    configs: dict[int, Config]
    texts: dict[int, str]
