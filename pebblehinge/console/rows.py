"""Types of the console's JSON. Its keys are a public format, which keeps older terms than the rest of the code."""

from __future__ import annotations

from typing import Any, NotRequired, TypeAlias, TypedDict

EventRow: TypeAlias = tuple[int, float, str]
"""Number of an event, its time by the gateway's clock in milliseconds, and its text."""


class NodeRow(TypedDict):
    """State of a storage node.

    `health` is a value of `NodeHealth` and `why` the reason for it, `held` the number of queued requests, `out` that of
    attempts in flight, and `mean_ms` the mean latency of its attempts.
    """

    name: str
    slot: int
    health: str
    why: str
    held: int
    out: int
    mean_ms: float


class VolumeRow(TypedDict):
    """State of a volume.

    `plan` is its quota plan and `limit` the plan's limit in units per second; `units`, `reserve` and `share` are the
    levels of its token buckets, in units.
    """

    name: str
    plan: str
    limit: float
    units: float | None
    reserve: float
    share: float


class Snapshot(TypedDict):
    """Everything that the page shows.

    `held_bytes` is the size of the data of open requests, `a_second` the rates of `counts` per second, `further_trips`
    the number of retries, `outcomes` that of attempts by outcome, `refused_because` that of unsuccessful answers by
    reason, and `waits` the number of slots reserved for retries.
    """

    head: str
    version: str
    now_ms: float
    stopping: bool
    open: int
    held_bytes: int
    connections: int
    counts: dict[str, int]
    a_second: dict[str, float]
    further_trips: int
    outcomes: dict[Any, int]
    refused_because: dict[str, int]
    latency_ms: dict[str, float]
    waits: int
    shelfs: list[NodeRow]
    volumes: list[VolumeRow]
    events: list[EventRow]
    transfers: NotRequired[dict[str, Any]]
    journal: NotRequired[dict[str, Any]]
    configuration: NotRequired[dict[str, Any]]
