"""Measures service and late share in the first 20 s after all gateways crashed: with fresh, no or stale memory.

    python benchmarks/memory_gain.py [PAIRS]

Simulates the full size (`full_archive.conf`) in virtual time. Five storage nodes are slow and four in slow start
while the gateways are down for half a second. Stale memory is the same memory with an age of ten minutes. Seeds are
paired.
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

CONFIG_PATH = Path(__file__).parent / "full_archive.conf"
CRASH_MS, DOWNTIME_MS, OBSERVATION_MS = 10_000.0, 500.0, 20_000.0
MEMORY_AGES_MS = {"without": None, "fresh": 0.0, "stale": 600_000.0}


def measure_run(run_key: tuple[int, str]) -> tuple[int, str, float, float]:
    """Simulates one seed with one kind of memory; returns both, the service and the late share."""
    seed, memory_kind = run_key
    config = load(str(CONFIG_PATH))
    day_name = "memory"
    gateways, nodes = list(config.head), list(config.shelf)
    faults = [
        ScheduledFault(at=2_000.0, name="slow", target=nodes[:5], by=3.0, last=25_000.0),
        ScheduledFault(at=9_000.0, name="mass-restart", target=nodes[5:9], last=500.0),
        ScheduledFault(at=CRASH_MS, name="head-crash", target=gateways, last=DOWNTIME_MS),
    ]
    config.day[day_name] = DayBlock(length=CRASH_MS + DOWNTIME_MS + OBSERVATION_MS, at=faults)
    village, _ = play(config, day_name, seed, snapshot_age_ms=MEMORY_AGES_MS[memory_kind])
    facts = village.facts()
    due_value = earned_value = 0.0
    late_count = request_count = 0
    observation_start_ms = facts.begin + CRASH_MS + DOWNTIME_MS
    for request_id, row in facts.ops.items():
        if row["t"] >= observation_start_ms:
            due, earned = facts.earned(request_id)
            due_value, earned_value = due_value + due, earned_value + earned
            final_answer = facts.done.get(request_id, {"final": "", "took": 0.0})
            request_count += 1
            late_count += (
                final_answer["final"] == "honoured" and final_answer["took"] > config.profile[row["profile"]].expected
            )
    violated_rules = [r for r, v in facts.check_rules().items() if not v.told()["kept"]]
    assert not violated_rules, (seed, memory_kind, violated_rules)
    return seed, memory_kind, earned_value / due_value, late_count / request_count


def main() -> None:
    """Prints the means of all seeds, and the gain of each seed against the run without memory, as JSON."""
    pair_count = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    service_by_kind: dict[str, dict[int, float]] = {memory_kind: {} for memory_kind in MEMORY_AGES_MS}
    late_shares_by_kind: dict[str, list[float]] = {memory_kind: [] for memory_kind in MEMORY_AGES_MS}
    with ProcessPoolExecutor() as executor:
        for seed, memory_kind, service, late_share in executor.map(
            measure_run, [(s, k) for s in range(pair_count) for k in MEMORY_AGES_MS]
        ):
            service_by_kind[memory_kind][seed] = service
            late_shares_by_kind[memory_kind].append(late_share)
    summary = {
        memory_kind: {"service": round(float(np.mean(list(service_by_seed.values()))), 4)}
        for memory_kind, service_by_seed in service_by_kind.items()
    }
    for memory_kind in MEMORY_AGES_MS:
        summary[memory_kind]["late share"] = round(float(np.mean(late_shares_by_kind[memory_kind])), 4)
    for memory_kind in ("fresh", "stale"):
        gains = [service_by_kind[memory_kind][s] - service_by_kind["without"][s] for s in range(pair_count)]
        summary[memory_kind]["against without"] = round(float(np.mean(gains)), 4)
        summary[memory_kind]["each"] = [round(g, 4) for g in gains]
    print(json.dumps(summary, indent=1))


if __name__ == "__main__":
    main()
