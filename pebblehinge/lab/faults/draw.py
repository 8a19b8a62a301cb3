"""Random fault scripts by seed, and their reduction to the fewest lines that reproduce a failure. No I/O, no clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from pebblehinge.lab.faults.script import BOTH, KINDS, PROCESS, Fault, read, write
from pebblehinge.settings import Config

# Ranges of a generated fault: its duration in ms, and its magnitude in the unit of its kind.
DURATIONS_MS = {"kill": (300.0, 4000.0), "freeze": (100.0, 6000.0)}
DEFAULT_DURATION_MS = (400.0, 5000.0)
MAGNITUDES = {
    "delay": (20.0, 1500.0),
    "slow": (2048.0, 65536.0),
    "lose": (0.05, 0.9),
    "repeat": (0.05, 0.9),
    "drift": (-0.002, 0.002),
    "wall": (-20_000.0, 20_000.0),
    "disk-slow": (5.0, 400.0),
}
DATAGRAMS = ("lose", "repeat")
WEIGHTS = {"cut": 5, "silent": 4, "kill": 5, "freeze": 4, "delay": 3, "reset": 3, "half-open": 2}


@dataclass(slots=True, frozen=True)
class Participants:
    """Processes of a fleet. Disk and clock faults hit gateways and members only: nodes and loads supply evidence."""

    heads: tuple[str, ...]
    shelfs: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    rest: tuple[str, ...] = ()  # discovery and load processes
    together: bool = False  # gateways send each other messages and datagrams

    @property
    def names(self) -> tuple[str, ...]:
        return (*self.heads, *self.shelfs, *self.members, *self.rest)


def participants_of(config: Config) -> Participants:
    """Returns all processes of a day's settings."""
    loads = tuple(f"load{n + 1}" for n in range(config.load.processes))
    return Participants(tuple(config.head), tuple(config.shelf), tuple(config.member), ("listing", *loads))


def draw(
    participants: Participants, seed: int, length_ms: float, count: int = 6, without: tuple[str, ...] = ()
) -> list[Fault]:
    """Generates `count` faults that overlap in the middle of a run and end before its last eighth."""
    rng = random.Random(f"{seed}/faults")
    kinds = [k for k in KINDS if k not in without and (participants.together or k not in DATAGRAMS)]
    own = [*participants.heads, *participants.members]
    found: list[Fault] = []
    while len(found) < count:
        kind = rng.choices(kinds, [WEIGHTS.get(k, 2) for k in kinds])[0]
        form, unit, lasts = KINDS[kind]
        at = round(rng.uniform(0.1, 0.7) * length_ms)
        last = (
            round(min(rng.uniform(*DURATIONS_MS.get(kind, DEFAULT_DURATION_MS)), 0.875 * length_ms - at))
            if lasts
            else 0
        )
        low, high = MAGNITUDES.get(kind, (0.0, 0.0))
        by = rng.uniform(low, high)
        by = 0.0 if unit is None else round(by, 4) if unit == "%" else float(round(by))
        folder, old, others = "", 0, ()
        if form == PROCESS:
            pool = own if kind not in ("kill", "freeze") else [*own, *participants.shelfs]
            some = tuple(rng.sample(pool, min(len(pool), rng.choice((1, 1, 2)))))
            if kind == "kill" and all(n in participants.heads for n in some):  # Raft members must keep state
                folder = rng.choice(("", "", "old", "empty"))
                old = round(rng.uniform(0.1, 0.9) * at) if folder == "old" else 0
        else:
            some, others = _sides(participants, rng, form == BOTH and kind == "cut")
        if (last or not lasts) and (by or unit is None):
            found.append(Fault(float(at), kind, some, others, by, float(last), folder, float(old)))
    # Formatting and parsing makes the played script equal to its text.
    return read(write(found), participants.names)


def _sides(participants: Participants, rng: random.Random, halves: bool) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Picks two processes that communicate; for cuts, sometimes splits the fleet in two."""
    if halves and rng.random() < 0.4 and len(participants.heads) > 1:
        everyone = [*participants.heads, *participants.members]
        rng.shuffle(everyone)
        half = max(1, len(everyone) // 2)
        return tuple(sorted(everyone[:half])), tuple(sorted(everyone[half:]))
    head = rng.choice(participants.heads)
    others = tuple(h for h in participants.heads if h != head) if participants.together else ()
    pools = [p for p in (participants.shelfs, participants.members, participants.rest, others) if p]
    other = rng.choice(rng.choice(pools))
    if len(participants.members) > 1 and rng.random() < 0.2:
        head, other = rng.sample(participants.members, 2)
    return ((head,), (other,)) if rng.random() < 0.5 else ((other,), (head,))


def shrink(faults: list[Fault], shows: Callable[[list[Fault]], bool], tries: int = 200) -> list[Fault]:
    """Removes as many faults as possible, in halves, then one by one.

    `shows` plays a script and returns whether the failure still occurs; it is called at most `tries` times.
    """
    size = max(1, len(faults) // 2)
    while tries:
        at, gone = 0, False
        while at < len(faults) and tries:
            fewer = faults[:at] + faults[at + size :]
            tries -= 1
            if fewer != faults and shows(fewer):
                faults, gone = fewer, True
            else:
                at += size
        if size == 1 and not gone:
            break
        size = max(1, size // 2)
    return faults
