"""Blocks with the scheduling policy: request classes, quota plans, volumes, and the parameters of the scheduler."""

from __future__ import annotations

from typing import Literal

from msgspec import field

from pebblehinge.settings.units import Block, Count, Factor, Fraction, Ms, Name, NonNegativeInt, Rate, Units


class ProfileBlock(Block):
    """`profile NAME { ... }`: a request class."""

    importance: Units  # value of one unit of a request
    expected: Ms  # latency objective
    patience: Ms  # how long a client waits for an answer
    repeat: Literal["redoable", "labelled", "irreversible"]  # may run twice: yes; with idempotency key; no
    late_share: Fraction = 0.0  # share of the value that an answer later than `expected` has
    group: Literal["all", "zone", "cell"] = "all"  # deduplication scope: the storage nodes that share idempotency keys
    window: Ms = 0.0  # how long an idempotency key is known
    in_order: bool = False  # whether requests for one extent run one at a time, in order of arrival


class PlanBlock(Block):
    """`plan NAME { ... }`: the quota of a volume, over all gateways together."""

    rate: Rate  # usual rate, in units per second
    reserve: Rate = 0.0  # rate up to which requests count with their full value
    limit: Rate = 0.0  # rate limit; 0: none
    burst: Units = 0.0  # units that may be sent at once under the limit
    slack: Units = 0.0  # tolerance in units, added to the burst
    weight: Units = 1.0  # weight of the volume's share beyond the reserve
    worth: Factor = 1.0  # factor of the value of the volume's requests


class VolumeBlock(Block):
    """`volume NAME { ... }`, or `volumes PREFIX COUNT { ... }` for many volumes with equal settings.

    A write is confirmed once the storage node has it (`save through`) or the gateway's journal (`save buffered`).
    """

    plan: Name  # name of the quota plan
    heads: Count = 1  # how many gateways its requests pass through
    slots: list[NonNegativeInt] = field(default_factory=list)  # placement of its data; none: the load tool draws it
    through: list[Name] = field(default_factory=list)  # names of its gateways; none: the load tool draws them
    spread: Count = 2  # how many slots the load tool draws
    save: Literal["through", "buffered"] = "through"  # confirmed by the node or by the journal
    back: Name | None = None  # request class of the write-backs of buffered writes


class RulesBlock(Block):
    """`rules { ... }`: the parameters of the seven scheduling rules, and the limits that the fleet sets."""

    drain_grace: Ms = 500.0  # how long attempts may go to a node after its gateway learned that it drains or is gone
    answer_grace: Ms = 100.0  # how late a final answer may be after its deadline
    cold_share: Fraction = 0.3  # share of its capacity that a storage node has at the start of a slow start
    warm: Ms = 10_000.0  # duration of a slow start
    fall_multiple: Factor = 2.0  # load that makes a node in a slow start fail, in multiples of its present capacity
    fall_window: Ms = 1_000.0  # window over which that load is measured
    order_settle: Ms = 0.0  # wait in an extent's queue after an attempt that may still run
    budget_share: Fraction | None = None  # retry budget as a share of requests; none: no budget
    budget_free: Units = 0.0  # retries per window that are allowed in any case
    budget_window: Ms = 5_000.0  # window of the retry budget
    try_limit: Count = 3  # attempts per request
    stay_away_max: Ms = 500.0  # longest Retry-After; 0: none may be given
    recall: bool = True  # whether attempts in flight may be cancelled
    marks_repeats: bool = True  # whether clients mark their retries
    mean_units: Units = 2.0  # mean cost of a request
    most_units: Units = 6.0  # largest cost of a request
    share_worth: Fraction = 0.35  # value of a unit within the volume's share but beyond its reserve
    spare_worth: Fraction = 0.05  # value of a unit beyond both
