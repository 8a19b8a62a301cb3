"""Types of `version_application`: grants, modes, and what a gateway stores across restarts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec

from pebblehinge.replicated_config.commands import Reservations
from pebblehinge.settings import Config


class Mode(Enum):
    """The mode in which a gateway applies its configuration; the values are shown to operators."""

    NONE = "none"  # no version is known
    CUT_OFF = "cut off"  # the lease has expired: the floor's share of every limit
    TRANSITIONAL = "careful"  # the pending version is acknowledged: the smaller of both limits
    ACTIVE = "active"


class StoredVersions(msgspec.Struct, array_like=True):
    """What a gateway stores across restarts, as a msgpack array: the order of fields is fixed."""

    active: int
    text: str
    reservations: Reservations
    pending: int = 0
    pending_text: str = ""


class EffectiveConfig(NamedTuple):
    """The configuration to act on, None if no version is known. `mode` is a value of `Mode`."""

    config: Config | None
    mode: str


@dataclass(frozen=True, slots=True)
class Grant:
    """The values of a GRANT frame, in its order.

    A text is "" if the gateway has it already. `leader` is the address of another member to ask instead, "" for none.
    """

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
        """Returns whether the grant names a version.

        It names none if there is no version yet, the member does not lead, or too many renewals wait there.
        """
        return bool(self.active or self.pending)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version that this gateway can't use, and the reason."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """All the state that a grant may change."""

    active: int
    pending: int
    reservations: Reservations
    lease_expires_ms: float
    configs: dict[int, Config]
    texts: dict[int, str]
