"""What may stand in the settings for the laboratory and its stand-ins: one struct a block."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from pebblehinge.settings.units import (
    Address,
    Block,
    Count,
    Factor,
    FactorRange,
    Fraction,
    Ms,
    MsRange,
    Name,
    NonNegativeInt,
    Rate,
    Size,
)


class KindBlock(Block):
    """kind NAME { ... }: a kind of stand-in shelf."""

    cores: Count = 2
    speed: FactorRange = (1.0, 1.0)
    unit_work: Ms = 20.0  # work of one unit at speed 1
    noise: Fraction = 0.2
    slots: Count = 3  # accesses in work for each core
    queue: Count = 40  # waiting for each core
    cold_from: Fraction = 0.35
    cold: Ms = 8_000.0
    remembers: NonNegativeInt = 2
    seek: Fraction = 0.55  # work saved on a remembered extent
    defer: Fraction = 0.35  # of a write's work, put off
    flush: Ms = 2_500.0
    pause: Ms = 0.0
    pause_every: Ms = 5_000.0
    thrash: Fraction = 0.2
    errors: Fraction = 0.0


class ShelfBlock(Block):
    """shelf NAME { ... }: one stand-in shelf."""

    listen: Address = "127.0.0.1:7200"
    slot: NonNegativeInt = 0
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

    share: Fraction
    write: bool = False
    units: FactorRange = (1.0, 4.0)
    run: FactorRange = (1.0, 3.0)  # accesses in a row on one extent
    gap: MsRange = (1.0, 8.0)  # thinktime between them
    bytes: Size = 1024


class LoadBlock(Block):
    """load { ... }: open-loop clients."""

    rate: Rate = 100.0
    processes: Count = 2
    retries: NonNegativeInt = 1
    backoff: Ms = 100.0
    honours: Fraction = 0.8  # share of clients that keep away for as long as they are told
    surge: FactorRange = (4.0, 10.0)  # of a volume's rate
    surge_every: Ms = 10_000.0  # in the mean, over all volumes; 0: none
    surge_for: MsRange = (2_000.0, 5_000.0)
    extents: Count = 200  # for each volume
    impatient: Fraction = 0.0
    ramp: Factor = 1.0  # rate at the day's end against its beginning


class CopiesBlock(Block):
    """copies { ... }: members who copy folders with rsync-speaking tools, in the laboratory."""

    module: Name
    rate: Annotated[float, Meta(gt=0, le=1e6, extra={"unit": "/s"})] = 5.0  # transfers begun
    members: Count = 20  # each with a folder of its own, one transfer at a time
    files: FactorRange = (1.0, 4.0)  # altered between two pushes
    size: Annotated[tuple[float, float], Meta(extra={"unit": "size"})] = (200.0, 65536.0)
    push: Fraction = 0.6
    cuts: Fraction = 0.1  # share of tries whose connection is cut at some byte
    tries: Count = 5
    again: Ms = 800.0
    patience: Ms = 30_000.0


class ScheduledFault(Struct, kw_only=True):
    """A fault: `at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]`.

    Attributes:
        at: When it begins, in milliseconds from the day's start.
        name: A key of `scheduled_faults.FAULT_KINDS`.
        target: What it strikes: names, `rack NAME`, a share, or `all`.
        by: Its strength: a share as a part of 1, a factor, or a time in milliseconds.
        every: Its period in milliseconds.
        last: Its duration in milliseconds.
    """

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
    goal: Fraction = 0.0  # the service that the day must reach
    at: list[ScheduledFault] = field(default_factory=list)
