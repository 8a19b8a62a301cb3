"""Hunts for days on which a rule breaks or service is worst, shrinks a find, and saves it as a day file."""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.lab.simulated_fleet import VillageError, play
from pebblehinge.lab.verdict import summary
from pebblehinge.settings import Config, ScheduledFault, render_settings
from pebblehinge.settings.scheduled_faults import FAULT_KINDS
from pebblehinge.settings.schema import DayBlock

# What a drawn trouble may be: figures from mild to strong, and how long. Shelfs are struck by shares or racks.
BY: dict[str, tuple[float, float]] = {
    "slow": (2.0, 8.0),
    "fast-errors": (0.3, 1.0),
    "pauses": (80.0, 500.0),
    "neighbour": (0.3, 0.75),
    "resets": (0.03, 0.3),
    "garble": (0.02, 0.15),
    "lost-answers": (0.05, 0.5),
    "mass-restart": (20.0, 400.0),
    "list-stale": (1000.0, 8000.0),
    "burst": (1.3, 2.5),
    "hot-key": (0.03, 0.3),
    "scan": (0.05, 0.4),
    "give-up": (0.05, 0.4),
    "client-cuts": (0.05, 0.4),
    "head-roll": (0.2, 0.6),
}
EVERY = {"pauses": (700.0, 3000.0), "neighbour": (500.0, 4000.0)}
LONG = {"head-freeze": (200.0, 1500.0), "freeze": (500.0, 5000.0), "mass-restart": (500.0, 3000.0)}


@dataclass(slots=True)
class Find:
    """One day that was played, and what makes it worth keeping."""

    seed: int
    troubles: list[ScheduledFault]
    service: float
    broken: list[str]
    why: str = ""
    faults: list[str] = field(default_factory=list)

    @property
    def rank(self) -> tuple[int, float]:
        return (-len(self.broken) - len(self.faults), self.service)


def draw(config: Config, seed: int, length: float) -> list[ScheduledFault]:
    """Two to five troubles that overlap, from a seed."""
    rng = random.Random(f"{seed}/search")
    names = sorted(FAULT_KINDS)
    racks = sorted({s.rack for s in config.shelf.values()})
    centre = rng.uniform(0.25, 0.7) * length
    found = []
    for _ in range(rng.randint(2, 5)):
        name = rng.choice(names)
        where = FAULT_KINDS[name].target
        low, high = LONG.get(name, (1500.0, 8000.0))
        last = round(rng.uniform(low, high))
        at = round(min(max(500.0, rng.gauss(centre, 2500.0)), length - 1000.0))
        target: list[str] = []
        if where == "shelf":
            share = rng.choice(["12%", "25%", "40%", "60%"])
            target = ["rack", rng.choice(racks)] if rng.random() < 0.3 else [share]
        elif where == "head":
            target = [rng.choice(["34%", "67%", "all"])]
        by = every = None
        if name in BY:
            by = round(rng.uniform(*BY[name]), 2)
        if name in EVERY:
            every = float(round(rng.uniform(*EVERY[name])))
        found.append(ScheduledFault(at=float(at), name=name, target=target, by=by, every=every, last=float(last)))
    return sorted(found, key=lambda t: t.at)


def with_troubles(config: Config, troubles: list[ScheduledFault], length: float) -> Config:
    return msgspec.structs.replace(config, day={"found": DayBlock(length=length, settle=2000.0, at=troubles)})


def attempt(config: Config, troubles: list[ScheduledFault], seed: int, length: float) -> Find:
    """Plays one day. A fault of the program itself (an exception, a world at rest) is a find too."""
    try:
        village, known = play(with_troubles(config, troubles, length), "found", seed)
    except (VillageError, RuntimeError, AssertionError, KeyError, TimeoutError) as error:
        return Find(seed, troubles, 0.0, [], f"{type(error).__name__}: {error}", [str(error)])
    told = summary(village.facts(), "found", seed, {"faults": known["faults"]})
    broken = [rule for rule, said in told["rules"].items() if not said["kept"]]
    why = "; ".join(f"{rule}: {told['rules'][rule]['first']}" for rule in broken)
    return Find(seed, troubles, told["service"], broken, why, known["faults"])


def shrink(config: Config, find: Find, length: float, floor: float, said: Callable[[str], None]) -> Find:
    """Leaves out troubles for as long as what was found stays: a broken rule, a fault, or service under `floor`."""
    best = find
    again = True
    while again and len(best.troubles) > 1:
        again = False
        for i in range(len(best.troubles)):
            fewer = best.troubles[:i] + best.troubles[i + 1 :]
            tried = attempt(config, fewer, find.seed, length)
            holds = (
                set(find.broken) & set(tried.broken)
                if find.broken
                else bool(tried.faults)
                if find.faults
                else tried.service <= floor
            )
            if holds:
                said(f"without {best.troubles[i].name} it stays")
                best, again = tried, True
                break
    return best


def save(config: Config, find: Find, length: float, path: Path, source: str) -> None:
    """A day file that replays the find."""
    lines = [f"# Found by search from {source}, seed {find.seed}: service {find.service:.3f}"]
    lines += [f"# {line}" for line in find.why.splitlines()[:4]]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join([*lines, *render_settings(with_troubles(config, find.troubles, length))]) + "\n")


def _one(job: tuple[Config, int, float]) -> Find:
    config, seed, length = job
    return attempt(config, draw(config, seed, length), seed, length)


def search(config: Config, first: int, count: int, length: float, jobs: int, said: Callable[[str], None]) -> list[Find]:
    """Plays `count` drawn days in parallel; worst first. An interrupt gives what is known so far."""
    finds: list[Find] = []
    executor = ProcessPoolExecutor(jobs)
    try:
        futures = [executor.submit(_one, (config, first + i, length)) for i in range(count)]
        for number, future in enumerate(as_completed(futures), 1):
            find = future.result()
            finds.append(find)
            if find.broken or find.faults:
                said(f"seed {find.seed}: {', '.join(find.broken) or find.faults[0]}")
            if number % max(1, count // 10) == 0:
                said(f"{number} of {count} days")
    except KeyboardInterrupt:
        said(f"interrupted after {len(finds)} days")
    finally:
        executor.shutdown(wait=False, cancel_futures=True)
    return sorted(finds, key=lambda f: (f.rank, f.seed))


def told(finds: list[Find], most: int = 10) -> dict[str, Any]:
    """The worst finds as one object."""
    return {
        "days": len(finds),
        "broken": sum(bool(f.broken) for f in finds),
        "faults": sum(bool(f.faults) for f in finds),
        "service": {
            "worst": round(min((f.service for f in finds), default=0.0), 4),
            "mean": round(sum(f.service for f in finds) / max(1, len(finds)), 4),
        },
        "worst": [
            {
                "seed": f.seed,
                "service": round(f.service, 4),
                "broken": f.broken,
                "why": f.why,
                "faults": f.faults,
                "troubles": [t.name for t in f.troubles],
            }
            for f in finds[:most]
        ],
    }
