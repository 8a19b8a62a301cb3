"""Commands of the replicated state machine, and how the log stores them: a msgpack array of a verb and its values.

The values of `Verb` are the stored verbs, and the order of a command's fields is the order of the stored values:
neither may change, since logs on disk hold them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from pebblehinge.replicated_config.errors import CommandRejectedError, ReplicatedConfigError

Reservations = dict[str, tuple[float, float]]  # volume -> rate and burst, for unreachable gateways


class Verb(Enum):
    """The stored verb of each command."""

    PROPOSE = "propose"
    ACKNOWLEDGE = "acknowledge"
    ACKNOWLEDGE_MANY = "taken_up"
    REJECT = "refuse"
    ACTIVATE = "activate"
    FORGET = "forget"


class Command(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base class of all commands."""


class ProposeVersion(Command, tag=Verb.PROPOSE.value, frozen=True):
    """An operator's proposal of a new version; `base` is the newest version that the operator has seen."""

    base: int
    text: str
    author: str
    note: str


class Acknowledge(Command, tag=Verb.ACKNOWLEDGE.value, frozen=True):
    """One gateway's acknowledgement: it acts on a version, or is transitional towards it.

    Only logs that were written before `AcknowledgeMany` existed hold this command.
    """

    gateway: str
    version: int


class AcknowledgeMany(Command, tag=Verb.ACKNOWLEDGE_MANY.value, frozen=True):
    """The acknowledgements of many gateways in one log entry: gateway -> version."""

    versions: dict[str, int]


class RejectVersion(Command, tag=Verb.REJECT.value, frozen=True):
    """The rejection of the pending version, for all gateways, because one gateway can't use it."""

    version: int
    reason: str


class Activate(Command, tag=Verb.ACTIVATE.value, frozen=True):
    """The activation of a version with its reservations.

    `revision` is that of the state from which the leader computed the reservations.
    """

    version: int
    reservations: Reservations
    revision: int


class ForgetGateway(Command, tag=Verb.FORGET.value, frozen=True):
    """The removal of a gateway, after an operator has vouched that it will not return in its old state."""

    gateway: str


AnyCommand = ProposeVersion | Acknowledge | AcknowledgeMany | RejectVersion | Activate | ForgetGateway

_decode = msgspec.msgpack.Decoder(AnyCommand).decode


def encode_command(command: AnyCommand) -> bytes:
    """Returns the stored form of a command."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """Returns the command of a stored form.

    Raises:
        msgspec.DecodeError: If the bytes are no stored form of a command.
    """
    return _decode(data)


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of a command: success, or the error for which it was rejected."""

    error: ReplicatedConfigError | None = None

    @property
    def ok(self) -> bool:
        """Returns whether the command succeeded."""
        return self.error is None

    def stored_reason(self) -> str:
        """Returns the stored form: the reason of the rejection, "" for success."""
        return "" if self.error is None else str(self.error)

    @classmethod
    def from_stored(cls, reason: str) -> CommandResult:
        """Returns the result of a stored form."""
        return cls(CommandRejectedError(reason)) if reason else cls()
