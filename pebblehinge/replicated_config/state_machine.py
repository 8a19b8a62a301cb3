"""The replicated state machine: versions of the configuration, the active one, and what gateways have acknowledged.

The state follows from the log alone, without clock or randomness, so every member holds the same. A proposal that is
sent twice is applied once, by its session and serial.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from pebblehinge.raft import Entry, EntryKind
from pebblehinge.replicated_config.commands import (
    Acknowledge,
    AcknowledgeMany,
    Activate,
    AnyCommand,
    CommandResult,
    ForgetGateway,
    ProposeVersion,
    RejectVersion,
    Reservations,
    decode_command,
)
from pebblehinge.replicated_config.errors import (
    CommandRejectedError,
    InvalidVersionError,
    NotPendingError,
    StaleBaseError,
    StaleRevisionError,
    SupersededProposalError,
    UnknownGatewayError,
    UnknownVersionError,
    VersionPendingError,
)
from pebblehinge.replicated_config.snapshot import ConfigSnapshot, GatewayRecord, SessionRecord, Version
from pebblehinge.replicated_config.version_cache import parse_version
from pebblehinge.settings import SettingsError

MAX_SESSIONS = 1024  # the least recently used one is dropped first
MAX_VERSIONS = 200  # stored with their text


class ConfigState:
    """The state, with version numbers from 1.

    Gateways act on the `active` version and are transitional towards the `pending` one; 0 for none.
    """

    def __init__(self) -> None:
        """Creates the state at the beginning of the log."""
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.active = 0
        self.pending = 0
        self.reservations: Reservations = {}
        self.gateways: dict[str, GatewayRecord] = {}
        self.sessions: OrderedDict[str, SessionRecord] = OrderedDict()
        self.revision = 0  # counts the changes that concern gateways

    def apply(self, entry: Entry) -> CommandResult:
        """Applies a committed entry, once for each serial of a session; a repeated one returns its first result."""
        if entry.kind != EntryKind.DATA:
            return CommandResult()
        if entry.session:
            previous = self.sessions.get(entry.session)
            if previous is not None and previous.serial > entry.serial:
                return CommandResult(SupersededProposalError())
            if previous is not None and previous.serial == entry.serial:
                return CommandResult.from_stored(previous.reason)
        result = self._execute(decode_command(entry.data))
        if entry.session:
            self._store_session(SessionRecord(entry.session, entry.serial, result.stored_reason()))
        return result

    def _execute(self, command: AnyCommand) -> CommandResult:
        try:
            match command:
                case ProposeVersion():
                    self._propose(command)
                case Acknowledge():
                    self._acknowledge(command.gateway, command.version)
                case AcknowledgeMany():
                    self._acknowledge_many(command)
                case RejectVersion():
                    self._reject(command)
                case Activate():
                    self._activate(command)
                case ForgetGateway():
                    self._forget(command)
        except CommandRejectedError as error:
            return CommandResult(error)
        return CommandResult()

    def _store_session(self, record: SessionRecord) -> None:
        self.sessions[record.session] = record
        self.sessions.move_to_end(record.session)
        if len(self.sessions) > MAX_SESSIONS:
            self.sessions.popitem(last=False)

    # ---- commands

    def _propose(self, command: ProposeVersion) -> None:
        """Adds a pending version, if its base is the newest version, no other is pending, and its text is valid."""
        newest = self.newest
        if command.base != newest:
            raise StaleBaseError(command.base, newest)
        if self.pending:
            raise VersionPendingError(self.pending)
        number = newest + 1
        try:
            parse_version(command.text, f"version {number}")
        except SettingsError as error:
            raise InvalidVersionError(str(error)) from None
        self.versions[number] = Version(number, command.text, command.author, command.note)
        self.pending = number
        self.revision += 1
        self._drop_old_versions()

    def _drop_old_versions(self) -> None:
        """Drops the oldest versions beyond MAX_VERSIONS, except for those that are still needed."""
        while len(self.versions) > MAX_VERSIONS:
            needed_versions = self._needed_versions()
            oldest = next((number for number in self.versions if number not in needed_versions), None)
            if oldest is None:
                return
            del self.versions[oldest]

    def _acknowledge(self, gateway: str, version: int) -> None:
        if version not in self.versions:
            raise UnknownVersionError(version)
        record = self.gateways.get(gateway)
        if record is None or version > record.version:
            self.gateways[gateway] = GatewayRecord(gateway, version)
            self.revision += 1

    def _acknowledge_many(self, command: AcknowledgeMany) -> None:
        """Skips versions that are no longer stored or were rejected meanwhile: their gateways have rolled them back."""
        for gateway, version in command.versions.items():
            if version in self.versions and not self.versions[version].rejection:
                self._acknowledge(gateway, version)

    def _reject(self, command: RejectVersion) -> None:
        version = command.version
        if version != self.pending:
            raise NotPendingError(f"version {version} is not pending")
        self.versions[version].rejection = command.reason
        self.pending = 0
        # A gateway that acknowledged it was transitional towards it, and acts on the active version again.
        for record in self.gateways.values():
            if record.version == version:
                record.version = min(record.version, self.active)
        self.revision += 1

    def _activate(self, command: Activate) -> None:
        """Activates a version with its reservations, unless the state has changed since the leader computed them.

        A gateway that acknowledged a version since the leader's revision is not in its computation, so that the leader
        has to compute again.
        """
        version = command.version
        if command.revision != self.revision:
            raise StaleRevisionError
        if version not in (self.pending, self.active):
            raise NotPendingError(f"version {version} is neither pending nor active")
        if version == self.active and command.reservations == self.reservations:
            return
        self.active = version
        self.reservations = command.reservations
        if self.pending == version:
            self.pending = 0
        self.revision += 1

    def _forget(self, command: ForgetGateway) -> None:
        if command.gateway not in self.gateways:
            raise UnknownGatewayError(command.gateway)
        del self.gateways[command.gateway]
        self.revision += 1

    # ---- queries

    @property
    def newest(self) -> int:
        """Returns the newest version, also if it was rejected; 0 for none."""
        return max(self.versions, default=0)

    def text(self, number: int) -> str | None:
        """Returns a version's text, None if it is not stored."""
        version = self.versions.get(number)
        return version.text if version is not None else None

    def _needed_versions(self) -> set[int]:
        return {self.active, self.pending, self.newest, *(record.version for record in self.gateways.values())}

    # ---- snapshots

    def dump(self) -> bytes:
        """Returns the bytes of a snapshot."""
        snapshot = ConfigSnapshot(
            list(self.versions.values()),
            self.active,
            self.pending,
            self.reservations,
            self.gateways,
            list(self.sessions.values()),
            self.revision,
        )
        return msgspec.msgpack.encode(snapshot)

    @classmethod
    def restore(cls, data: bytes) -> ConfigState:
        """Returns the state of a snapshot's bytes; of no bytes, the state at the beginning of the log."""
        state = cls()
        if data:
            snapshot = msgspec.msgpack.decode(data, type=ConfigSnapshot)
            state.versions = OrderedDict((version.number, version) for version in snapshot.versions)
            state.active = snapshot.active
            state.pending = snapshot.pending
            state.reservations = snapshot.reservations
            state.gateways = snapshot.gateways
            state.sessions = OrderedDict((record.session, record) for record in snapshot.sessions)
            state.revision = snapshot.revision
        return state
