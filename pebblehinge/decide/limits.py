"""What may go, and when: order by key, the volume's limit, the warmth of its shelf, repeats, the budget."""

from __future__ import annotations

import math
from collections import deque

from pebblehinge.decide.access import FLOOR, REMEMBERED, Access
from pebblehinge.decide.shelfs import Shelfs
from pebblehinge.decide.worth import Worth
from pebblehinge.interface import Idempotency, Outcome
from pebblehinge.kept import Lines, Notes

COLD_PART = 0.4  # of the multiple of what a cold shelf surely can do, let through while the usual is asked
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)


class Limits:
    """Rules 2 and 4 to 7 of one access's next attempt."""

    def __init__(self, shelfs: Shelfs, worth: Worth, notes: Notes, now: float) -> None:
        self.given, self.shelfs, self.worth, self.notes, self.born = shelfs.given, shelfs, worth, notes, now
        self.lines = Lines()  # order by key: accesses not over, or with an attempt out
        self.rest_ms: dict[str, float] = {}
        self.takes, self.retries = deque(), deque()  # attempt budget: when accesses and retries were
        self.queued = 0  # accesses held for a retry

    def may_go(self, a: Access, now: float) -> bool:
        s = a.shelf
        if not self.shelfs.ready[s] or (a.sent and not self.may_retry(a, now, 0)):
            return False
        if a.profile.in_order and a.extent is not None:  # rule 6
            if self.lines.first(a.extent) is not a:
                return False
            rest = self.rest_ms.get(a.extent, now)
            if rest > now and not a.sent:
                self.notes.wake(rest, s)
                return False
        at = self.earliest(a, now)
        if at > now:
            self.notes.wake(at, s)
        return at <= now

    def earliest(self, a: Access, now: float) -> float:
        """When an access may go, by its volume's limit and by the warmth of its shelf."""
        at, s, cfg, a.waits_for = now, a.shelf, self.given.cfg, "its plan's limit"
        if a.plan.limit_rate and not a.sent:  # rule 5: hold for units rather than pass the limit
            lack = a.units - self.worth.store(a, now).limit
            at = now if lack <= FLOOR else now + lack * a.set_size / a.plan.limit_rate * 1000.0 + 1.0
        since = self.shelfs.cold_ms[s]
        if since is None or now - since >= cfg.warm_ms:
            self.shelfs.cold_ms[s] = None
            return at
        # Rule 4: of what asks for a cold shelf, all heads let through the part that it surely can do by now,
        # far from the multiple; each draws turns by itself, and what earns more has more of them. Answers
        # tell the rest. Harm: a suspected restart that was none, and much more asked than usual.
        a.waits_for = a.waits_for if at > now else "the cold of its shelf"
        turn = a.turn * self.worth.usual / max(a.density, FLOOR) / max(FLOOR, COLD_PART * cfg.fall_multiple)
        warms = cfg.warm_ms / max(FLOOR, 1.0 - cfg.cold_share)
        return max(at, min(since + cfg.warm_ms, since + (turn - cfg.cold_share) * warms))

    def may_retry(self, a: Access, now: float, new: int, out: bool = False) -> bool:
        """Rules 2 and 7 for a retry: looked at when queued (new = 1) and when it leaves."""
        until = self.retry_until(a, a.sent_ms if out and a.risk_ms is None else a.risk_ms)
        return now <= until and self.spare_retries(now) >= 1 + new * self.queued

    def retry_until(self, a: Access, risk: float | None) -> float:
        """Until when an attempt may begin, by the first that may have run."""
        if risk is None or a.profile.repeat is Idempotency.IDEMPOTENT:
            return math.inf
        window = -math.inf if a.profile.repeat is Idempotency.NON_IDEMPOTENT else a.profile.window_ms
        return risk + window - 2 * self.given.cfg.step_ms

    def spare_retries(self, now: float) -> float:
        """Retries still allowed: those made count a little longer than stated, accesses shorter."""
        cfg = self.given.cfg
        while self.takes and self.takes[0] <= now - cfg.budget_window_ms + 2 * cfg.step_ms:
            self.takes.popleft()
        while self.retries and self.retries[0] < now - cfg.budget_window_ms - 2 * cfg.step_ms:
            self.retries.popleft()
        left = cfg.budget_free + (cfg.budget_share or 0.0) * len(self.takes) - len(self.retries)
        return math.inf if cfg.budget_share is None else left

    # ---- what has come, gone and ended

    def came(self, a: Access, now: float) -> None:
        self.takes.append(now)
        self.spare_retries(now)
        if a.profile.in_order and a.extent is not None:
            self.lines.join(a.extent, a)

    def sent(self, a: Access, now: float) -> None:
        if a.sent:
            self.retries.append(now)
            self.queued -= 1
        else:
            self.worth.store(a, now).limit -= a.units if a.plan.limit_rate else 0.0

    def ended(self, a: Access, now: float, outcome: Outcome) -> None:
        if a.profile.in_order and a.extent is not None and outcome in MAY_STILL_RUN:
            if len(self.rest_ms) > REMEMBERED:
                self.rest_ms = {k: until for k, until in self.rest_ms.items() if until > now}
            self.rest_ms[a.extent] = now + self.given.cfg.order_settle_ms

    def over(self, a: Access) -> None:
        """Nothing is owed any more, and no attempt out: the next of its line may go."""
        if a.profile.in_order and a.extent is not None and not a.out:
            following = self.lines.leave(a.extent, a)
            if following is not None and following.shelf >= 0:
                self.notes.wake(self.rest_ms.get(a.extent, self.born), following.shelf)
