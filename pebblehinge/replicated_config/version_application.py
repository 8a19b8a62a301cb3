"""What a gateway acts on, from what the group granted it and how long ago. No I/O, no clock.

application = VersionApplication(gateway, floor)  # or .restore(...): the last version, without a lease
application.begin_renewal(now)                    # a renewal leaves; returns its token
application.apply_grant(grant)                    # what the group answered
application.effective_config(now)                 # what to act on now, and in which mode
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

MAX_RENEWALS_IN_FLIGHT = 16  # an answer to an older one counts for nothing
MAX_UNUSED_VERSIONS = 2  # parsed ones that outlast a rollback
NO_LEASE_MS = -1.0


class VersionApplication:
    """One gateway's versions and lease. Times are in milliseconds of its own clock."""

    def __init__(self, gateway: str, floor: float) -> None:
        """Without any version; `floor` is the part of its allowance that it may send without a lease."""
        self.gateway = gateway
        self.floor = floor
        self.active = 0
        self.pending = 0
        self.texts: dict[int, str] = {}
        self.configs: dict[int, Config] = {}
        self.reservations: Reservations = {}
        self.lease_expires_ms = NO_LEASE_MS
        self.renewal_times: dict[int, float] = {}  # token -> when it left
        self.last_token = 0
        self.rejection: Rejection | None = None

    @classmethod
    def restore(cls, gateway: str, floor: float, data: bytes) -> VersionApplication:
        """After a restart: the last versions, and no lease, since none knows how long this gateway was away.

        Raises msgspec.DecodeError or SettingsError for bytes that `dump` did not return.
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
        """The bytes to keep over restarts."""
        active_text = self.texts.get(self.active, "")
        pending_text = self.texts.get(self.pending, "")
        stored = StoredVersions(self.active, active_text, self.reservations, self.pending, pending_text)
        return msgspec.msgpack.encode(stored)

    @property
    def acknowledged_version(self) -> int:
        """The newest version that this gateway has applied, or is transitional towards."""
        return max(self.active, self.pending)

    # ---- renewals

    def begin_renewal(self, now: float) -> int:
        """A renewal leaves now. Returns its token."""
        self.last_token += 1
        self.renewal_times[self.last_token] = now
        for old in list(self.renewal_times)[:-MAX_RENEWALS_IN_FLIGHT]:
            del self.renewal_times[old]
        return self.last_token

    def apply_grant(self, grant: Grant) -> bool:
        """Takes an answer in; one with a version that can't be used changes nothing but `rejection`.

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
            self.pending = 0  # it was given up
        # Only what this gateway really acts on earns it a lease.
        if grant.active == self.active:
            self.lease_expires_ms = max(self.lease_expires_ms, sent_ms + grant.lease_ms)

    def _drop_old_versions(self, grant: Grant) -> None:
        needed = (grant.active, grant.pending)
        for old in [number for number in self.configs if number < self.active and number not in needed]:
            del self.configs[old]
            del self.texts[old]

    # ---- what was applied, and is not persisted yet

    def checkpoint(self) -> Checkpoint:
        """What `withhold` and `roll_back` go back to."""
        return Checkpoint(
            self.active, self.pending, self.reservations, self.lease_expires_ms, dict(self.configs), dict(self.texts)
        )

    def withhold(self, checkpoint: Checkpoint) -> Checkpoint:
        """Goes back to a checkpoint until what came since is persisted. Returns what `commit` needs."""
        applied_state = self.checkpoint()
        self.roll_back(checkpoint)
        return applied_state

    def commit(self, applied_state: Checkpoint) -> None:
        """What was withheld is persisted now. The lease that came with it counts from its asking, as ever."""
        lease_expires_ms = max(
            self.lease_expires_ms if self.active == applied_state.active else NO_LEASE_MS,
            applied_state.lease_expires_ms,
        )
        self._restore_checkpoint(applied_state)
        self.lease_expires_ms = lease_expires_ms

    def roll_back(self, checkpoint: Checkpoint) -> None:
        """Takes back an answer that could not be persisted.

        It is not acted on and not acknowledged, since a restart would know nothing of it. The lease that it brought is
        none either; the old one runs out, and the floor is left. What was parsed of the newest versions stays, for the
        next time.
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
        """What to act on now, and the mode."""
        if not self.active:
            return EffectiveConfig(None, Mode.NONE.value)
        if now >= self.lease_expires_ms:
            # Whatever was reserved since, the group counts this gateway for the floor of what it acknowledged last.
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
