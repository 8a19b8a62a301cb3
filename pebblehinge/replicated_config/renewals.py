"""What a leader owes heads that renew: when to ask the majority, what to propose, whom to answer, whom to tell.

No I/O, no clock, no chance: renewals and times are handed in. However many heads there are,

- at most one read round is out for them, and none begins sooner than a tick after the one before: it serves all
  renewals that came before it began, and none that came later;
- at most one command is on its way with what they acknowledge, begun once a tick (group commit);
- a renewal is answered once its round is over *and* what it acknowledges is in the log: nobody has to poll for that;
- heads are told once a tick at most, and only of a version that they must act on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MOST_RENEWALS = 4096  # that wait at once, some 500 bytes each; a connection has one, or one for each state of it
NEVER = float("-inf")


@dataclass(slots=True, frozen=True)
class Renewal:
    """One head asks for its lease. `conn` is whoever hears the answer, `known` the newest text that it holds."""

    conn: Any
    token: int
    head: str
    acknowledges: int
    known: int


class Renewals:
    """One term of one leader. Of a connection the newest renewal counts: an older one that waits beside it is dropped,
    and its head has the newer answer."""

    def __init__(self, tick_ms: float) -> None:
        self.tick_ms = tick_ms
        self.waiting: dict[Any, Renewal] = {}  # for a round to begin
        self.asked: dict[Any, Renewal] = {}  # served by the round that is out
        self.shown: dict[Any, Renewal] = {}  # their round is over, what they acknowledge is not in the log yet
        self.round = 0  # counts rounds
        self.round_out = False
        self.round_ms = self.commit_ms = self.told_ms = NEVER
        self.gathered: dict[str, int] = {}  # head -> version that it acknowledges, to be proposed
        self.on_way: dict[str, int] = {}  # the same, proposed
        self.index = 0  # of the entry that holds them
        self.told: tuple[int, int] | None = None  # active and pending, as heads were told last

    # ---- in

    def came(self, renewal: Renewal, fresh: bool) -> bool:
        """A renewal; `fresh` where the group does not hold yet what it acknowledges. False: too much waits."""
        if len(self.waiting) + len(self.asked) + len(self.shown) >= MOST_RENEWALS and renewal.conn not in self.waiting:
            return False
        self.waiting[renewal.conn] = renewal
        if fresh and self.on_way.get(renewal.head) != renewal.acknowledges:
            self.gathered[renewal.head] = renewal.acknowledges
        return True

    # ---- rounds

    def round_due(self, now: float) -> bool:
        return bool(self.waiting) and not self.round_out and now - self.round_ms >= self.tick_ms

    def begin_round(self, now: float) -> int:
        """A round begins now, for all that wait; its number, for `round_over`."""
        self.round += 1
        self.round_out, self.round_ms = True, now
        self.asked, self.waiting = self.waiting, {}
        return self.round

    def round_over(self, number: int) -> list[Renewal]:
        """The majority has answered: who is to be answered now."""
        if not self.round_out or number != self.round:
            return []
        self.round_out = False
        self.shown |= self.asked
        self.asked = {}
        return self._settled()

    # ---- acknowledgements

    def commit_due(self, now: float) -> dict[str, int]:
        """What is to be proposed now, in one command; nothing where none came, or one is on its way."""
        if self.on_way or not self.gathered or now - self.commit_ms < self.tick_ms:
            return {}
        return dict(sorted(self.gathered.items()))

    def proposed(self, now: float, index: int) -> None:
        """What `commit_due` gave stands in the log at an index, not committed yet."""
        self.commit_ms, self.index = now, index
        self.on_way, self.gathered = self.gathered, {}

    def applied(self, index: int) -> list[Renewal]:
        """The state machine has applied all up to an index: who is to be answered now."""
        if not self.on_way or index < self.index:
            return []
        self.on_way = {}
        return self._settled()

    def _settled(self) -> list[Renewal]:
        done = [r for r in self.shown.values() if r.head not in self.gathered and r.head not in self.on_way]
        for renewal in done:
            del self.shown[renewal.conn]
        return done

    # ---- news

    def news_due(self, now: float, active: int, pending: int) -> bool:
        """Whether heads are to be told now. What is set aside is no news: every renewal brings it."""
        return self.told != (active, pending) and now - self.told_ms >= self.tick_ms

    def news_told(self, now: float, active: int, pending: int) -> None:
        self.told, self.told_ms = (active, pending), now
