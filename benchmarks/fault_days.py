"""Drawn scripts of faults on a fleet with a group, judged by the seven rules; broken ones are shrunk and printed.

    python benchmarks/fault_days.py --seeds 0 200                      # virtual time, all cores
    python benchmarks/fault_days.py --seeds 0 5 --processes --heads 24 --shelfs 8 --members 5 --length 20

Judged from what crossed the sockets. A fleet in virtual time may have 1,000 heads.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from pebblehinge.lab.check import DayFacts
from pebblehinge.lab.faults.draw import draw, participants_of, shrink
from pebblehinge.lab.faults.script import Fault, write
from pebblehinge.lab.processes import ProcessFleet, own_loopback
from pebblehinge.lab.simulated_fleet import VillageError, play
from pebblehinge.lab.verdict import summary
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

DAYS = Path(__file__).resolve().parent.parent / "pebblehinge" / "lab" / "days"


def text_of(heads: int, shelfs: int, members: int, length: float, rate: float) -> str:
    """The struck day with so many of each."""
    text = (DAYS / "_common.conf").read_text() + (DAYS / "struck.conf").read_text()
    text = text.replace("include _common.conf\n", "")
    text = text.replace("heads 5\n", f"heads {heads}\n").replace("shelfs 4\n", f"shelfs {shelfs}\n")
    text = text.replace("rate 100/s", f"rate {rate:g}/s").replace("length 12s", f"length {length:g}s")
    text = re.sub(r"member \w+ \{[^}]*\}\n", "", text)
    return text + "".join(f"member g{n} {{\n listen 127.0.0.1:{6000 + n}\n}}\n" for n in range(1, members + 1))


def virtual(config: Config, seed: int, script: list[Fault]) -> dict[str, Any]:
    try:
        village, known = play(config, "struck", seed, script=script)
    except (VillageError, RuntimeError, AssertionError) as error:
        return {"seed": seed, "fault": f"{type(error).__name__}: {error}", "broken": ["program"]}
    return judged(village.facts(), seed, known)


def judged(facts: DayFacts, seed: int, known: dict[str, Any]) -> dict[str, Any]:
    told = summary(facts, "struck", seed, {"faults": known["faults"]})
    broken = {rule: said["first"] for rule, said in told["rules"].items() if not said["kept"]}
    if known["faults"]:
        broken["fleet"] = known["faults"][0]
    return {
        "seed": seed,
        "service": told["service"],
        "ends": told["ends"],
        "broken": sorted(broken),
        "first": broken,
        "faults": known["faults"],
        **known["script"],
    }


def one(job: tuple[str, int, int]) -> dict[str, Any]:
    text, seed, count = job
    config = loads(text)
    script = draw(participants_of(config), seed, config.day["struck"].length, count)
    row = virtual(config, seed, script)
    row["script"] = write(script)
    if row["broken"]:
        of = set(row["broken"])
        row["script"] = write(shrink(script, lambda some: of <= set(virtual(config, seed, some)["broken"]), 60))
    return row


def on_processes(text: str, seed: int, count: int) -> dict[str, Any]:
    loopback = own_loopback()
    config = loads(text, loopback=loopback)
    script = draw(participants_of(config), seed, config.day["struck"].length, count)

    async def whole(folder: Path) -> dict[str, Any]:
        path = folder / "settings.conf"
        path.write_text(text)
        stage = ProcessFleet(
            asyncio.get_running_loop(),
            config,
            path,
            "struck",
            seed,
            folder / "records",
            loopback,
            lambda line: None,
            script,
        )
        try:
            return await stage.play()
        finally:
            stage.abandon()

    with tempfile.TemporaryDirectory(prefix="pebblehinge-") as folder, asyncio.Runner() as runner:
        known = runner.run(whole(Path(folder)))
        row = judged(DayFacts.read(Path(folder) / "records", config), seed, known)
    return row | {"script": write(script)}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs=2, default=(0, 50), metavar=("FIRST", "COUNT"))
    parser.add_argument("--processes", action="store_true")
    for name, usual in (("heads", 5), ("shelfs", 4), ("members", 3), ("faults", 6), ("jobs", 0)):
        parser.add_argument(f"--{name}", type=int, default=usual)
    parser.add_argument("--length", type=float, default=12.0, help="seconds")
    parser.add_argument("--rate", type=float, default=100.0, help="runs of accesses a second")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    text, seeds = (
        text_of(told.heads, told.shelfs, told.members, told.length, told.rate),
        range(told.seeds[0], told.seeds[0] + told.seeds[1]),
    )
    began = time.monotonic()
    if told.processes:
        rows = [on_processes(text, seed, told.faults) for seed in seeds]
    else:
        with ProcessPoolExecutor(told.jobs or None) as pool:
            rows = list(pool.map(one, [(text, seed, told.faults) for seed in seeds]))
    services = [row["service"] for row in rows if "service" in row]
    whole = {
        "runs": len(rows),
        "broken": sum(bool(r["broken"]) for r in rows),
        "faults": sum(bool(r.get("faults")) for r in rows),
        "lines": sum(r.get("scripted", 0) for r in rows),
        "struck": sum(r.get("struck", 0) for r in rows),
        "service": round(sum(services) / max(1, len(services)), 4),
        "worst": min(services, default=0.0),
        "relay_late_ms": max((r.get("relay_late_ms", 0.0) for r in rows), default=0.0),
        "seconds": round(time.monotonic() - began, 1),
    }
    for row in rows:
        if row["broken"] or row.get("faults"):
            print(f"seed {row['seed']}: {row.get('first') or row.get('fault') or row['faults']}\n{row['script']}")
    print(json.dumps(whole | ({"rows": rows} if told.json else {})))
    return 1 if whole["broken"] or whole["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
