"""The settings as the platform states them: one object, the same for an instance of the simulator and a real head.

Names and units of the object are the platform's; what comes out has ours. No decisions are taken here.
"""

from __future__ import annotations

from typing import Any

import msgspec

from pebblehinge.interface import DeduplicationScope, Idempotency, Plan, Profile, Settings, Standing

IDEMPOTENCY_BY_EFFECT = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
STANDINGS = {"Ready": Standing.READY, "Terminating": Standing.DRAINING, "Gone": Standing.GONE}


class StatedError(Exception):
    """Something in the object is not as it should be; the text names the place and what was expected."""


class Reader:
    """Takes values out of such an object; a missing key or a wrong kind is named by its place."""

    def __init__(self, raw: Any, place: str, whole: str = "settings") -> None:
        self.raw, self.place, self.whole = raw, place, whole
        if not isinstance(raw, dict):
            raise StatedError(f"{whole}: {place or 'the whole'} is no object: expected named values")

    def get(self, key: str, kind: type, default: Any = None, scale: float = 1.0) -> Any:
        where = f"{self.place}.{key}" if self.place else key
        if key not in self.raw:
            if default is not None:
                return default
            raise StatedError(f"{self.whole}: {where} is missing: expected {kind.__name__}")
        try:
            value = msgspec.convert(self.raw[key], kind)
        except msgspec.ValidationError as error:
            raise StatedError(f"{self.whole}: {where}: {error}") from None
        return value * scale if kind is float else value

    def word(self, key: str, words: dict[str, Any], default: str | None = None) -> Any:
        value = self.get(key, str, default)
        if value not in words:
            raise StatedError(f"{self.whole}: {self.place}.{key} is {value!r}: expected one of {', '.join(words)}")
        return words[value]

    def sub(self, key: str) -> Reader:
        return Reader(self.get(key, dict), f"{self.place}.{key}" if self.place else key, self.whole)

    def rows(self, key: str) -> list[Reader]:
        rows = self.get(key, list)
        return [Reader(row, f"{key}[{i}]", self.whole) for i, row in enumerate(rows)]


def read_settings(raw: Any) -> Settings:
    """The module's settings, from the object as it was decoded."""
    env = Reader(raw, "")
    caps, rules, info = env.sub("ceilings"), env.sub("rules"), env.sub("family_info")
    habits = Reader(env.get("client_habits", dict, {}), "client_habits")
    ms = 1000.0
    budget = "repeat_ratio" in rules.raw or "min_extra" in rules.raw
    profiles = tuple(
        Profile(
            name=row.get("name", str),
            importance=row.get("points", float),
            expected_ms=row.get("on_time_s", float, scale=ms),
            patience_ms=row.get("give_up_s", float, scale=ms),
            late_share=row.get("late_worth", float, 0.0),
            repeat=row.word("effect", IDEMPOTENCY_BY_EFFECT),
            group=row.word("group", DEDUPLICATION_SCOPES, "all"),
            window_ms=row.get("repeat_window_s", float, 0.0, scale=ms),
            in_order=row.get("sequential", bool, False),
        )
        for row in env.rows("classes")
    )
    plans = tuple(
        Plan(
            name=row.get("name", str),
            rate=row.get("base_rate", float),
            reserve=row.get("reserve", float, 0.0),
            limit_rate=row.get("ceiling_rate", float, 0.0),
            limit_burst=row.get("limit_burst", float, 0.0),
            limit_slack=row.get("cap_slack", float, 0.0),
            weight=row.get("proportion", float, 1.0),
            worth_factor=row.get("worth_factor", float, 1.0),
        )
        for row in env.rows("service_levels")
    )
    return Settings(
        profiles=profiles,
        plans=plans,
        mean_units=info.get("mean_units", float),
        most_units=info.get("most_units", float),
        share_worth=info.get("within_share", float),
        idle_worth=info.get("idle_worth", float),
        asks_for_list=env.word("membership_mode", {"push": False, "ask": True}),
        marks_repeats=habits.get("marks_retry", bool, False),
        may_cancel=caps.get("cancel", bool),
        stay_away_max_ms=caps.get("max_retry_after_s", float, 0.0, scale=ms) * caps.get("retry_after", bool),
        try_limit=caps.get("try_limit", int),
        step_ms=env.get("step_s", float, scale=ms),
        cold_share=rules.get("cold_share", float),
        warm_ms=rules.get("warm_after_s", float, scale=ms),
        fall_multiple=rules.get("fall_multiple", float),
        order_settle_ms=rules.get("order_settle_s", float, 0.0, scale=ms),
        budget_share=rules.get("repeat_ratio", float) if budget else None,
        budget_free=rules.get("min_extra", float) if budget else 0.0,
        budget_window_ms=rules.get("look_back_s", float, scale=ms) if budget else 0.0,
    )
