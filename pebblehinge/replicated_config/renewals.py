"""A leader's schedule for renewals: when to begin a quorum round, what to propose, whom to answer, whom to notify.

No I/O, no clock, no randomness: renewals and times are parameters. However many gateways there are,

- at most one round (a read by Raft's ReadIndex) is in flight for them, and none begins sooner than a tick after the
  one before. It serves all renewals that came before it began, and none that came later;
- at most one command with their acknowledgements is in flight, proposed at most once a tick (group commit);
- a renewal is answered once its round is over *and* its acknowledgement is applied, so no gateway has to poll for that;
- gateways are notified at most once a tick, and only of a version that they must act on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

MAX_PENDING_RENEWALS = 4096  # about 500 bytes each; a connection has at most one for each stage
NEVER_MS = float("-inf")


@dataclass(slots=True, frozen=True)
class Renewal:
    """A gateway's request for its lease, over a connection. `known_version` is the newest whose text it holds."""

    connection: Any  # any hashable object: only its identity matters here
    token: int
    gateway: str
    acknowledged_version: int
    known_version: int


class CurrentVersions(NamedTuple):
    """The active and the pending version; 0 for none."""

    active: int
    pending: int


class Renewals:
    """The renewals of one leader's term, by stage. Times are in milliseconds.

    Only the newest renewal of a connection counts: an older one at the same stage is dropped, since the gateway gets
    the answer to the newer one.
    """

    def __init__(self, tick_ms: float) -> None:
        """Creates an empty schedule; rounds, commands and notifications are at least a tick apart."""
        self.tick_ms = tick_ms
        self.awaiting_round: dict[Any, Renewal] = {}  # wait for a round to begin
        self.in_round: dict[Any, Renewal] = {}  # served by the round in flight
        self.awaiting_commit: dict[Any, Renewal] = {}  # the round is over; the acknowledgement is not applied yet
        self.round_number = 0  # number of the last round
        self.round_in_flight = False
        self.last_round_ms = NEVER_MS
        self.last_proposal_ms = NEVER_MS
        self.last_notification_ms = NEVER_MS
        self.unproposed_acknowledgements: dict[str, int] = {}  # gateway -> version that it acknowledges
        self.proposed_acknowledgements: dict[str, int] = {}  # the same, of the command in flight
        self.proposed_index = 0  # index of the entry that holds them
        self.notified_versions: CurrentVersions | None = None  # of the last notification

    def add(self, renewal: Renewal, is_new: bool) -> bool:
        """Adds a renewal.

        Args:
            renewal: The renewal as it came.
            is_new: Whether its acknowledgement has to be proposed, because the group does not hold it yet.

        Returns:
            False if too many renewals are pending.
        """
        pending = len(self.awaiting_round) + len(self.in_round) + len(self.awaiting_commit)
        if pending >= MAX_PENDING_RENEWALS and renewal.connection not in self.awaiting_round:
            return False
        self.awaiting_round[renewal.connection] = renewal
        if is_new and self.proposed_acknowledgements.get(renewal.gateway) != renewal.acknowledged_version:
            self.unproposed_acknowledgements[renewal.gateway] = renewal.acknowledged_version
        return True

    def pending_renewals(self) -> list[Renewal]:
        """Returns the renewals that were not answered yet."""
        return [*self.awaiting_commit.values(), *self.in_round.values(), *self.awaiting_round.values()]

    # ---- rounds

    def round_due(self, now: float) -> bool:
        """Returns whether a round may begin and any renewal waits for it."""
        return bool(self.awaiting_round) and not self.round_in_flight and now - self.last_round_ms >= self.tick_ms

    def begin_round(self, now: float) -> int:
        """Begins a round for all waiting renewals. Returns its number, for `end_round`."""
        self.round_number += 1
        self.round_in_flight = True
        self.last_round_ms = now
        self.in_round = self.awaiting_round
        self.awaiting_round = {}
        return self.round_number

    def end_round(self, number: int) -> list[Renewal]:
        """Ends a round that the majority has answered. Returns the renewals to be answered now."""
        if not self.round_in_flight or number != self.round_number:
            return []
        self.round_in_flight = False
        self.awaiting_commit |= self.in_round
        self.in_round = {}
        return self._pop_answerable()

    # ---- acknowledgements

    def acknowledgements_due(self, now: float) -> dict[str, int]:
        """Returns the acknowledgements to propose now, in one command; none while another one is in flight."""
        if (
            self.proposed_acknowledgements
            or not self.unproposed_acknowledgements
            or now - self.last_proposal_ms < self.tick_ms
        ):
            return {}
        return dict(sorted(self.unproposed_acknowledgements.items()))

    def mark_proposed(self, now: float, index: int) -> None:
        """Records that what `acknowledgements_due` returned is in the log at an index, not committed yet."""
        self.last_proposal_ms = now
        self.proposed_index = index
        self.proposed_acknowledgements = self.unproposed_acknowledgements
        self.unproposed_acknowledgements = {}

    def mark_applied(self, index: int) -> list[Renewal]:
        """Records that the state machine has applied an index. Returns the renewals to be answered now."""
        if not self.proposed_acknowledgements or index < self.proposed_index:
            return []
        self.proposed_acknowledgements = {}
        return self._pop_answerable()

    def _pop_answerable(self) -> list[Renewal]:
        answerable = [
            renewal
            for renewal in self.awaiting_commit.values()
            if renewal.gateway not in self.unproposed_acknowledgements
            and renewal.gateway not in self.proposed_acknowledgements
        ]
        for renewal in answerable:
            del self.awaiting_commit[renewal.connection]
        return answerable

    # ---- watch events

    def notification_due(self, now: float, versions: CurrentVersions) -> bool:
        """Returns whether to notify gateways now. Reservations are no reason, since every renewal brings them."""
        return self.notified_versions != versions and now - self.last_notification_ms >= self.tick_ms

    def mark_notified(self, now: float, versions: CurrentVersions) -> None:
        """Records that gateways are being notified of these versions."""
        self.notified_versions = versions
        self.last_notification_ms = now
