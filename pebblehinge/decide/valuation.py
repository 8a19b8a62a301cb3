"""What a request earns, by what its volume is due, and what its volume's limit has left."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.decide.node_health import FOLLOW
from pebblehinge.decide.request import FLOOR, REMEMBERED, Request
from pebblehinge.scheduler_state import SettingsView, TokenBuckets

SHARE_RATES = 3.0  # a volume's share beyond its reserve, by weight, as a multiple of the plans' usual rates
LEAD = 3.0  # what a volume's lead head gets of it, in even parts


class Valuation:
    """Prices requests; keeps each volume's stores."""

    def __init__(self, given: SettingsView, now: float) -> None:
        self.given = given
        self.known_ms = now  # since when the limit of a volume that is not in stores has surely filled
        self.stores: OrderedDict[str, TokenBuckets] = OrderedDict()
        self.mean_value_per_unit = 0.0  # what a unit of a request earns in the mean

    def store(self, a: Request, now: float) -> TokenBuckets:
        """The volume's stores, filled up to now. The limit's store starts empty with the head and not with
        the volume: a restarted head cannot know what it spent, so it counts on what has surely filled; nor of
        a volume that was forgotten, before the last that was; nor of a plan, before it was adopted."""
        quota_plan, n, cfg = a.quota_plan, a.set_size, self.given.cfg
        st = self.stores.pop(a.volume, None)
        if st is None:
            st = TokenBuckets(0.0, self.known_ms, cfg.most_units)
            if len(self.stores) > REMEMBERED and now - next(iter(self.stores.values())).at_ms > 60000.0:
                self.known_ms = max(self.known_ms, self.stores.popitem(last=False)[1].at_ms)
        self.stores[a.volume] = st
        passed = (now - st.at_ms) / 1000.0
        st.at_ms = now
        st.limit = min(
            (quota_plan.limit_burst + quota_plan.limit_slack) / n, st.limit + passed * quota_plan.limit_rate / n
        )
        # None knows what comes through the others, and any may be the volume's lead for a while.
        part = min(1.0, LEAD / n)
        st.reserve = min(part * quota_plan.reserve + cfg.most_units, st.reserve + passed * part * quota_plan.reserve)
        rate = SHARE_RATES * (self.given.rates / max(FLOOR, self.given.weights)) * quota_plan.weight * part
        st.share = min(rate + cfg.most_units, st.share + passed * rate)
        return st

    def price(self, a: Request, now: float) -> None:
        """What a unit of the request earns: inside the reserve in full, then the share, then the rest."""
        st, cfg = self.store(a, now), self.given.cfg
        full = min(a.units, max(0.0, st.reserve)) if a.quota_plan.reserve else 0.0
        part = min(a.units - full, max(0.0, st.share))
        st.reserve -= full
        st.share -= part
        a.taken = (full, part)
        value = full + cfg.share_value * part + cfg.excess_value * (a.units - full - part)
        a.value_per_unit = a.request_class.priority_weight * a.quota_plan.value_factor * value / max(a.units, FLOOR)
        self.mean_value_per_unit += max(FOLLOW, 1 / a.seq) * (a.value_per_unit - self.mean_value_per_unit)

    def give_back(self, a: Request) -> None:
        """What a given up request would have earned is still due to others of its volume."""
        st = self.stores.get(a.volume)
        if st is not None and not a.sent:
            st.reserve += a.taken[0]
            st.share += a.taken[1]

    def adopt(self, now: float, quota_plans_changed: bool) -> None:
        """What a limit's store filled since its last look is not counted: that rate was not yet in force."""
        self.known_ms = now if quota_plans_changed else self.known_ms
        for st in self.stores.values():
            st.at_ms = now
