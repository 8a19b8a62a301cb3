"""Blocks that the scheduling goes by: profiles, plans, volumes, and the figures of the rules."""

from __future__ import annotations

from typing import Literal

from msgspec import field

from pebblehinge.settings.units import Block, Count, Factor, Fraction, Ms, Name, NonNegativeInt, Rate, Units


class ProfileBlock(Block):
    """profile NAME { ... }: a kind of access."""

    importance: Units
    expected: Ms
    patience: Ms
    repeat: Literal["redoable", "labelled", "irreversible"]
    late_share: Fraction = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Ms = 0.0
    in_order: bool = False


class PlanBlock(Block):
    """plan NAME { ... }: what a volume is due, over all heads."""

    rate: Rate
    reserve: Rate = 0.0
    limit: Rate = 0.0  # 0: none
    burst: Units = 0.0  # units that may go at once, where there is a limit
    slack: Units = 0.0
    weight: Units = 1.0
    worth: Factor = 1.0


class VolumeBlock(Block):
    """volume NAME { ... }, or volumes PREFIX COUNT { ... } for many alike."""

    plan: Name
    heads: Count = 1  # through how many heads its accesses come
    slots: list[NonNegativeInt] = field(default_factory=list)  # where its data lies; none: the load tool draws
    through: list[Name] = field(default_factory=list)  # the heads by name; none: the load tool draws
    spread: Count = 2  # how many slots the load tool draws
    save: Literal["through", "buffered"] = "through"  # a write is confirmed at the shelf, or in the head's journal
    back: Name | None = None  # the profile that buffered writes go to their shelfs by


class RulesBlock(Block):
    """rules { ... }: the figures of the seven rules and of what the fleet allows."""

    drain_grace: Ms = 500.0
    answer_grace: Ms = 100.0
    cold_share: Fraction = 0.3
    warm: Ms = 10_000.0
    fall_multiple: Factor = 2.0
    fall_window: Ms = 1_000.0
    order_settle: Ms = 0.0
    budget_share: Fraction | None = None  # none: no budget is stated
    budget_free: Units = 0.0
    budget_window: Ms = 5_000.0
    try_limit: Count = 3
    stay_away_max: Ms = 500.0
    recall: bool = True
    marks_repeats: bool = True
    mean_units: Units = 2.0
    most_units: Units = 6.0
    share_worth: Fraction = 0.35
    spare_worth: Fraction = 0.05
