"""What clients ask, drawn ahead from a seed: volumes, their ways, runs, surges, troubles of the load. No I/O.

The load is open: when a run begins never depends on answers. Within a run the next request follows the answer
of the one before by a thinktime, or its latency objective where no answer came by then.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
import xxhash

from pebblehinge.settings import Config, ScheduledFault
from pebblehinge.wire.frames import READ, WRITE


@dataclass(slots=True)
class Ask:
    """One run of requests on one extent; `at_ms` from the load's beginning."""

    at_ms: float
    volume: str
    plan: str
    profile: str
    extent: str
    slot: int
    head: str
    op: int
    units: list[float]
    gaps: list[float]  # thinktimes before the second request and those after
    size: int
    again: int = 0


@dataclass(slots=True)
class Ways:
    """Where a volume's data lies and through which heads it comes."""

    name: str
    plan: str
    slots: list[int]
    heads: list[str]
    weights: list[float]
    rate: float  # runs a millisecond
    surges: list[tuple[float, float, float]]  # from, until, multiple


def ways_of(config: Config, seed: int, length_ms: float) -> list[Ways]:
    """The same for every process of a day: drawn from the seed and the volume's name alone."""
    load = config.load
    slots = sorted({s.slot for s in config.shelf.values()})
    heads = list(config.head)
    files = {m.volume for m in config.module.values()}  # those are for transfers
    volumes = {n: v for n, v in config.volume.items() if n not in files}
    total = sum(config.plan[v.plan].rate for v in volumes.values()) or 1.0
    mean_run = sum(m.share * sum(m.run) / 2 for m in config.mix.values()) or 1.0
    found = []
    for name, volume in volumes.items():
        rng = random.Random(f"{seed}/ways/{name}")
        spread = sorted(rng.sample(slots, min(volume.spread, len(slots))))
        through = volume.through or rng.sample(heads, min(volume.heads, len(heads)))
        uneven = [rng.uniform(0.5, 1.5) for _ in through]
        rate = load.rate / 1000.0 * config.plan[volume.plan].rate / total / mean_run
        found.append(Ways(name, volume.plan, volume.slots or spread, through, uneven, rate, []))
    if load.surge_every:
        rng = random.Random(f"{seed}/surges")
        at = rng.expovariate(1.0 / load.surge_every)
        while at < length_ms and found:
            ways = rng.choice(found)
            ways.surges.append((at, at + rng.uniform(*load.surge_for), rng.uniform(*load.surge)))
            at += rng.expovariate(1.0 / load.surge_every)
    return found


def digest(text: str) -> int:
    """A number that a text always has, in any process."""
    return xxhash.xxh32_intdigest(text.encode())


def slot_of(ways: Ways, extent: str) -> int:
    """An extent has its place for good."""
    return ways.slots[digest(f"{ways.name}/{extent}") % len(ways.slots)]


