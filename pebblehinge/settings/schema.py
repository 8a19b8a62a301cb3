"""What may stand in the settings: one struct a block. Figures carry their unit; times end up in milliseconds.

A struct's field is a directive (underscores are written as hyphens); the type says what its values are:
`Ms` 400ms, `Size` 4KiB, `Times` 10x, `Part` 25%, `Rate` 300/s, ranges `a..b`, words, lists, named blocks.
"""

from __future__ import annotations

from typing import Literal

from msgspec import field

from pebblehinge.interface import DeduplicationScope, Idempotency, QuotaPlan, RequestClass, Settings
from pebblehinge.settings.policy import PlanBlock, ProfileBlock, RulesBlock, VolumeBlock
from pebblehinge.settings.rsync import ModuleBlock, RsyncBlock, UserBlock
from pebblehinge.settings.stand_ins import (
    CopiesBlock,
    DayBlock,
    FleetBlock,
    KindBlock,
    LoadBlock,
    MixBlock,
    ScheduledFault,
    ShelfBlock,
)
from pebblehinge.settings.units import (
    Address,
    Block,
    Count,
    Fraction,
    Ms,
    MsRange,
    Name,
    NonNegativeInt,
    Path,
    Size,
)

__all__ = [
    "BufferBlock",
    "Config",
    "CopiesBlock",
    "DayBlock",
    "FleetBlock",
    "GroupBlock",
    "HeadBlock",
    "KindBlock",
    "LimitsBlock",
    "ListingBlock",
    "LoadBlock",
    "LogBlock",
    "MemberBlock",
    "MixBlock",
    "ModuleBlock",
    "PlanBlock",
    "ProfileBlock",
    "RsyncBlock",
    "RulesBlock",
    "ScheduledFault",
    "ShelfBlock",
    "UserBlock",
    "VolumeBlock",
]


class LimitsBlock(Block):
    """limits { ... }: what a process holds at most."""

    frame: Size = 1 << 20
    streams: Count = 512
    connections: Count = 8192  # each takes some KiB at rest: docs/CAPACITY.md
    accesses: Count = 20_000
    bytes: Size = 256 << 20
    stall: Ms = 10_000.0
    keepalive: Ms = 5_000.0
    connect: Ms = 250.0


