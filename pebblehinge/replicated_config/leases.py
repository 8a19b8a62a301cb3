"""What a leader knows of gateways' leases, and when it may activate a version. No I/O, no clock: times are parameters.

A gateway counts its lease from the time at which it *asked*, a leader from the time at which it *answered*, which is
later. So once `lease x (1 + drift)` has passed at the leader since its last answer, the lease has certainly expired at
the gateway. A new leader can't know what its predecessor granted: it treats every gateway as holding a lease until
that time has passed since its own election.
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
    """One gateway's lease, as this leader granted it last."""

    granted_ms: float


class Leases:
    """The leases that a leader granted in its term. Times are in milliseconds of the leader's clock."""

    def __init__(self, lease_ms: float, drift: float, floor: float, elected_ms: float) -> None:
        """Creates the state of a newly elected leader, which has granted no lease.

        Args:
            lease_ms: The duration of a lease.
            drift: The fraction by which clocks may run apart.
            floor: The fraction of its allowance that a gateway without a lease may send.
            elected_ms: When the leader was elected.
        """
        self.lease_ms = lease_ms
        self.drift = drift
        self.floor = floor
        self.elected_ms = elected_ms
        self.by_gateway: dict[str, Lease] = {}
        self.configs: dict[int, Config] = {}

    def record_grant(self, now: float, gateway: str) -> None:
        """Records that a gateway is being answered: its lease runs from its request, at the latest from now."""
        self.by_gateway[gateway] = Lease(now)

    def may_grant(self, state: ConfigState, gateway: str, acknowledged_version: int) -> bool:
        """Returns whether a gateway may get a lease: the group must hold its acknowledgement of the newest version.

        While a version is pending, a gateway that has not acknowledged it gets no further lease; otherwise the version
        could be activated while that gateway acts on an older one in full.
        """
        record = state.gateways.get(gateway)
        return record is not None and record.version == acknowledged_version >= max(state.active, state.pending) > 0

    def expires_at(self, gateway: str) -> float:
        """Returns the time at which a gateway's lease has certainly expired."""
        lease = self.by_gateway.get(gateway)
        granted_ms = lease.granted_ms if lease is not None else 0.0
        return max(self.elected_ms, granted_ms) + self.lease_ms * (1.0 + self.drift)

    def config(self, state: ConfigState, number: int) -> Config | None:
        """Returns the settings of a version, which are parsed once, or None if it is not stored."""
        if number not in self.configs:
            text = state.text(number)
            if text is None:
                return None
            self.configs[number] = parse_version(text, f"version {number}")
            for old in sorted(self.configs)[:-MAX_PARSED_VERSIONS]:
                del self.configs[old]
        return self.configs[number]

    def next_activation(self, now: float, state: ConfigState) -> Activate | None:
        """Returns the activation to propose now: of the pending version, or of the active one with other reservations.

        Returns None while a gateway may act on an older version in full, and where nothing would change.
        """
        target = state.pending or state.active
        if not target:
            return None
        lagging_names = self._lagging_gateways(state, target)
        if any(now < self.expires_at(name) for name in lagging_names):
            return None  # one may act on an older version in full: wait for its acknowledgement or expiry
        unreachable = self._unreachable_gateways(state, lagging_names)
        reservations = reservations_for(unreachable, self.floor)
        config = self.config(state, target)
        if config is None or find_conflict(config, reservations) is not None:
            return None
        unreachable_names = [gateway.name for gateway in unreachable]
        if target == state.pending and not reservations_fit(config, reservations, self.floor, unreachable_names):
            return None
        if target == state.active and reservations == state.reservations:
            return None
        return Activate(target, reservations, state.revision)

    def describe_lagging_gateways(self, now: float, state: ConfigState) -> list[str]:
        """Returns a line for operators on each gateway that has not acknowledged the pending version."""
        if not state.pending:
            return []
        lines = []
        for name in self._lagging_gateways(state, state.pending):
            remaining_ms = self.expires_at(name) - now
            lease = f", lease expires in {remaining_ms / 1000:.1f} s" if remaining_ms > 0 else ", cut off"
            lines.append(f"{name} is at version {state.gateways[name].version}{lease}")
        return lines

    @staticmethod
    def _lagging_gateways(state: ConfigState, target: int) -> list[str]:
        """Returns the gateways that have not acknowledged a version, in the order of their names.

        The others need no reservation: one with a lease acts on the version in full, and one without acts on the
        floor of the same version, which is less than its allowance.
        """
        return [name for name, record in sorted(state.gateways.items()) if record.version < target]

    def _unreachable_gateways(self, state: ConfigState, names: list[str]) -> list[UnreachableGateway]:
        unreachable: list[UnreachableGateway] = []
        for name in names:
            config = self.config(state, state.gateways[name].version)
            if config is not None:
                unreachable.append(UnreachableGateway(name, config))
        return unreachable
