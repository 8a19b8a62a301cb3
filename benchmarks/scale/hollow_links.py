"""A hollow head's attempts: the program's own link to each of a few shelfs, drawn once, at a steady rate.

Nobody decides here: each attempt goes to the next shelf in turn, whatever came of the one before.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from pebblehinge.gateway.node_link import NodeLink
from pebblehinge.interface import Outcome
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire.frames import READ

PATIENCE_MS, BYTES = 2000.0, 1024


class Carried:
    """What a link needs to know of a request."""

    __slots__ = (
        "trace_id",
        "volume",
        "extent",
        "op",
        "offset",
        "length",
        "units",
        "idempotency_key",
        "data",
        "attempt",
    )

    def __init__(self, trace_id: str, extent: str) -> None:
        self.trace_id, self.volume, self.extent, self.op = trace_id, "hollow", extent, READ
        self.offset, self.length, self.units, self.idempotency_key, self.data = 0, BYTES, 1.0, None, b""
        self.attempt: Any = None


class Attempts:
    """`rate` attempts a second over links to `spread` shelfs, which are drawn from those that the list has told
    first."""

    def __init__(
        self, loop: Any, clock: Any, head: str, limits: LimitsBlock, rng: random.Random, spread: int, rate: float
    ) -> None:
        self.loop, self.clock, self.head, self.limits, self.rng = loop, clock, head, limits, rng
        self.spread, self.rate = spread, rate
        self.links: list[NodeLink] = []
        self.ends: Counter[str] = Counter()
        self.sent = 0
        self.closed = False

    def listed(self, addresses: dict[str, str]) -> None:
        """The list told of shelfs: the first whole one says where to go."""
        names = sorted(name for name in addresses if name.startswith("y"))
        if self.links or not names or not self.spread or not self.rate:
            return
        for name in self.rng.sample(names, min(self.spread, len(names))):
            link = NodeLink(self.loop, self.clock, self.head, name, addresses[name], self.limits, self._ended, None)
            self.links.append(link)
        self.loop.call_later(self.rng.uniform(0.0, 1.0 / self.rate), self._go)

    def _go(self) -> None:
        if self.closed:
            return
        self.loop.call_later(self.rng.expovariate(self.rate), self._go)
        now, link = self.clock(), self.links[self.sent % len(self.links)]
        self.sent += 1
        link.send(Carried(f"{self.head}.{self.sent}", f"e{self.sent % 64}"), 1, now + PATIENCE_MS, now)

    def _ended(self, now: float, pending: Carried, attempt: int, outcome: Outcome, took_ms: float, data: bytes) -> None:
        self.ends[outcome.value] += 1

    def close(self) -> None:
        self.closed = True
        for link in self.links:
            link.close()
