"""A fleet with a group at the size that is coming, in virtual time: what its day costs a core, and what holds.

    python benchmarks/virtual_size.py --heads 910 --shelfs 40 --members 5 --length 60 --seed 1 --json

Versions are proposed all the while, as on every struck day; `--faults N` draws so many lines of faults besides.
`seconds` and `judging` are processor time of this process, `peak_mb` its largest resident memory, `writes` counts what
was written to connections (several frames may go in one write), `digest` names the records: the same for the same seed
and program. With `--most S` a run that took S seconds of processor time ends and tells how far it came.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import resource
import signal
import sys
import time
from typing import Any

import msgspec
from fault_days import judged, text_of

from pebblehinge.lab.faults.draw import draw, participants_of
from pebblehinge.lab.simulated_fleet import SimulatedFleet, VillageError, play
from pebblehinge.settings.load import loads


class Spent(KeyboardInterrupt):
    """The processor time is used up. Not an Exception: the loop has to let it through."""


def _spent(*_: Any) -> None:
    raise Spent(getattr(asyncio.get_event_loop(), "now", 0.0))


def digest_of(village: SimulatedFleet) -> str:
    """What all records and captures of a day come to."""
    whole = hashlib.sha256()
    for name, notes in sorted(village.record_logs.items()):
        whole.update(msgspec.json.encode((name, notes.rows)))
    for name, data in sorted(village.captures.items()):
        whole.update(name.encode() + bytes(data))
    return whole.hexdigest()[:16]


def writes(village: SimulatedFleet) -> dict[str, int]:
    """How often something was written to connections, by who wrote to whom."""
    roles = {
        **dict.fromkeys(village.config.head, "head"),
        **dict.fromkeys(village.config.member, "instance"),
        **dict.fromkeys(village.config.shelf, "shelf"),
    }
    found: dict[str, int] = {}
    for (source, to), count in village.virtual_loop.net.send_counts.items():
        key = f"{roles.get(source, 'other')} to {roles.get(to, 'other')}"
        found[key] = found.get(key, 0) + count
    return dict(sorted(found.items()))


def peak_mb() -> float:
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1)


def run(told: argparse.Namespace) -> dict[str, Any]:
    text = text_of(told.heads, told.shelfs, told.members, told.length, told.rate)
    config = loads(text)
    script = draw(participants_of(config), told.seed, told.length * 1000.0, told.faults) if told.faults else []
    keys = ("heads", "shelfs", "members", "length", "rate", "seed", "faults")
    row: dict[str, Any] = {key: getattr(told, key) for key in keys}
    began, loop_began = time.process_time(), 1000.0
    if told.most:
        signal.signal(signal.SIGPROF, _spent)
        signal.setitimer(signal.ITIMER_PROF, told.most)
    try:
        village, known = play(config, "struck", told.seed, script=script)
    except Spent as spent:
        reached, seconds = float(spent.args[0]) - loop_began, time.process_time() - began
        row |= {"through": False, "reached_s": round(reached, 2), "seconds": round(seconds, 1)}
        return row | {"peak_mb": peak_mb()}
    except (VillageError, RuntimeError, AssertionError) as error:
        return row | {"through": False, "fault": f"{type(error).__name__}: {error}"}
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
    played = time.process_time()
    result = judged(village.facts(), told.seed, known)
    asked = [r["ok"] for r in village.records.rows if r["e"] == "proposed"]
    return row | {
        "through": True,
        "reached_s": round(village.virtual_loop.now - loop_began, 2),
        "seconds": round(played - began, 1),
        "judging": round(time.process_time() - played, 1),
        "peak_mb": peak_mb(),
        "service": result["service"],
        "ends": result["ends"],
        "broken": result["broken"],
        "first": result["first"],
        "word": known["faults"],
        "proposed": len(asked),
        "said_yes": sum(asked),
        "writes": writes(village),
        "digest": digest_of(village),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name, usual in (("heads", 50), ("shelfs", 8), ("members", 5), ("seed", 1), ("faults", 0)):
        parser.add_argument(f"--{name}", type=int, default=usual)
    parser.add_argument("--length", type=float, default=5.0, help="seconds of the day")
    parser.add_argument("--rate", type=float, default=100.0, help="runs of accesses a second")
    parser.add_argument("--most", type=float, default=0.0, help="seconds of processor time after which it is given up")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    row = run(told)
    print(json.dumps(row) if told.json else "\n".join(f"{key}: {value}" for key, value in row.items()))
    return 0 if row["through"] and not row["broken"] else 1


if __name__ == "__main__":
    sys.exit(main())
