"""Service and late share, first 20 s after all heads died at once: with fresh memory, without, with stale memory.

    python benchmarks/memory_gain.py [PAIRS]

Full size (`full_archive.conf`), virtual time, simulated. Five shelfs are slow, four cold while the heads are away for
half a second. Stale: the same memory, said to be ten minutes older. Seeds are paired.
"""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import numpy as np

from pebblehinge.lab.simulated_fleet import play
from pebblehinge.settings.load import load
from pebblehinge.settings.schema import DayBlock, ScheduledFault

CONF = Path(__file__).parent / "full_archive.conf"
CRASH_MS, AWAY_MS, LOOK_MS = 10_000.0, 500.0, 20_000.0
KINDS = {"without": None, "fresh": 0.0, "stale": 600_000.0}


def one(job: tuple[int, str]) -> tuple[int, str, float, float]:
    seed, kind = job
    config = load(str(CONF))
    name = "memory"
    heads, shelfs = list(config.head), list(config.shelf)
    at = [
        ScheduledFault(at=2_000.0, name="slow", target=shelfs[:5], by=3.0, last=25_000.0),
        ScheduledFault(at=9_000.0, name="mass-restart", target=shelfs[5:9], last=500.0),
        ScheduledFault(at=CRASH_MS, name="head-crash", target=heads, last=AWAY_MS),
    ]
    config.day[name] = DayBlock(length=CRASH_MS + AWAY_MS + LOOK_MS, at=at)
    village, _ = play(config, name, seed, snapshot_age_ms=KINDS[kind])
    facts = village.facts()
    due = got = 0.0
    late = count = 0
    begin = facts.begin + CRASH_MS + AWAY_MS
    for op, row in facts.ops.items():
        if row["t"] >= begin:
            worth, earned = facts.earned(op)
            due, got = due + worth, got + earned
            done = facts.done.get(op, {"final": "", "took": 0.0})
            count += 1
            late += done["final"] == "honoured" and done["took"] > config.profile[row["profile"]].expected
    broken = [r for r, v in facts.check_rules().items() if not v.told()["kept"]]
    assert not broken, (seed, kind, broken)
    return seed, kind, got / due, late / count


def main() -> None:
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    found: dict[str, dict[int, float]] = {kind: {} for kind in KINDS}
    lates: dict[str, list[float]] = {kind: [] for kind in KINDS}
    with ProcessPoolExecutor() as executor:
        for seed, kind, service, late in executor.map(one, [(s, k) for s in range(pairs) for k in KINDS]):
            found[kind][seed] = service
            lates[kind].append(late)
    told = {kind: {"service": round(float(np.mean(list(by.values()))), 4)} for kind, by in found.items()}
    for kind in KINDS:
        told[kind]["late share"] = round(float(np.mean(lates[kind])), 4)
    for kind in ("fresh", "stale"):
        gains = [found[kind][s] - found["without"][s] for s in range(pairs)]
        told[kind]["against without"] = round(float(np.mean(gains)), 4)
        told[kind]["each"] = [round(g, 4) for g in gains]
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
