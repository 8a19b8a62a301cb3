"""What a leader knows of gateways' leases, and when it may activate a version. No I/O, no clock: times are handed in.

A gateway counts its lease from the time at which it *asked*, a leader from the time at which it *answered*, which is
later; so once `lease x (1 + drift)` has passed here since the last answer, the gateway's lease has surely expired
there. A new leader can't know what the one before it granted: it treats every gateway as holding a lease until that
time has passed since it was elected.
"""

from __future__ import annotations

from dataclasses import dataclass

from pebblehinge.replicated_config.activation import (
    UnreachableGateway,
    find_conflict,
    reservations_fit,
    reservations_for,
)
from pebblehinge.replicated_config.commands import Activate
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_cache import parse_version
from pebblehinge.settings import Config

MAX_PARSED_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class Lease:
    """One gateway's lease, as far as this leader granted it."""

    granted_ms: float


class Leases:
    """Kept by the leader alone; a new one begins with none. Times are in milliseconds of the leader's clock."""

    def __init__(self, lease_ms: float, drift: float, floor: float, elected_ms: float) -> None:
        """A leader's leases as it is elected.

        Args:
            lease_ms: how long a lease lasts.
            drift: by what part clocks may run apart.
            floor: what part of its allowance a gateway without a lease may send.
            elected_ms: when the leader was elected.
        """
        self.lease_ms = lease_ms
        self.drift = drift
        self.floor = floor
        self.elected_ms = elected_ms
        self.by_gateway: dict[str, Lease] = {}
        self.configs: dict[int, Config] = {}

    def record_grant(self, now: float, gateway: str) -> None:
        """This gateway was answered: its lease runs from its asking, at the latest from now."""
        self.by_gateway[gateway] = Lease(now)

    def may_grant(self, state: ConfigState, gateway: str, acknowledged_version: int) -> bool:
        """Only to a gateway whose acknowledgement the group holds, and only for what is to come.

        While a version is pending, a gateway that has not prepared for it gets no further lease, or the version could
        be activated behind its back.
        """
        record = state.gateways.get(gateway)
        return record is not None and record.version == acknowledged_version >= max(state.active, state.pending) > 0

    def expires_at(self, gateway: str) -> float:
        """When a gateway's lease has surely expired."""
        lease = self.by_gateway.get(gateway)
        granted_ms = lease.granted_ms if lease is not None else 0.0
        return max(self.elected_ms, granted_ms) + self.lease_ms * (1.0 + self.drift)

    def config(self, state: ConfigState, number: int) -> Config | None:
        """The settings of a version, parsed once; None if it is not kept."""
        if number not in self.configs:
            text = state.text(number)
            if text is None:
                return None
            self.configs[number] = parse_version(text, f"version {number}")
            for old in sorted(self.configs)[:-MAX_PARSED_VERSIONS]:
                del self.configs[old]
        return self.configs[number]

    def next_activation(self, now: float, state: ConfigState) -> Activate | None:
        """What may be proposed now: to activate the pending version, or to reserve less or more under the active one.

        None while a gateway may act on an older version in full, and where nothing would change.
        """
        target = state.pending or state.active
        if not target:
            return None
        lagging = self._lagging_gateways(state, target)
        if any(now < self.expires_at(name) for name in lagging):
            return None  # it may act on an older version in full: wait for its acknowledgement or its lease
        unreachable = self._unreachable_gateways(state, lagging)
        reservations = reservations_for(unreachable, self.floor)
        config = self.config(state, target)
        if config is None or find_conflict(config, reservations) is not None:
            return None
        names = [gateway.name for gateway in unreachable]
        if target == state.pending and not reservations_fit(config, reservations, self.floor, names):
            return None
        if target == state.active and reservations == state.reservations:
            return None
        return Activate(target, reservations, state.revision)

    def describe_lagging_gateways(self, now: float, state: ConfigState) -> list[str]:
        """Why the pending version is not active yet, for operators: a line for each gateway that is behind."""
        if not state.pending:
            return []
        lines = []
        for name in self._lagging_gateways(state, state.pending):
            remaining_ms = self.expires_at(name) - now
            lease = f", its lease for {remaining_ms / 1000:.1f} s" if remaining_ms > 0 else ", cut off"
            lines.append(f"{name} is at {state.gateways[name].version}{lease}")
        return lines

    @staticmethod
    def _lagging_gateways(state: ConfigState, target: int) -> list[str]:
        """Gateways that have not acknowledged a version, by name.

        While the lease of another one runs it acts on the version in full; once that has expired, on the floor of the
        same version, which is less than its allowance: nothing need be reserved.
        """
        return [name for name, record in sorted(state.gateways.items()) if record.version < target]

    def _unreachable_gateways(self, state: ConfigState, names: list[str]) -> list[UnreachableGateway]:
        unreachable: list[UnreachableGateway] = []
        for name in names:
            config = self.config(state, state.gateways[name].version)
            if config is not None:
                unreachable.append(UnreachableGateway(name, config))
        return unreachable