class Draw:
    """The runs of one load process (number `part` of `parts`), in order of time."""

    def __init__(self, config: Config, day: str, seed: int, part: int = 0, parts: int = 1) -> None:
        self.config = config
        block = config.day[day]
        self.length_ms = block.length
        self.ways = ways_of(config, seed, block.length)
        self.mine = [w for i, w in enumerate(self.ways) if i % parts == part]
        self.rng = random.Random(f"{seed}/load/{part}")
        self.troubles = {
            name: [t for t in block.at if t.name == name] for name in ("burst", "hot-key", "scan", "give-up")
        }
        self.mixes = list(config.mix.items())
        self.shares = [m.share for _, m in self.mixes]
        self.part, self.parts = part, parts
        self.scans = 0
        # Extents are asked for unevenly: few of them often. Ranks drawn in one go, used in turn.
        draw = np.random.default_rng(digest(f"{seed}/extents/{part}"))
        ranks = np.minimum(draw.zipf(1.3, 65536) - 1, config.load.extents - 1)
        self.ranks: list[int] = ranks.tolist()
        self.rank = 0

    def factor(self, ways: Ways, at: float) -> float:
        """How much a volume asks at a time, in its usual rate."""
        load = self.config.load
        value = 1.0 + (load.ramp - 1.0) * at / max(1.0, self.length_ms)
        for begin, end, multiple in ways.surges:
            if begin <= at < end:
                value *= multiple
        for t in self.active("burst", at):
            value *= t.by or 1.0
        return value

    def active(self, name: str, at: float) -> Iterator[ScheduledFault]:
        return (t for t in self.troubles[name] if t.at <= at < t.at + (t.last or 0.0))

    def highest(self, ways: Ways) -> float:
        """A bound on `factor`, for thinning."""
        top = max(1.0, self.config.load.ramp)
        for _, _, multiple in ways.surges:
            top = max(top, top * multiple)
        for t in self.troubles["burst"]:
            top *= max(1.0, t.by or 1.0)
        return top

    def runs(self) -> Iterator[Ask]:
        """All runs of this process."""
        rng = self.rng
        heap: list[tuple[float, int]] = []
        tops = [self.highest(w) * w.rate for w in self.mine]
        for i, top in enumerate(tops):
            if top > 0:
                heapq.heappush(heap, (rng.expovariate(top), i))
        scan = list(self._scan_times())
        heapq.heapify(scan)
        while heap or scan:
            if scan and (not heap or scan[0] < heap[0][0]):
                at = heapq.heappop(scan)
                yield self._scan(at)
                continue
            at, i = heapq.heappop(heap)
            if at >= self.length_ms:
                continue
            heapq.heappush(heap, (at + rng.expovariate(tops[i]), i))
            ways = self.mine[i]
            if rng.random() < self.factor(ways, at) * ways.rate / tops[i]:
                yield self._run(at, ways)

    def _run(self, at: float, ways: Ways) -> Ask:
        rng = self.rng
        name, mix = rng.choices(self.mixes, self.shares)[0]
        extent = f"e{self.ranks[self.rank]}"
        self.rank = (self.rank + 1) % len(self.ranks)
        for t in self.active("hot-key", at):
            if rng.random() < (t.by or 0.0):
                ways, extent = self.ways[0], f"e{rng.randrange(2)}"
        count = max(1, round(rng.uniform(*mix.run)))
        return Ask(
            at,
            ways.name,
            ways.plan,
            name,
            extent,
            slot_of(ways, extent),
            rng.choices(ways.heads, ways.weights)[0],
            WRITE if mix.write else READ,
            [round(rng.uniform(*mix.units), 2) for _ in range(count)],
            [rng.uniform(*mix.gap) for _ in range(count - 1)],
            mix.bytes,
        )

    def _scan_times(self) -> Iterator[float]:
        for t in self.troubles["scan"]:
            rate = self.config.load.rate / 1000.0 * (t.by or 0.0) / self.parts
            at = t.at
            while rate > 0:
                at += self.rng.expovariate(rate)
                if at >= min(self.length_ms, t.at + (t.last or 0.0)):
                    break
                yield at

    def _scan(self, at: float) -> Ask:
        """A few volumes read extents that nobody asks for twice, over all slots."""
        rng = self.rng
        ways = self.ways[rng.randrange(min(2, len(self.ways)))]
        reads = [(n, m) for n, m in self.mixes if not m.write] or self.mixes
        name, mix = rng.choice(reads)
        self.scans += 1
        slots = sorted({s.slot for s in self.config.shelf.values()})
        return Ask(
            at,
            ways.name,
            ways.plan,
            name,
            f"scan-{self.part}-{self.scans}",
            rng.choice(slots),
            rng.choice(ways.heads),
            READ,
            [round(rng.uniform(*mix.units), 2)],
            [],
            mix.bytes,
        )

    def leaves_early(self, at: float, patience_ms: float) -> float | None:
        """An impatient client's own end, before its patience is over."""
        chance = self.config.load.impatient
        for t in self.active("give-up", at):
            chance = max(chance, t.by or 0.0)
        if chance and self.rng.random() < chance:
            return patience_ms * self.rng.uniform(0.02, 0.4)
        return None


def payload(name: str, size: int) -> bytes:
    """Bytes that tell where they come from."""
    seed = xxhash.xxh64_digest(name.encode())
    return (seed * math.ceil(size / len(seed)))[:size]