class LogBlock(Block):
    """log { ... }: to standard error."""

    form: Literal["json", "console"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    accesses: bool = False  # one line for each access and attempt


class HeadBlock(Block):
    """head NAME { ... }: one running head."""

    listen: Address = "127.0.0.1:7000"
    metrics: Address | None = None
    seed: NonNegativeInt = 1
    step: Ms = 2.0  # grid of the module's clock
    answer_margin: Ms = 20.0  # taken off a client's patience for the way back
    accounts: bool = False  # who waited for whom: costs a fifth of a core's rate
    console: Address | None = None  # where its web console is served
    console_token: str = ""  # who asks must have it; none: whoever reaches the address
    store: Path | None = None  # folder of its journal, and of what it has learned
    rsync: Address | None = None  # where rsync clients are listened to; none: they are not


class ListingBlock(Block):
    """listing { ... }: the node list; its delays are the stand-in's."""

    listen: Address = "127.0.0.1:7100"
    mode: Literal["push", "ask"] = "push"
    add: MsRange = (200.0, 900.0)  # until a new or restarted shelf is told
    notice: MsRange = (1_000.0, 2_500.0)  # until a shelf that went is told
    drain: MsRange = (100.0, 500.0)


class MemberBlock(Block):
    """member NAME { ... }: one instance of the group that agrees on configuration."""

    listen: Address
    store: Path | None = None


class GroupBlock(Block):
    """group { ... }: how the group keeps time, and what heads may do without it."""

    id: Name = "pebblehinge"  # instances of another group are not talked to
    lease: Ms = 3_000.0
    drift: Fraction = 0.05  # by how much clocks may run apart
    floor: Fraction = 0.25  # of its part of a limit, for a head without a lease
    renew: Ms = 500.0
    tick: Ms = 50.0
    election: Count = 10  # in ticks, at least; each wait is drawn up to twice that
    heartbeat: Count = 2
    compact: Count = 1_000  # entries after which a snapshot is taken


class BufferBlock(Block):
    """buffer { ... }: writes that a head has confirmed and not yet brought to their shelfs."""

    most: Size = 256 << 20  # bytes
    age: Ms = 120_000.0  # no new ones while one has waited for longer
    delay: Ms = 20.0  # a write waits for others of its extent
    segment: Size = 8 << 20  # of the journal's files
    out: Count = 24  # write-backs under way
    patience: Ms = 4_000.0  # of one of them
    done: Ms = 20.0  # what landed is noted in the journal so soon
    memory: Ms = 2_000.0  # what a head has learned is kept so often
    stop: Ms = 10_000.0  # a head that stops tries so long to bring all to their shelfs


class Config(Block):
    """A whole file."""

    rules: RulesBlock = field(default_factory=RulesBlock)
    limits: LimitsBlock = field(default_factory=LimitsBlock)
    log: LogBlock = field(default_factory=LogBlock)
    listing: ListingBlock = field(default_factory=ListingBlock)
    load: LoadBlock = field(default_factory=LoadBlock)
    fleet: FleetBlock | None = None
    profile: dict[str, ProfileBlock] = field(default_factory=dict)
    plan: dict[str, PlanBlock] = field(default_factory=dict)
    volume: dict[str, VolumeBlock] = field(default_factory=dict)
    head: dict[str, HeadBlock] = field(default_factory=dict)
    kind: dict[str, KindBlock] = field(default_factory=dict)
    shelf: dict[str, ShelfBlock] = field(default_factory=dict)
    copies: CopiesBlock | None = None
    mix: dict[str, MixBlock] = field(default_factory=dict)
    day: dict[str, DayBlock] = field(default_factory=dict)
    member: dict[str, MemberBlock] = field(default_factory=dict)
    group: GroupBlock = field(default_factory=GroupBlock)
    buffer: BufferBlock = field(default_factory=BufferBlock)
    rsync: RsyncBlock = field(default_factory=RsyncBlock)
    module: dict[str, ModuleBlock] = field(default_factory=dict)
    user: dict[str, UserBlock] = field(default_factory=dict)
    records: Path | None = None

    def scheduler_settings(self, head: HeadBlock) -> Settings:
        """What the decision module is handed at its start."""
        rules = self.rules
        return Settings(
            request_classes=tuple(
                RequestClass(
                    name,
                    profile.importance,
                    profile.expected,
                    profile.patience,
                    profile.late_share,
                    Idempotency(profile.repeat),
                    DeduplicationScope(profile.group),
                    profile.window,
                    profile.in_order,
                )
                for name, profile in self.profile.items()
            ),
            quota_plans=tuple(
                QuotaPlan(name, plan.rate, plan.reserve, plan.limit, plan.burst, plan.slack, plan.weight, plan.worth)
                for name, plan in self.plan.items()
            ),
            mean_units=rules.mean_units,
            max_units=rules.most_units,
            share_value=rules.share_worth,
            excess_value=rules.spare_worth,
            must_request_watch=self.listing.mode == "ask",
            clients_mark_retries=rules.marks_repeats,
            cancellation_allowed=rules.recall,
            max_retry_after_ms=rules.stay_away_max,
            max_attempts=rules.try_limit,
            clock_resolution_ms=head.step,
            slow_start_initial_share=rules.cold_share,
            slow_start_duration_ms=rules.warm,
            slow_start_failure_multiple=rules.fall_multiple,
            order_settle_ms=rules.order_settle,
            retry_budget_share=rules.budget_share,
            retry_budget_min_retries=rules.budget_free,
            retry_budget_window_ms=rules.budget_window,
        )
