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
NEVER_MS = float("-inf")


@dataclass(slots=True, frozen=True)
class Renewal:
    """One gateway asks for its lease. `connection` hears the answer, `known` is the newest text that it holds."""

    connection: Any  # any hashable: only its identity counts here
    token: int
    gateway: str
    acknowledged_version: int
    known_version: int


class CurrentVersions(NamedTuple):
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
        self.awaiting_round: dict[Any, Renewal] = {}  # for a round to begin
        self.in_round: dict[Any, Renewal] = {}  # served by the round that is out
        self.awaiting_commit: dict[
            Any, Renewal
        ] = {}  # the round is over, their acknowledgements are not in the log yet
        self.round_number = 0  # counts rounds
        self.round_in_flight = False
        self.last_round_ms = NEVER_MS
        self.last_proposal_ms = NEVER_MS
        self.last_notification_ms = NEVER_MS
        self.unproposed_acknowledgements: dict[str, int] = {}  # gateway -> version that it acknowledges
        self.proposed_acknowledgements: dict[str, int] = {}  # the same, proposed
        self.proposed_index = 0  # of the entry that holds them
        self.notified_versions: CurrentVersions | None = None  # as gateways were notified last

    def add(self, renewal: Renewal, is_new: bool) -> bool:
        """A renewal has come; `is_new`: the group does not hold its acknowledgement yet. False if too many wait."""
        pending = len(self.awaiting_round) + len(self.in_round) + len(self.awaiting_commit)
        if pending >= MAX_PENDING_RENEWALS and renewal.connection not in self.awaiting_round:
            return False
        self.awaiting_round[renewal.connection] = renewal
        if is_new and self.proposed_acknowledgements.get(renewal.gateway) != renewal.acknowledged_version:
            self.unproposed_acknowledgements[renewal.gateway] = renewal.acknowledged_version
        return True

    def pending_renewals(self) -> list[Renewal]:
        """All that were not answered yet."""
        return [*self.awaiting_commit.values(), *self.in_round.values(), *self.awaiting_round.values()]

    # ---- rounds

    def round_due(self, now: float) -> bool:
        """Whether a round may begin, and any renewal waits for it."""
        return bool(self.awaiting_round) and not self.round_in_flight and now - self.last_round_ms >= self.tick_ms

    def begin_round(self, now: float) -> int:
        """A round begins now, for all that wait. Returns its number, for `end_round`."""
        self.round_number += 1
        self.round_in_flight = True
        self.last_round_ms = now
        self.in_round = self.awaiting_round
        self.awaiting_round = {}
        return self.round_number

    def end_round(self, number: int) -> list[Renewal]:
        """The majority has answered. Returns the renewals to be answered now."""
        if not self.round_in_flight or number != self.round_number:
            return []
        self.round_in_flight = False
        self.awaiting_commit |= self.in_round
        self.in_round = {}
        return self._pop_answerable()

    # ---- acknowledgements

    def acknowledgements_due(self, now: float) -> dict[str, int]:
        """What is to be proposed now, in one command; nothing if none came, or one is in flight."""
        if (
            self.proposed_acknowledgements
            or not self.unproposed_acknowledgements
            or now - self.last_proposal_ms < self.tick_ms
        ):
            return {}
        return dict(sorted(self.unproposed_acknowledgements.items()))

    def mark_proposed(self, now: float, index: int) -> None:
        """What `acknowledgements_due` returned stands in the log at an index, not committed yet."""
        self.last_proposal_ms = now
        self.proposed_index = index
        self.proposed_acknowledgements = self.unproposed_acknowledgements
        self.unproposed_acknowledgements = {}

    def mark_applied(self, index: int) -> list[Renewal]:
        """The state machine has applied all up to an index. Returns the renewals to be answered now."""
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
        """Whether gateways are to be notified now. What is reserved is no event: every renewal brings it."""
        return self.notified_versions != versions and now - self.last_notification_ms >= self.tick_ms

    def mark_notified(self, now: float, versions: CurrentVersions) -> None:
        """Gateways are being notified of these versions."""
        self.notified_versions = versions
        self.last_notification_ms = now
