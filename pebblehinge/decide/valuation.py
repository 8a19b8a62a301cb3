"""What a request is worth, by what its volume is due, and what its volume's limit has left."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.decide.node_health import MIN_FLEET_SAMPLE_WEIGHT
from pebblehinge.decide.request import EPSILON, MAX_CACHE_ENTRIES, Request
from pebblehinge.scheduler_state import SettingsView, TokenBuckets

SHARE_RATE_MULTIPLE = 3.0  # a volume's share beyond its reserve, by weight, as a multiple of the plans' usual rates
MAIN_GATEWAY_PARTS = 3.0  # what a volume's main gateway gets of it, in even parts
MIN_IDLE_BEFORE_EVICTION_MS = 60_000.0  # a volume that has been at rest for so long may be forgotten


class Valuation:
    """Values requests; keeps each volume's token buckets.

    Args:
        settings: the settings in force.
        now: clock, ms.
    """

    def __init__(self, settings: SettingsView, now: float) -> None:
        self.settings = settings
        self.limits_known_since_ms = now  # since when the limit of a volume that is not in buckets has surely filled
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
            buckets = TokenBuckets(0.0, self.limits_known_since_ms, settings.max_units)
            if (
                len(self.buckets) > MAX_CACHE_ENTRIES
                and now - next(iter(self.buckets.values())).filled_until_ms > MIN_IDLE_BEFORE_EVICTION_MS
            ):
                self.limits_known_since_ms = max(
                    self.limits_known_since_ms, self.buckets.popitem(last=False)[1].filled_until_ms
                )
        self.buckets[request.volume] = buckets
        passed_s = (now - buckets.filled_until_ms) / 1000.0
        buckets.filled_until_ms = now
        most = (plan.limit_burst + plan.limit_slack) / set_size
        buckets.limit_tokens = min(most, buckets.limit_tokens + passed_s * plan.limit_rate / set_size)
        # No gateway knows what comes through the others, and any may be the volume's main one for a while.
        part = min(1.0, MAIN_GATEWAY_PARTS / set_size)
        most = part * plan.reserved_rate + settings.max_units
        buckets.reserve_tokens = min(most, buckets.reserve_tokens + passed_s * part * plan.reserved_rate)
        rate = (
            SHARE_RATE_MULTIPLE
            * (self.settings.total_rate / max(EPSILON, self.settings.total_share_weight))
            * plan.share_weight
            * part
        )
        buckets.share_tokens = min(rate + settings.max_units, buckets.share_tokens + passed_s * rate)
        return buckets

    def set_value(self, request: Request, now: float) -> None:
        """Sets what a unit of a request is worth: inside the reserve in full, then by the share, then the rest."""
        buckets = self.refill(request, now)
        settings = self.settings.current
        units = request.units
        plan = request.quota_plan
        full = min(units, max(0.0, buckets.reserve_tokens)) if plan.reserved_rate else 0.0
        part = min(units - full, max(0.0, buckets.share_tokens))
        buckets.reserve_tokens -= full
        buckets.share_tokens -= part
        request.charged_units = (full, part)
        value = full + settings.share_value * part + settings.excess_value * (units - full - part)
        request.value_per_unit = request.request_class.priority_weight * plan.value_factor * value / max(units, EPSILON)
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / request.seq)
        self.mean_value_per_unit += step * (request.value_per_unit - self.mean_value_per_unit)

    def refund(self, request: Request) -> None:
        """Returns the tokens of a request that was given up unsent, to others of its volume."""
        buckets = self.buckets.get(request.volume)
        if buckets is not None and not request.attempt_count:
            full, part = request.charged_units
            buckets.reserve_tokens += full
            buckets.share_tokens += part

    def before_settings_change(self, now: float, quota_plans_changed: bool) -> None:
        """New settings are about to be in force: what filled since the last look is not counted by their rates."""
        self.limits_known_since_ms = now if quota_plans_changed else self.limits_known_since_ms
        for buckets in self.buckets.values():
            buckets.filled_until_ms = now
