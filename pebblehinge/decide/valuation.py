"""The value of requests by the quota of their volume, and what is left of each volume's rate limit."""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.decide.node_health import MIN_FLEET_SAMPLE_WEIGHT
from pebblehinge.decide.request import EPSILON, MAX_CACHE_ENTRIES, Request
from pebblehinge.scheduler_state import SettingsView, TokenBuckets

# Rate of a volume's share beyond its reserved rate, by weight, as a multiple of the plans' usual rates.
SHARE_RATE_MULTIPLE = 3.0
MAIN_GATEWAY_PARTS = 3.0  # how many of `set_size` equal parts of a volume's rates its main gateway gets


class Valuation:
    """Sets the value of requests, and keeps the token buckets of each volume.

    Args:
        settings: The settings in force.
        now: Current time in milliseconds.

    Attributes:
        limits_known_since_ms: Time since when the limit of a volume without buckets has filled for certain.
        buckets: Token buckets by volume, the least recently used first.
        max_volumes: How many volumes may have buckets.
        mean_value_per_unit: Moving average over requests.
    """

    def __init__(self, settings: SettingsView, now: float) -> None:
        self.settings = settings
        self.limits_known_since_ms = now
        self.buckets: OrderedDict[str, TokenBuckets] = OrderedDict()
        self.max_volumes = MAX_CACHE_ENTRIES
        self.mean_value_per_unit = 0.0

    def refill(self, request: Request, now: float) -> TokenBuckets:
        """Returns the token buckets of a request's volume, filled up to now (ms).

        The limit's bucket of a new volume counts as empty at the start of the gateway, not of the volume: a restarted
        gateway can't know what it spent, and relies only on what has filled since. It can't know either what a volume
        spent whose buckets were dropped, so the bucket counts as empty at the last use of the volume dropped last, and
        when the quota plans last changed.
        """
        plan = request.quota_plan
        set_size = request.set_size
        settings = self.settings.current
        buckets = self.buckets.pop(request.volume, None)
        if buckets is None:
            buckets = TokenBuckets(0.0, self.limits_known_since_ms, settings.max_units)
            if len(self.buckets) >= self.max_volumes:
                _, dropped = self.buckets.popitem(last=False)
                self.limits_known_since_ms = max(self.limits_known_since_ms, dropped.filled_until_ms)
        self.buckets[request.volume] = buckets
        elapsed_s = (now - buckets.filled_until_ms) / 1000.0
        buckets.filled_until_ms = now
        max_tokens = (plan.limit_burst + plan.limit_slack) / set_size
        buckets.limit_tokens = min(max_tokens, buckets.limit_tokens + elapsed_s * plan.limit_rate / set_size)
        # No gateway knows what the others receive, and any may be the main gateway of the volume for a while.
        gateway_share = min(1.0, MAIN_GATEWAY_PARTS / set_size)
        max_tokens = gateway_share * plan.reserved_rate + settings.max_units
        buckets.reserve_tokens = min(
            max_tokens, buckets.reserve_tokens + elapsed_s * gateway_share * plan.reserved_rate
        )
        rate = (
            SHARE_RATE_MULTIPLE
            * (self.settings.total_rate / max(EPSILON, self.settings.total_share_weight))
            * plan.share_weight
            * gateway_share
        )
        buckets.share_tokens = min(rate + settings.max_units, buckets.share_tokens + elapsed_s * rate)
        return buckets

    def set_value(self, request: Request, now: float) -> None:
        """Sets a request's value per unit: full within the reserved rate, then by the share, then by the excess."""
        buckets = self.refill(request, now)
        settings = self.settings.current
        units = request.units
        plan = request.quota_plan
        reserved_units = min(units, max(0.0, buckets.reserve_tokens)) if plan.reserved_rate else 0.0
        share_units = min(units - reserved_units, max(0.0, buckets.share_tokens))
        buckets.reserve_tokens -= reserved_units
        buckets.share_tokens -= share_units
        request.charged_units = (reserved_units, share_units)
        value = (
            reserved_units
            + settings.share_value * share_units
            + settings.excess_value * (units - reserved_units - share_units)
        )
        request.value_per_unit = request.request_class.priority_weight * plan.value_factor * value / max(units, EPSILON)
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / request.seq)
        self.mean_value_per_unit += step * (request.value_per_unit - self.mean_value_per_unit)

    def refund(self, request: Request) -> None:
        """Gives the tokens of a request that was given up before it was sent back to its volume."""
        buckets = self.buckets.get(request.volume)
        if buckets is not None and not request.attempt_count:
            reserved_units, share_units = request.charged_units
            buckets.reserve_tokens += reserved_units
            buckets.share_tokens += share_units

    def before_settings_change(self, now: float, quota_plans_changed: bool) -> None:
        """Marks all buckets as filled up to now, so that the rates of new settings do not apply to the past."""
        self.limits_known_since_ms = now if quota_plans_changed else self.limits_known_since_ms
        for buckets in self.buckets.values():
            buckets.filled_until_ms = now
