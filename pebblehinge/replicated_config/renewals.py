"""What a leader owes gateways that renew: when to ask the majority, what to propose, whom to answer, whom to notify.

No I/O, no clock, no randomness: renewals and times are handed in. However many gateways there are,

- at most one read round is out for them, and none begins sooner than a tick after the one before: it serves all
  renewals that came before it began, and none that came later;
- at most one command is in flight with what they acknowledge, proposed once a tick (group commit);
- a renewal is answered once its round is over *and* what it acknowledges is in the log: nobody has to poll for that;
- gateways are notified once a tick at most, and only of a version that they must act on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

MAX_PENDING_RENEWALS = 4096  # some 500 bytes each; a connection has one, or one for each stage of it
NEVER = float("-inf")


@dataclass(slots=True, frozen=True)
class Renewal:
    """One gateway asks for its lease. `connection` hears the answer, `known` is the newest text that it holds."""

    connection: Any  # any hashable: only its identity counts here
    token: int
    gateway: str
    acknowledged: int
    known: int


class VersionsInForce(NamedTuple):
    """The active and the pending version; 0 for none."""

    active: int
    pending: int


class Renewals:
    """Renewals of one term of one leader, by stage. Times are in milliseconds.

    Of a connection the newest renewal counts: an older one that waits beside it is dropped, and its gateway has the
    newer answer.
    """

    def __init__(self, tick_ms: float) -> None:
        """Rounds, commands and notifications are a tick apart at least."""
        self.tick_ms = tick_ms
        self.waiting: dict[Any, Renewal] = {}  # for a round to begin
        self.in_round: dict[Any, Renewal] = {}  # served by the round that is out
        self.confirmed: dict[Any, Renewal] = {}  # the round is over, their acknowledgements are not in the log yet
        self.round = 0  # counts rounds
        self.round_out = False
        self.round_ms = NEVER
        self.proposed_ms = NEVER
        self.notified_ms = NEVER
        self.unproposed: dict[str, int] = {}  # gateway -> version that it acknowledges
        self.in_flight: dict[str, int] = {}  # the same, proposed
        self.in_flight_index = 0  # of the entry that holds them
        self.notified: VersionsInForce | None = None  # as gateways were notified last

    def add(self, renewal: Renewal, is_new: bool) -> bool:
        """A renewal has come; `is_new`: the group does not hold its acknowledgement yet. False if too many wait."""
        pending = len(self.waiting) + len(self.in_round) + len(self.confirmed)
        if pending >= MAX_PENDING_RENEWALS and renewal.connection not in self.waiting:
            return False
        self.waiting[renewal.connection] = renewal
        if is_new and self.in_flight.get(renewal.gateway) != renewal.acknowledged:
            self.unproposed[renewal.gateway] = renewal.acknowledged
        return True

    def pending_renewals(self) -> list[Renewal]:
        """All that were not answered yet."""
        return [*self.confirmed.values(), *self.in_round.values(), *self.waiting.values()]

    # ---- rounds

    def round_due(self, now: float) -> bool:
        """Whether a round may begin, and any renewal waits for it."""
        return bool(self.waiting) and not self.round_out and now - self.round_ms >= self.tick_ms

    def begin_round(self, now: float) -> int:
        """A round begins now, for all that wait. Returns its number, for `end_round`."""
        self.round += 1
        self.round_out = True
        self.round_ms = now
        self.in_round = self.waiting
        self.waiting = {}
        return self.round

    def end_round(self, number: int) -> list[Renewal]:
        """The majority has answered. Returns the renewals to be answered now."""
        if not self.round_out or number != self.round:
            return []
        self.round_out = False
        self.confirmed |= self.in_round
        self.in_round = {}
        return self._take_settled()

    # ---- acknowledgements

    def acknowledgements_due(self, now: float) -> dict[str, int]:
        """What is to be proposed now, in one command; nothing if none came, or one is in flight."""
        if self.in_flight or not self.unproposed or now - self.proposed_ms < self.tick_ms:
            return {}
        return dict(sorted(self.unproposed.items()))

    def mark_proposed(self, now: float, index: int) -> None:
        """What `acknowledgements_due` returned stands in the log at an index, not committed yet."""
        self.proposed_ms = now
        self.in_flight_index = index
        self.in_flight = self.unproposed
        self.unproposed = {}

    def mark_applied(self, index: int) -> list[Renewal]:
        """The state machine has applied all up to an index. Returns the renewals to be answered now."""
        if not self.in_flight or index < self.in_flight_index:
            return []
        self.in_flight = {}
        return self._take_settled()

    def _take_settled(self) -> list[Renewal]:
        settled = [
            renewal
            for renewal in self.confirmed.values()
            if renewal.gateway not in self.unproposed and renewal.gateway not in self.in_flight
        ]
        for renewal in settled:
            del self.confirmed[renewal.connection]
        return settled

    # ---- watch events

    def notification_due(self, now: float, versions: VersionsInForce) -> bool:
        """Whether gateways are to be notified now. What is reserved is no event: every renewal brings it."""
        return self.notified != versions and now - self.notified_ms >= self.tick_ms

    def mark_notified(self, now: float, versions: VersionsInForce) -> None:
        """Gateways are being notified of these versions."""
        self.notified = versions
        self.notified_ms = now
