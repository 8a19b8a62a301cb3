"""A gateway's effective configuration, from what the group granted and when. No I/O, no clock.

application = VersionApplication(gateway, floor)  # or .restore(...): the stored versions, without a lease
application.begin_renewal(now)                    # returns the token of a renewal that is sent now
application.apply_grant(grant)                    # applies the answer to a renewal
application.effective_config(now)                 # returns the configuration to act on now, and its mode
"""

from __future__ import annotations

import msgspec

from pebblehinge.replicated_config.activation import config_without_lease, subtract_reservations, transitional_config
from pebblehinge.replicated_config.application_types import (
    Checkpoint,
    EffectiveConfig,
    Grant,
    Mode,
    Rejection,
    StoredVersions,
)
from pebblehinge.replicated_config.commands import Reservations
from pebblehinge.replicated_config.version_cache import parse_version, shared_text
from pebblehinge.settings import Config, SettingsError

MAX_RENEWALS_IN_FLIGHT = 16  # an answer to an older one is ignored
MAX_UNUSED_VERSIONS = 2  # parsed versions that are kept after a rollback
NO_LEASE_MS = -1.0


class VersionApplication:
    """One gateway's versions and lease. Times are in milliseconds of its own clock."""

    def __init__(self, gateway: str, floor: float) -> None:
        """Starts without a version; `floor` is the fraction of its allowance that it may send without a lease."""
        self.gateway = gateway
        self.floor = floor
        self.active = 0
        self.pending = 0
        self.texts: dict[int, str] = {}
        self.configs: dict[int, Config] = {}
        self.reservations: Reservations = {}
        self.lease_expires_ms = NO_LEASE_MS
        self.renewal_times: dict[int, float] = {}  # token -> when the renewal was sent
        self.last_token = 0
        self.rejection: Rejection | None = None

    @classmethod
    def restore(cls, gateway: str, floor: float, data: bytes) -> VersionApplication:
        """Returns the stored versions after a restart, without a lease: the length of the downtime is unknown.

        Raises:
            msgspec.DecodeError: If the bytes are not the output of `dump`.
            SettingsError: If the text of a version is not valid.
        """
        application = cls(gateway, floor)
        stored = msgspec.msgpack.decode(data, type=StoredVersions)
        for number, text in ((stored.active, stored.text), (stored.pending, stored.pending_text)):
            if number:
                application._parse(number, text)
        application.active = stored.active
        application.pending = stored.pending
        application.reservations = stored.reservations
        return application

    def dump(self) -> bytes:
        """Returns the bytes to store across restarts."""
        active_text = self.texts.get(self.active, "")
        pending_text = self.texts.get(self.pending, "")
        stored = StoredVersions(self.active, active_text, self.reservations, self.pending, pending_text)
        return msgspec.msgpack.encode(stored)

    @property
    def acknowledged_version(self) -> int:
        """Returns the newest version that this gateway has applied, or is transitional towards."""
        return max(self.active, self.pending)

    # ---- renewals

    def begin_renewal(self, now: float) -> int:
        """Records a renewal that is sent now. Returns its token."""
        self.last_token += 1
        self.renewal_times[self.last_token] = now
        for old in list(self.renewal_times)[:-MAX_RENEWALS_IN_FLIGHT]:
            del self.renewal_times[old]
        return self.last_token

    def apply_grant(self, grant: Grant) -> bool:
        """Applies a grant; one with a version that can't be used changes nothing but `rejection`.

        Returns whether something changed that must be persisted before it is acknowledged.
        """
        sent_ms = self.renewal_times.pop(grant.token, None)
        if sent_ms is None:
            return False
        previous = (self.active, self.pending, self.reservations)
        for number, text in ((grant.active, grant.active_text), (grant.pending, grant.pending_text)):
            if number and text and number not in self.configs and not self._accept_text(number, text):
                return False
        if grant.active in self.configs or grant.active == 0:
            self._apply_versions(grant, sent_ms)
        self._drop_old_versions(grant)
        return previous != (self.active, self.pending, self.reservations)

    def _apply_versions(self, grant: Grant, sent_ms: float) -> None:
        if grant.active >= self.active:
            self.active = grant.active
            self.reservations = grant.reservations
            if self.pending <= grant.active:
                self.pending = 0
        if grant.pending in self.configs:
            self.pending = grant.pending
        elif grant.pending == 0 and self.pending > self.active:
            self.pending = 0  # it was rejected
        # A lease counts only for the version that this gateway acts on.
        if grant.active == self.active:
            self.lease_expires_ms = max(self.lease_expires_ms, sent_ms + grant.lease_ms)

    def _drop_old_versions(self, grant: Grant) -> None:
        needed_versions = (grant.active, grant.pending)
        for old in [number for number in self.configs if number < self.active and number not in needed_versions]:
            del self.configs[old]
            del self.texts[old]

    # ---- changes that are not persisted yet

    def checkpoint(self) -> Checkpoint:
        """Returns the state that `withhold` and `roll_back` restore."""
        return Checkpoint(
            self.active, self.pending, self.reservations, self.lease_expires_ms, dict(self.configs), dict(self.texts)
        )

    def withhold(self, checkpoint: Checkpoint) -> Checkpoint:
        """Restores a checkpoint until the later changes are persisted. Returns the state with these, for `commit`."""
        applied_state = self.checkpoint()
        self.roll_back(checkpoint)
        return applied_state

    def commit(self, applied_state: Checkpoint) -> None:
        """Applies withheld changes, which are persisted now. Their lease still counts from the request for it."""
        lease_expires_ms = max(
            self.lease_expires_ms if self.active == applied_state.active else NO_LEASE_MS,
            applied_state.lease_expires_ms,
        )
        self._restore_checkpoint(applied_state)
        self.lease_expires_ms = lease_expires_ms

    def roll_back(self, checkpoint: Checkpoint) -> None:
        """Takes back a grant that is not persisted.

        It is neither acted on nor acknowledged, since a restart would know nothing of it. Its lease does not count
        either: the old lease expires, and the gateway is left with the floor. The newest versions stay parsed, for the
        next grant.
        """
        configs, texts = self.configs, self.texts
        self._restore_checkpoint(checkpoint)
        for number in sorted(set(configs) - set(self.configs))[-MAX_UNUSED_VERSIONS:]:
            self.configs[number] = configs[number]
            self.texts[number] = texts[number]

    def _restore_checkpoint(self, checkpoint: Checkpoint) -> None:
        self.active = checkpoint.active
        self.pending = checkpoint.pending
        self.reservations = checkpoint.reservations
        self.lease_expires_ms = checkpoint.lease_expires_ms
        self.configs = checkpoint.configs
        self.texts = checkpoint.texts

    # ---- versions

    def _accept_text(self, number: int, text: str) -> bool:
        """Parses a version's text. Returns False, and records a rejection, if this gateway can't use the version."""
        try:
            self._parse(number, text)
        except SettingsError as error:
            self.rejection = Rejection(number, str(error).splitlines()[0])
            return False
        if self.gateway not in self.configs[number].head:
            self.rejection = Rejection(number, f"it has no head {self.gateway!r}")
            del self.configs[number]
            del self.texts[number]
            return False
        return True

    def _parse(self, number: int, text: str) -> None:
        self.configs[number] = parse_version(text, f"version {number}")
        self.texts[number] = shared_text(text)

    def effective_config(self, now: float) -> EffectiveConfig:
        """Returns the configuration to act on now, and its mode."""
        if not self.active:
            return EffectiveConfig(None, Mode.NONE.value)
        if now >= self.lease_expires_ms:
            # The reservations are ignored: the group reserves for this gateway the floor of what it acknowledged last.
            return EffectiveConfig(
                config_without_lease(self._transitional_config(self.configs[self.active]), self.floor),
                Mode.CUT_OFF.value,
            )
        config = self._transitional_config(subtract_reservations(self.configs[self.active], self.reservations))
        mode = Mode.TRANSITIONAL if self.pending else Mode.ACTIVE
        return EffectiveConfig(config, mode.value)

    def _transitional_config(self, config: Config) -> Config:
        if not self.pending:
            return config
        return transitional_config(config, self.configs[self.pending], self.gateway, self.floor)
