"""The blocks that the settings may contain, one struct per block. Numbers have a unit; times become milliseconds.

Each field of a struct is a directive (underscores are written as hyphens); its type defines the values:
`Ms` 400ms, `Size` 4KiB, `Factor` 10x, `Fraction` 25%, `Rate` 300/s, ranges `a..b`, words, lists, named blocks.

The structs are named after their blocks. The settings have words of their own: a head is a gateway, a shelf is a
storage node, a profile is a request class, an access is a request, a group is that of the configuration members.
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
    """`limits { ... }`: the resource limits of a process."""

    frame: Size = 1 << 20  # largest frame
    streams: Count = 512  # open requests per connection
    connections: Count = 8192  # a connection at rest takes some KiB: docs/CAPACITY.md
    accesses: Count = 20_000  # open requests
    bytes: Size = 256 << 20  # payload of all open requests
    stall: Ms = 10_000.0  # a connection is aborted when its peer does not read for this time
    keepalive: Ms = 5_000.0  # silence after which a PING is sent
    connect: Ms = 250.0  # time limit for the connection and the greeting


class LogBlock(Block):
    """`log { ... }`: the log on standard error."""

    form: Literal["json", "console"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    accesses: bool = False  # whether each request and each attempt gets a line


class HeadBlock(Block):
    """`head NAME { ... }`: one gateway process."""

    listen: Address = "127.0.0.1:7000"
    metrics: Address | None = None  # address of its metrics
    seed: NonNegativeInt = 1  # seed of its random numbers
    step: Ms = 2.0  # resolution of the scheduler's clock
    answer_margin: Ms = 20.0  # subtracted from a client's time limit, for the answer's way back
    accounts: bool = False  # wait accounting: costs a fifth of a core's request rate
    console: Address | None = None  # address of its web console
    console_token: str = ""  # viewers have to present it; empty: anyone who can reach the address may view
    store: Path | None = None  # directory of its journal and of the snapshots of the scheduler's state
    rsync: Address | None = None  # address for rsync clients; none: not served


class ListingBlock(Block):
    """`listing { ... }`: service discovery; the delays are those of its stand-in."""

    listen: Address = "127.0.0.1:7100"
    mode: Literal["push", "ask"] = "push"  # whether lists are pushed, or gateways have to request a watch
    add: MsRange = (200.0, 900.0)  # delay until a new or restarted storage node is published
    notice: MsRange = (1_000.0, 2_500.0)  # delay until the loss of a storage node is published
    drain: MsRange = (100.0, 500.0)  # delay until a drain is published


class MemberBlock(Block):
    """`member NAME { ... }`: one member of the Raft group that replicates the configuration."""

    listen: Address
    store: Path | None = None  # directory of its log and its snapshots


class GroupBlock(Block):
    """`group { ... }`: timing of the Raft group, and what gateways may do without a lease from it."""

    id: Name = "pebblehinge"  # members of another group are refused
    lease: Ms = 3_000.0  # duration of a lease
    drift: Fraction = 0.05  # largest drift between clocks
    floor: Fraction = 0.25  # fraction of its part of a limit that a gateway without a lease may use
    renew: Ms = 500.0  # interval of lease renewals
    tick: Ms = 50.0  # tick of the Raft clock
    election: Count = 10  # shortest election timeout in ticks; each one is random, up to twice that
    heartbeat: Count = 2  # interval of heartbeats in ticks
    compact: Count = 1_000  # log entries after which a snapshot is taken


class BufferBlock(Block):
    """`buffer { ... }`: writes that a gateway has confirmed and not yet written back to their storage nodes."""

    most: Size = 256 << 20  # dirty bytes beyond which no write is accepted
    age: Ms = 120_000.0  # age of the oldest dirty write beyond which no write is accepted
    delay: Ms = 20.0  # how long a write waits for others of its extent
    segment: Size = 8 << 20  # size of the journal's segments
    out: Count = 24  # concurrent write-backs
    patience: Ms = 4_000.0  # time limit of one write-back
    done: Ms = 20.0  # delay until completed write-backs are recorded in the journal
    memory: Ms = 2_000.0  # interval of the snapshots of the scheduler's state
    stop: Ms = 10_000.0  # time limit for writing everything back when a gateway shuts down


class Config(Block):
    """All blocks of the settings."""

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
    records: Path | None = None  # directory of the event logs

    def scheduler_settings(self, head: HeadBlock) -> Settings:
        """Returns the settings of the scheduler of one gateway."""
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
