"""What a request is worth, by what its volume is due, and what its volume's limit has left."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.decide.node_health import FOLLOW
from pebblehinge.decide.request import FLOOR, REMEMBERED, Request
from pebblehinge.scheduler_state import SettingsView, TokenBuckets

SHARE_RATES = 3.0  # a volume's share beyond its reserve, by weight, as a multiple of the plans' usual rates
LEAD = 3.0  # what a volume's main gateway gets of it, in even parts
REST_MS = 60_000.0  # a volume that has been at rest for so long may be forgotten


class Valuation:
    """Values requests; keeps each volume's token buckets.

    Args:
        settings: the settings in force.
        now: clock, ms.
    """

    def __init__(self, settings: SettingsView, now: float) -> None:
        self.settings = settings
        self.known_ms = now  # since when the limit of a volume that is not in buckets has surely filled
        self.buckets: OrderedDict[str, TokenBuckets] = OrderedDict()  # by volume, the least recently used first
        self.mean_value_per_unit = 0.0  # moving average over requests

    def refill(self, request: Request, now: float) -> TokenBuckets:
        """Returns the token buckets of a request's volume, filled up to now (ms).

        The limit's bucket starts empty with the gateway and not with the volume: a restarted gateway can't know what
        it spent, so it counts on what has surely filled; nor can it of a volume that was forgotten, before the last
        that was; nor of a plan, before it was adopted.
        """
        plan = request.quota_plan
        set_size = request.set_size
        settings = self.settings.current
        buckets = self.buckets.pop(request.volume, None)
        if buckets is None:
            buckets = TokenBuckets(0.0, self.known_ms, settings.most_units)
            if len(self.buckets) > REMEMBERED and now - next(iter(self.buckets.values())).at_ms > REST_MS:
                self.known_ms = max(self.known_ms, self.buckets.popitem(last=False)[1].at_ms)
        self.buckets[request.volume] = buckets
        passed_s = (now - buckets.at_ms) / 1000.0
        buckets.at_ms = now
        most = (plan.limit_burst + plan.limit_slack) / set_size
        buckets.limit = min(most, buckets.limit + passed_s * plan.limit_rate / set_size)
        # No gateway knows what comes through the others, and any may be the volume's main one for a while.
        part = min(1.0, LEAD / set_size)
        most = part * plan.reserve + settings.most_units
        buckets.reserve = min(most, buckets.reserve + passed_s * part * plan.reserve)
        rate = SHARE_RATES * (self.settings.rates / max(FLOOR, self.settings.weights)) * plan.weight * part
        buckets.share = min(rate + settings.most_units, buckets.share + passed_s * rate)
        return buckets

    def price(self, request: Request, now: float) -> None:
        """Sets what a unit of a request is worth: inside the reserve in full, then by the share, then the rest."""
        buckets = self.refill(request, now)
        settings = self.settings.current
        units = request.units
        plan = request.quota_plan
        full = min(units, max(0.0, buckets.reserve)) if plan.reserve else 0.0
        part = min(units - full, max(0.0, buckets.share))
        buckets.reserve -= full
        buckets.share -= part
        request.charged = (full, part)
        value = full + settings.share_value * part + settings.excess_value * (units - full - part)
        request.value_per_unit = request.request_class.priority_weight * plan.value_factor * value / max(units, FLOOR)
        step = max(FOLLOW, 1 / request.seq)
        self.mean_value_per_unit += step * (request.value_per_unit - self.mean_value_per_unit)

    def give_back(self, request: Request) -> None:
        """Returns the tokens of a request that was given up unsent, to others of its volume."""
        buckets = self.buckets.get(request.volume)
        if buckets is not None and not request.sent:
            full, part = request.charged
            buckets.reserve += full
            buckets.share += part

    def adopt(self, now: float, quota_plans_changed: bool) -> None:
        """New settings are about to be in force: what filled since the last look is not counted by their rates."""
        self.known_ms = now if quota_plans_changed else self.known_ms
        for buckets in self.buckets.values():
            buckets.at_ms = now
