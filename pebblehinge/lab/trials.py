"""Plays the planner's trials: the captured peak, grown, on the fleet or another one, in virtual time."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from typing import Any

import msgspec

from pebblehinge.capacity_planner import Trial, TrialResult
from pebblehinge.capture import CapturedRequest
from pebblehinge.lab.check import DayFacts
from pebblehinge.lab.replay import Replay
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.lab.verdict import service_shares
from pebblehinge.settings import Config, ScheduledFault
from pebblehinge.settings.schema import DayBlock, ShelfBlock

WINDOW_S = 20  # of the capture's busiest seconds that a trial plays
AWAY_MS = 2_500.0  # how long what is lost stays away


@dataclass(slots=True)
class World:
    """What all trials of one plan share."""

    config: Config
    rows: list[tuple[float, str, CapturedRequest]]  # of the busiest window, from 0
    volumes: dict[str, int]  # how many slots each volume's data lies on
    speeds: dict[int, float]  # of the fleet's slots, as fitted from the capture; none: as the kinds state


def world_of(
    config: Config,
    rows: list[tuple[float, str, CapturedRequest]],
    begin: float,
    end: float,
    speeds: dict[int, float] | None = None,
) -> World:
    slots: dict[str, set[int]] = defaultdict(set)
    for _, _, row in rows:
        slots[row.volume].add(row.slot)
    window = [(at - begin, head, row) for at, head, row in rows if begin <= at < end]
    return World(config, window, {v: len(s) for v, s in sorted(slots.items())}, speeds or {})


def lay_out(world: World, config: Config) -> dict[str, list[int]]:
    """Data laid out anew on a fleet: volumes by their demand, each on the shelfs that have most room left."""
    units: dict[str, float] = defaultdict(float)
    for _, _, row in world.rows:
        units[row.volume] += row.units
    room = []
    for shelf in config.shelf.values():
        kind = config.kind[shelf.kind]
        room.append([0.0, shelf.slot, kind.cores * sum(kind.speed) / 2 / kind.unit_work])
    places: dict[str, list[int]] = {}
    for volume in sorted(world.volumes, key=lambda v: (-units[v], v)):
        spread = min(world.volumes[volume], len(room))
        chosen = heapq.nsmallest(spread, room)
        for entry in chosen:
            entry[0] += units[volume] / spread / entry[2]
        places[volume] = [int(entry[1]) for entry in chosen]
    return places


def fleet_of(config: Config, shelfs: int | None) -> Config:
    """The fleet with so many shelfs: its kinds, racks and zones go on in turn."""
    if shelfs is None:
        return config
    blocks = list(config.shelf.values())
    made: dict[str, ShelfBlock] = {}
    for n in range(shelfs):
        like = blocks[n % len(blocks)]
        made[f"s{n + 1}"] = msgspec.structs.replace(like, slot=n, listen=f"127.0.0.1:{10_000 + n}")
    return msgspec.structs.replace(config, shelf=made)


def as_fitted(config: Config, speeds: dict[int, float]) -> Config:
    """Each shelf of a kind of its own, with the speed that its attempts showed."""
    kinds, shelfs = dict(config.kind), dict(config.shelf)
    for name, shelf in config.shelf.items():
        speed = speeds.get(shelf.slot)
        if speed is not None:
            kinds[f"{shelf.kind}.{name}"] = msgspec.structs.replace(config.kind[shelf.kind], speed=(speed, speed))
            shelfs[name] = msgspec.structs.replace(shelf, kind=f"{shelf.kind}.{name}")
    return msgspec.structs.replace(config, kind=kinds, shelf=shelfs)


def play_trial(world: World, trial: Trial) -> TrialResult:
    """One trial, in this process."""
    config = fleet_of(world.config, trial.node_count)
    places = lay_out(world, config) if trial.node_count is not None else None
    length = world.rows[-1][0] + 1.0 if world.rows else 1000.0
    at: list[ScheduledFault] = []
    if trial.failure:
        head = trial.failure in config.head
        name = "head-crash" if head else "mass-restart"
        at = [ScheduledFault(at=length * 0.35, name=name, target=trial.failure.split(), last=AWAY_MS)]
    config = msgspec.structs.replace(
        config,
        day={"trial": DayBlock(length=length, settle=2_500.0, at=at)},
        load=msgspec.structs.replace(config.load, processes=1),
        log=msgspec.structs.replace(config.log, accesses=False),
    )
    if trial.node_count is None and world.speeds:
        config = as_fitted(config, world.speeds)
    draw = Replay(config, world.rows, trial.seed, trial.multiple, places=places, blur_ms=trial.jitter_ms)
    village, _ = play(config, "trial", trial.seed, draw=draw)
    return read(village.facts(), trial, length * 0.35 if trial.failure else None)


def read(day: DayFacts, trial: Trial, lost_at: float | None = None) -> TrialResult:
    """What a day showed, by cause."""
    whole, by_plan, _ = service_shares(day)
    shelf, limit = losses(day)
    during = after = 0.0
    if lost_at is not None:
        begin = day.begin + lost_at
        during = part_of(day, begin, begin + AWAY_MS)
        after = part_of(day, begin + AWAY_MS, begin + AWAY_MS + day.config.rules.warm)
    return TrialResult(trial, whole, by_plan, shelf, limit, during, after)


def losses(day: DayFacts) -> tuple[dict[str, float], dict[str, float]]:
    """Importance lost by shelf, and by volume where its plan's limit was used up in that second."""
    config = day.config
    names = {s.slot: name for name, s in config.shelf.items()}
    total = sum(config.profile[op["profile"]].importance for op in day.ops.values()) or 1.0
    asked: dict[tuple[str, int], float] = defaultdict(float)
    for op in day.ops.values():
        if config.plan[op["plan"]].limit:
            asked[(f"{op['volume']}@{op['head']}", int(op["t"] / 1000.0))] += op["u"]
    levels = _levels(config, asked)
    shelf: dict[str, float] = defaultdict(float)
    limit: dict[str, float] = defaultdict(float)
    for name, op in day.ops.items():
        worth, earned = day.earned(name)
        value = worth - earned
        if not value:
            continue
        beyond = levels.get((f"{op['volume']}@{op['head']}", int(op["t"] / 1000.0)), 0.0)
        limit[op["volume"]] += value * beyond / total
        shelf[names.get(op["slot"], "gone")] += value * (1.0 - beyond) / total
    return dict(sorted(shelf.items())), {k: v for k, v in sorted(limit.items()) if v > 0}


