"""The console's JSON. Its keys are a public format, kept from before the present terms."""

from __future__ import annotations

from typing import Any, NotRequired, TypeAlias, TypedDict

EventRow: TypeAlias = tuple[int, float, str]
"""An event's number, its time by the gateway's clock (ms), and its text."""


class NodeRow(TypedDict):
    """A storage node: its health and why, requests queued (`held`) and in flight (`out`), mean duration in ms."""

    name: str
    slot: int
    health: str
    why: str
    held: int
    out: int
    mean_ms: float


class VolumeRow(TypedDict):
    """A volume: its quota plan, the plan's limit (units a second), and the levels of its token buckets (units)."""

    name: str
    plan: str
    limit: float
    units: float | None
    reserve: float
    share: float


class Snapshot(TypedDict):
    """All that the page shows.

    `held_bytes` are the bytes of open requests, `a_second` the rates of `counts`, `further_trips` the retries,
    `outcomes` those of attempts, `refused_because` the rejections by reason, `waits` the slots reserved for retries.
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
