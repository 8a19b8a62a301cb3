"""Reads the platform's settings object, which the simulator and a gateway's configuration file share.

The object's names and units are the platform's; `read_settings` maps them to the names and units of the code.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from pebblehinge.interface import DeduplicationScope, EndpointState, Idempotency, QuotaPlan, RequestClass, Settings

T = TypeVar("T")

MS_PER_S = 1000.0
IDEMPOTENCY_BY_EFFECT = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
ENDPOINT_STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.GONE}


class PlatformSettingsError(Exception):
    """The settings object is invalid; the text names the place and what was expected."""


class SettingsReader:
    """Reads values from one object of the settings; errors name a value by its place.

    Args:
        raw: The decoded object.
        place: Its place within the document, empty for the document itself.
        document: What errors call the document.

    Raises:
        PlatformSettingsError: `raw` is no object. The methods raise it for a value that is missing or of another type.
    """

    def __init__(self, raw: Any, place: str, document: str = "settings") -> None:
        if not isinstance(raw, dict):
            raise PlatformSettingsError(f"{document}: {place or 'the whole'} is no object: expected named values")
        self.raw: dict[str, Any] = raw
        self.place = place
        self.document = document

    def get(self, key: str, kind: type[T], default: T | None = None, scale: float = 1.0) -> T:
        """Returns the value of a key.

        Args:
            key: Its name in this object.
            kind: The type that it must have.
            default: Returned without scaling if the key is missing; None if the key is required.
            scale: Factor by which a float is multiplied.
        """
        place = self._place_of(key)
        if key not in self.raw:
            if default is not None:
                return default
            raise PlatformSettingsError(f"{self.document}: {place} is missing: expected {kind.__name__}")
        try:
            value: Any = msgspec.convert(self.raw[key], kind)
        except msgspec.ValidationError as error:
            raise PlatformSettingsError(f"{self.document}: {place}: {error}") from None
        converted: T = value * scale if kind is float else value
        return converted

    def choice(self, key: str, choices: dict[str, T], default: str | None = None) -> T:
        """Returns what `choices` has for the word under a key, or for the default if the key is missing."""
        value = self.get(key, str, default)
        if value not in choices:
            expected = ", ".join(choices)
            raise PlatformSettingsError(f"{self.document}: {self.place}.{key} is {value!r}: expected one of {expected}")
        return choices[value]

    def child(self, key: str) -> SettingsReader:
        """Returns a reader for the object under a key."""
        return SettingsReader(self.get(key, dict), self._place_of(key), self.document)

    def rows(self, key: str) -> list[SettingsReader]:
        """Returns readers for the objects in the list under a key."""
        rows = self.get(key, list)
        return [SettingsReader(row, f"{key}[{i}]", self.document) for i, row in enumerate(rows)]

    def _place_of(self, key: str) -> str:
        return f"{self.place}.{key}" if self.place else key


def _read_request_class(row: SettingsReader) -> RequestClass:
    return RequestClass(
        name=row.get("name", str),
        priority_weight=row.get("points", float),
        latency_objective_ms=row.get("on_time_s", float, scale=MS_PER_S),
        max_wait_ms=row.get("give_up_s", float, scale=MS_PER_S),
        late_value_share=row.get("late_worth", float, 0.0),
        idempotency=row.choice("effect", IDEMPOTENCY_BY_EFFECT),
        deduplication_scope=row.choice("group", DEDUPLICATION_SCOPES, "all"),
        deduplication_window_ms=row.get("repeat_window_s", float, 0.0, scale=MS_PER_S),
        in_order=row.get("sequential", bool, False),
    )


def _read_quota_plan(row: SettingsReader) -> QuotaPlan:
    return QuotaPlan(
        name=row.get("name", str),
        rate=row.get("base_rate", float),
        reserved_rate=row.get("reserve", float, 0.0),
        limit_rate=row.get("ceiling_rate", float, 0.0),
        limit_burst=row.get("limit_burst", float, 0.0),
        limit_slack=row.get("cap_slack", float, 0.0),
        share_weight=row.get("proportion", float, 1.0),
        value_factor=row.get("worth_factor", float, 1.0),
    )


def read_settings(raw: Any) -> Settings:
    """Reads the scheduler's settings.

    Args:
        raw: The platform's object, as decoded.

    Raises:
        PlatformSettingsError: A value is missing or invalid.
    """
    root = SettingsReader(raw, "")
    ceilings = root.child("ceilings")
    rules = root.child("rules")
    family_info = root.child("family_info")
    client_habits = SettingsReader(root.get("client_habits", dict, {}), "client_habits")
    has_budget = "repeat_ratio" in rules.raw or "min_extra" in rules.raw
    request_classes = tuple(_read_request_class(row) for row in root.rows("classes"))
    quota_plans = tuple(_read_quota_plan(row) for row in root.rows("service_levels"))
    return Settings(
        request_classes=request_classes,
        quota_plans=quota_plans,
        mean_units=family_info.get("mean_units", float),
        max_units=family_info.get("most_units", float),
        share_value=family_info.get("within_share", float),
        excess_value=family_info.get("idle_worth", float),
        must_request_watch=root.choice("membership_mode", {"push": False, "ask": True}),
        clients_mark_retries=client_habits.get("marks_retry", bool, False),
        cancellation_allowed=ceilings.get("cancel", bool),
        max_retry_after_ms=ceilings.get("max_retry_after_s", float, 0.0, scale=MS_PER_S)
        * ceilings.get("retry_after", bool),
        max_attempts=ceilings.get("try_limit", int),
        clock_resolution_ms=root.get("step_s", float, scale=MS_PER_S),
        slow_start_initial_share=rules.get("cold_share", float),
        slow_start_duration_ms=rules.get("warm_after_s", float, scale=MS_PER_S),
        slow_start_failure_multiple=rules.get("fall_multiple", float),
        order_settle_ms=rules.get("order_settle_s", float, 0.0, scale=MS_PER_S),
        retry_budget_share=rules.get("repeat_ratio", float) if has_budget else None,
        retry_budget_min_retries=rules.get("min_extra", float) if has_budget else 0.0,
        retry_budget_window_ms=rules.get("look_back_s", float, scale=MS_PER_S) if has_budget else 0.0,
    )