def _levels(config: Config, asked: dict[tuple[str, int], float]) -> dict[tuple[str, int], float]:
    """For each volume at a head, and second, the part of a loss there that its limit explains. A head may send its
    even part of the limit, whatever comes through the others."""
    found = {}
    by: dict[str, list[int]] = defaultdict(list)
    for volume, second in sorted(asked):
        by[volume].append(second)
    for volume, seconds in by.items():
        block = config.volume[volume.rpartition("@")[0]]
        plan, n = config.plan[block.plan], block.heads
        most = (plan.burst + plan.slack) / n
        level, last = most, seconds[0]
        for second in seconds:
            have = min(most, level + plan.limit / n * (second - last + 1))
            last = second + 1
            units = asked[(volume, second)]
            level = max(0.0, have - units)
            found[(volume, second)] = 1.0 if units > have else 0.0
    return found


def part_of(day: DayFacts, begin: float, end: float) -> float:
    """Service of what was due between two times."""
    due = got = 0.0
    for name, op in day.ops.items():
        if begin <= op["t"] < end:
            worth, earned = day.earned(name)
            due, got = due + worth, got + earned
    return got / due if due else 0.0


_WORLD: World | None = None


def _begin(world: World) -> None:
    global _WORLD
    _WORLD = world


def _work(trial: Trial) -> TrialResult:
    assert _WORLD is not None
    return play_trial(_WORLD, trial)


class Pool:
    """Trials in parallel processes; what was played by an interrupt is kept."""

    def __init__(self, world: World, jobs: int) -> None:
        self.executor = ProcessPoolExecutor(jobs, initializer=_begin, initargs=(world,))

    def play(self, batch: list[Trial], said: Callable[[str], None]) -> Iterator[TrialResult]:
        futures = [self.executor.submit(_work, trial) for trial in batch]
        for number, future in enumerate(as_completed(futures), 1):
            yield future.result()
            said(f"trial {number} of {len(batch)}")

    def close(self) -> None:
        self.executor.shutdown(wait=False, cancel_futures=True)


def run_plan(planner: Any, world: World, jobs: int, said: Callable[[str], None]) -> bool:
    """Feeds the planner until it asks for nothing more; False where it was interrupted."""
    pool = Pool(world, jobs)
    try:
        while batch := planner.next_batch():
            for result in pool.play(batch, said):
                planner.add_results([result])
        return True
    except KeyboardInterrupt:
        return False
    finally:
        pool.close()
