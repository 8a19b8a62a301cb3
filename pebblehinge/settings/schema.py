"""What may stand in the settings: one struct a block. Figures carry their unit; times end up in milliseconds.

A struct's field is a directive (underscores are written as hyphens); the type says what its values are:
`Ms` 400ms, `Size` 4KiB, `Times` 10x, `Part` 25%, `Rate` 300/s, ranges `a..b`, words, lists, named blocks.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pebblehinge.interface import Group, Plan, Profile, Repeat, Settings

Ms = Annotated[float, Meta(ge=0, le=1e9, extra={"unit": "ms"})]
Size = Annotated[int, Meta(ge=0, le=2**40, extra={"unit": "size"})]
Times = Annotated[float, Meta(ge=0, le=1e6, extra={"unit": "x"})]
Part = Annotated[float, Meta(ge=0, le=1, extra={"unit": "%"})]
Rate = Annotated[float, Meta(ge=0, le=1e9, extra={"unit": "/s"})]
Units = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Whole = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$", extra={"wants": "a name"})]
Address = Annotated[str, Meta(pattern=r"^[^\s:]+:\d{1,5}$", extra={"wants": "host:port"})]
Path = Annotated[str, Meta(min_length=1)]
MsRange = Annotated[tuple[float, float], Meta(extra={"unit": "ms"})]
TimesRange = Annotated[tuple[float, float], Meta(extra={"unit": "x"})]


class Block(Struct, kw_only=True, forbid_unknown_fields=True):
    """The base of all blocks."""


class ProfileBlock(Block):
    """profile NAME { ... }: a kind of access."""

    importance: Units
    expected: Ms
    patience: Ms
    repeat: Literal["redoable", "labelled", "irreversible"]
    late_share: Part = 0.0
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
    worth: Times = 1.0


class VolumeBlock(Block):
    """volume NAME { ... }, or volumes PREFIX COUNT { ... } for many alike."""

    plan: Name
    heads: Count = 1  # through how many heads its accesses come
    slots: list[Whole] = field(default_factory=list)  # where its data lies; none: the load tool draws
    through: list[Name] = field(default_factory=list)  # the heads by name; none: the load tool draws
    spread: Count = 2  # how many slots the load tool draws
    save: Literal["through", "buffered"] = "through"  # a write is confirmed at the shelf, or in the head's journal
    back: Name | None = None  # the profile that buffered writes go to their shelfs by


class RulesBlock(Block):
    """rules { ... }: the figures of the seven rules and of what the fleet allows."""

    drain_grace: Ms = 500.0
    answer_grace: Ms = 100.0
    cold_share: Part = 0.3
    warm: Ms = 10_000.0
    fall_multiple: Times = 2.0
    fall_window: Ms = 1_000.0
    order_settle: Ms = 0.0
    budget_share: Part | None = None  # none: no budget is stated
    budget_free: Units = 0.0
    budget_window: Ms = 5_000.0
    try_limit: Count = 3
    stay_away_max: Ms = 500.0
    recall: bool = True
    marks_repeats: bool = True
    mean_units: Units = 2.0
    most_units: Units = 6.0
    share_worth: Part = 0.35
    spare_worth: Part = 0.05


class LimitsBlock(Block):
    """limits { ... }: what a process holds at most."""

    frame: Size = 1 << 20
    streams: Count = 512
    connections: Count = 4096
    accesses: Count = 20_000
    bytes: Size = 256 << 20
    stall: Ms = 10_000.0
    keepalive: Ms = 5_000.0
    connect: Ms = 250.0


class LogBlock(Block):
    """log { ... }: to standard error."""

    form: Literal["json", "console"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    accesses: bool = False  # one line for each access and trip


class HeadBlock(Block):
    """head NAME { ... }: one running head."""

    listen: Address = "127.0.0.1:7000"
    metrics: Address | None = None
    seed: Whole = 1
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
    drift: Part = 0.05  # by how much clocks may run apart
    floor: Part = 0.25  # of its part of a limit, for a head without a lease
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


class RsyncBlock(Block):
    """rsync { ... }: what rsync clients get of each head together."""

    transfers: Count = 200  # under way together
    accesses: Count = 48  # of all transfers, out together at most
    each: Count = 12  # of one transfer
    stall: Ms = 60_000.0  # a client that neither sends nor reads for so long is cut
    login: Ms = 10_000.0  # until a client has named its module
    stop: Ms = 20_000.0  # transfers get so long to end when the head is told to stop
    lag: Ms = 250.0  # a head that is late by so much begins no transfer
    parts: Count = 1_000  # interrupted pushes that are kept for their repeat
    parts_for: Ms = 900_000.0
    motd: str = ""


class ModuleBlock(Block):
    """module NAME { ... }: a tree of files on a volume, for rsync clients."""

    volume: Name
    read: Name  # profiles of its accesses
    write: Name
    commit: Name
    comment: str = ""
    read_only: bool = True
    listed: bool = True
    allow: list[str] = field(default_factory=list)  # addresses and networks; none: all
    deny: list[str] = field(default_factory=list)
    users: list[Name] = field(default_factory=list)  # none: nobody is asked who he is
    patience: Ms = 4_000.0  # of one access
    deadline: Ms = 600_000.0  # of one transfer
    block: Size = 128 << 10
    unit: Size = 64 << 10  # bytes that count as a unit of an access
    ahead: Size = 1 << 20  # bytes of a file that are read ahead or not yet written
    max_size: Size = 1 << 34
    max_files: Count = 100_000
    max_list: Size = 64 << 20  # memory of one transfer's list of files, about 100 bytes and its name each
    max_delete: Whole = 1_000


class UserBlock(Block):
    """user NAME { ... }: one who may log in to modules."""

    secret: str = ""
    secret_file: Path | None = None


class KindBlock(Block):
    """kind NAME { ... }: a kind of stand-in shelf."""

    cores: Count = 2
    speed: TimesRange = (1.0, 1.0)
    unit_work: Ms = 20.0  # work of one unit at speed 1
    noise: Part = 0.2
    slots: Count = 3  # accesses in work for each core
    queue: Count = 40  # waiting for each core
    cold_from: Part = 0.35
    cold: Ms = 8_000.0
    remembers: Whole = 2
    seek: Part = 0.55  # work saved on a remembered extent
    defer: Part = 0.35  # of a write's work, put off
    flush: Ms = 2_500.0
    pause: Ms = 0.0
    pause_every: Ms = 5_000.0
    thrash: Part = 0.2
    errors: Part = 0.0


class ShelfBlock(Block):
    """shelf NAME { ... }: one stand-in shelf."""

    listen: Address = "127.0.0.1:7200"
    slot: Whole = 0
    rack: Name = "r1"
    zone: Name = "z1"
    kind: Name = "plain"


class FleetBlock(Block):
    """heads COUNT and shelfs COUNT in one: fleet { ... } numbers them and gives them addresses."""

    heads: Count = 3
    shelfs: Count = 8
    kinds: list[Name] = field(default_factory=list)  # dealt out in turn
    racks: list[Name] = field(default_factory=lambda: ["r1"])
    zones: list[Name] = field(default_factory=lambda: ["z1"])
    loopback: str = "127.0.0.1"
    rsync: bool = False  # whether the heads listen to rsync clients


class MixBlock(Block):
    """mix PROFILE { ... }: how the load uses a profile."""

    share: Part
    write: bool = False
    units: TimesRange = (1.0, 4.0)
    run: TimesRange = (1.0, 3.0)  # accesses in a row on one extent
    gap: MsRange = (1.0, 8.0)  # thinktime between them
    bytes: Size = 1024


class LoadBlock(Block):
    """load { ... }: open-loop clients."""

    rate: Rate = 100.0
    processes: Count = 2
    retries: Whole = 1
    backoff: Ms = 100.0
    honours: Part = 0.8  # share of clients that keep away for as long as they are told
    surge: TimesRange = (4.0, 10.0)  # of a volume's rate
    surge_every: Ms = 10_000.0  # in the mean, over all volumes; 0: none
    surge_for: MsRange = (2_000.0, 5_000.0)
    extents: Count = 200  # for each volume
    impatient: Part = 0.0
    ramp: Times = 1.0  # rate at the day's end against its beginning


class CopiesBlock(Block):
    """copies { ... }: members who copy folders with rsync-speaking tools, in the laboratory."""

    module: Name
    rate: Annotated[float, Meta(gt=0, le=1e6, extra={"unit": "/s"})] = 5.0  # transfers begun
    members: Count = 20  # each with a folder of its own, one transfer at a time
    files: TimesRange = (1.0, 4.0)  # altered between two pushes
    size: Annotated[tuple[float, float], Meta(extra={"unit": "size"})] = (200.0, 65536.0)
    push: Part = 0.6
    cuts: Part = 0.1  # share of tries whose connection is cut at some byte
    tries: Count = 5
    again: Ms = 800.0
    patience: Ms = 30_000.0


class Trouble(Struct, kw_only=True):
    """at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]"""

    at: float
    name: str
    target: list[str]
    by: float | None = None
    every: float | None = None
    last: float | None = None


class DayBlock(Block):
    """day NAME { ... }: a scripted day."""

    length: Ms = 30_000.0
    settle: Ms = 3_000.0  # before the load begins
    goal: Part = 0.0  # the service that the day must reach
    at: list[Trouble] = field(default_factory=list)


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

    def module_settings(self, head: HeadBlock) -> Settings:
        """What the decision module is handed at its start."""
        r = self.rules
        return Settings(
            profiles=tuple(
                Profile(
                    name, p.importance, p.expected, p.patience, p.late_share, Repeat(p.repeat), Group(p.group),
                    p.window, p.in_order,
                )
                for name, p in self.profile.items()
            ),
            plans=tuple(
                Plan(name, p.rate, p.reserve, p.limit, p.burst, p.slack, p.weight, p.worth)
                for name, p in self.plan.items()
            ),
            mean_units=r.mean_units,
            most_units=r.most_units,
            share_worth=r.share_worth,
            idle_worth=r.spare_worth,
            asks_for_list=self.listing.mode == "ask",
            marks_repeats=r.marks_repeats,
            may_recall=r.recall,
            stay_away_max_ms=r.stay_away_max,
            try_limit=r.try_limit,
            step_ms=head.step,
            cold_share=r.cold_share,
            warm_ms=r.warm,
            fall_multiple=r.fall_multiple,
            order_settle_ms=r.order_settle,
            budget_share=r.budget_share,
            budget_free=r.budget_free,
            budget_window_ms=r.budget_window,
        )  # fmt: skip
