"""Blocks of the settings for the laboratory and its stand-in storage nodes, one struct per block."""

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
    """`kind NAME { ... }`: a kind of stand-in storage node."""

    cores: Count = 2
    speed: FactorRange = (1.0, 1.0)  # factor of a core, drawn at the start of the process
    unit_work: Ms = 20.0  # work of one unit at speed 1
    noise: Fraction = 0.2  # random deviation of the work, up to this share
    slots: Count = 3  # requests per core beyond which `thrash` slows the node
    queue: Count = 40  # queued requests per core
    cold_from: Fraction = 0.35  # share of its capacity that a restarted node has
    cold: Ms = 8_000.0  # duration of the warm-up
    remembers: NonNegativeInt = 2  # extents in the cache
    seek: Fraction = 0.55  # share of the work that a cached extent saves
    defer: Fraction = 0.35  # share of a write's work that is deferred until the next flush
    flush: Ms = 2_500.0  # interval of flushes
    pause: Ms = 0.0  # duration of a pause; 0: none
    pause_every: Ms = 5_000.0  # interval of pauses
    thrash: Fraction = 0.2  # loss of speed under overload
    errors: Fraction = 0.0  # probability that a request fails


class ShelfBlock(Block):
    """`shelf NAME { ... }`: one stand-in storage node."""

    listen: Address = "127.0.0.1:7200"
    slot: NonNegativeInt = 0
    rack: Name = "r1"
    zone: Name = "z1"
    kind: Name = "plain"


class FleetBlock(Block):
    """`fleet { ... }`: numbered gateways and storage nodes, with addresses that are derived from the numbers."""

    heads: Count = 3
    shelfs: Count = 8
    kinds: list[Name] = field(default_factory=list)  # assigned in turn, as are racks and zones; none: all kinds
    racks: list[Name] = field(default_factory=lambda: ["r1"])
    zones: list[Name] = field(default_factory=lambda: ["z1"])
    loopback: str = "127.0.0.1"
    rsync: bool = False  # whether the gateways serve rsync clients


class MixBlock(Block):
    """`mix PROFILE { ... }`: the requests of one class in the load."""

    share: Fraction  # share of the runs of requests that are of this class
    write: bool = False
    units: FactorRange = (1.0, 4.0)  # cost of a request
    run: FactorRange = (1.0, 3.0)  # consecutive requests for one extent
    gap: MsRange = (1.0, 8.0)  # think time between them
    bytes: Size = 1024  # payload of a request


class LoadBlock(Block):
    """`load { ... }`: open-loop clients."""

    rate: Rate = 100.0  # requests of all clients
    processes: Count = 2  # processes of the load tool
    retries: NonNegativeInt = 1  # retries of a client per request
    backoff: Ms = 100.0  # mean delay of the first retry; it doubles with each further one
    honours: Fraction = 0.8  # share of clients that obey Retry-After
    surge: FactorRange = (4.0, 10.0)  # multiple of a volume's rate during a surge
    surge_every: Ms = 10_000.0  # mean interval of surges over all volumes; 0: none
    surge_for: MsRange = (2_000.0, 5_000.0)  # duration of a surge
    extents: Count = 200  # extents per volume
    impatient: Fraction = 0.0  # share of requests that their clients abandon early
    ramp: Factor = 1.0  # rate at the day's end relative to its start


class CopiesBlock(Block):
    """`copies { ... }`: simulated rsync users, each of whom pushes and pulls a directory."""

    module: Name  # the rsync module
    rate: Annotated[float, Meta(gt=0, le=1e6, extra={"unit": "/s"})] = 5.0  # transfers started
    members: Count = 20  # users; each has a directory of its own and runs one transfer at a time
    files: FactorRange = (1.0, 4.0)  # files changed between two pushes
    size: Annotated[tuple[float, float], Meta(extra={"unit": "size"})] = (200.0, 65536.0)  # size of a changed file
    push: Fraction = 0.6  # share of transfers that are pushes
    cuts: Fraction = 0.1  # share of attempts whose connection is cut at a random byte
    tries: Count = 5  # attempts per transfer
    again: Ms = 800.0  # mean delay before a further attempt
    patience: Ms = 30_000.0  # time limit of an attempt


class ScheduledFault(Struct, kw_only=True):
    """A fault of a day: `at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]`.

    Attributes:
        at: When it begins, in milliseconds from the day's start.
        name: A key of `scheduled_faults.FAULT_KINDS`.
        target: What it affects: names, `rack NAME`, a share, or `all`.
        by: Its strength: a share as a fraction of 1, a factor, or a time in milliseconds.
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
    """`day NAME { ... }`: a scripted test run of the laboratory."""

    length: Ms = 30_000.0  # duration of the load
    settle: Ms = 3_000.0  # time before the load begins
    goal: Fraction = 0.0  # service that the day must reach to pass: the share of value earned
    at: list[ScheduledFault] = field(default_factory=list)  # scheduled faults
