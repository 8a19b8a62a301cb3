"""Commands of the replicated state machine, and how the log stores them: a msgpack array of a verb and its values.

`Verb` is the format's table of words, and the order of a command's fields is the order of the stored values: neither
may change, since logs on disk hold them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from pebblehinge.replicated_config.errors import CommandRejectedError, ReplicatedConfigError

Reservations = dict[str, tuple[float, float]]  # volume -> rate and burst, reserved for unreachable gateways


class Verb(Enum):
    """Stored words by command."""

    PROPOSE = "propose"
    ACKNOWLEDGE = "acknowledge"
    ACKNOWLEDGE_MANY = "taken_up"
    REJECT = "refuse"
    ACTIVATE = "activate"
    FORGET = "forget"


class Command(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base of all commands."""


class ProposeVersion(Command, tag=Verb.PROPOSE.value, frozen=True):
    """A new version, by an operator who has seen version `base` as the newest."""

    base: int
    text: str
    author: str
    note: str


class Acknowledge(Command, tag=Verb.ACKNOWLEDGE.value, frozen=True):
    """A gateway acts on a version, or is transitional towards it. Only logs of before `AcknowledgeMany` hold it."""

    gateway: str
    version: int


class AcknowledgeMany(Command, tag=Verb.ACKNOWLEDGE_MANY.value, frozen=True):
    """What many gateways acknowledge, in one entry: gateway -> version."""

    versions: dict[str, int]


class RejectVersion(Command, tag=Verb.REJECT.value, frozen=True):
    """A gateway can't use the pending version: it is given up as a whole."""

    version: int
    reason: str


class Activate(Command, tag=Verb.ACTIVATE.value, frozen=True):
    """A version is active, with so much reserved. `revision` is the state's, from which the leader computed it."""

    version: int
    reservations: Reservations
    revision: int


class ForgetGateway(Command, tag=Verb.FORGET.value, frozen=True):
    """An operator vouches that a gateway will not come back as it was."""

    gateway: str


AnyCommand = ProposeVersion | Acknowledge | AcknowledgeMany | RejectVersion | Activate | ForgetGateway

_decode = msgspec.msgpack.Decoder(AnyCommand).decode


def encode_command(command: AnyCommand) -> bytes:
    """The stored form of a command."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """The command of its stored form. Raises msgspec.DecodeError for anything else."""
    return _decode(data)


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of a command: done, or the error for which it was not done."""

    error: ReplicatedConfigError | None = None

    @property
    def ok(self) -> bool:
        """Whether it was done."""
        return self.error is None

    def stored_reason(self) -> str:
        """The stored form: the reason, "" for done."""
        return "" if self.error is None else str(self.error)

    @classmethod
    def from_stored(cls, reason: str) -> CommandResult:
        """The result of its stored form."""
        return cls(CommandRejectedError(reason)) if reason else cls()
