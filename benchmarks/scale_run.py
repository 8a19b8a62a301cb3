"""The control of a fleet at size: real instances, heads with clients and shelfs, beside hollow heads and shelfs.

    python benchmarks/scale_run.py --heads 200 --shelfs 30 --members 3 --seed 1 --event version --json

Hollow heads share processes and are the program's own classes for what a head does towards the group and the node
list, without clients. docs/scale-run.md says what is measured, and what is not.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from scale import report
from scale.bounds import TooMuch, Watch, check
from scale.events import EVENTS, Events
from scale.following import summed
from scale.settings import scale_text
from scale.stage import ScaleStage

import pebblehinge
from pebblehinge.lab.check import DayFacts
from pebblehinge.lab.days import DayError
from pebblehinge.lab.processes import own_loopback
from pebblehinge.lab.verdict import all_checks_pass, summary
from pebblehinge.settings.load import loads


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--heads", type=int, default=50, help="hollow and real ones together")
    parser.add_argument("--shelfs", type=int, default=30, help="hollow and real ones together")
    parser.add_argument("--members", type=int, choices=(3, 5), default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--event", choices=EVENTS, default="version")
    parser.add_argument("--regions", action="store_true", help="two of them, 40 ms apart there and back")
    parser.add_argument("--length", type=float, default=20.0, help="seconds of load on the real heads")
    parser.add_argument("--rate", type=float, default=60.0, help="runs of accesses a second on the real heads")
    parser.add_argument("--cap", type=float, default=30.0, help="seconds that a version or return is waited for")
    parser.add_argument("--spread", type=int, default=0, help="hollow shelfs that each hollow head has links to")
    parser.add_argument(
        "--trips", dest="attempts", type=float, default=0.0, help="trips a second of each hollow head to those"
    )
    parser.add_argument(
        "--text",
        choices=("flat", "short"),
        default="flat",
        help="of versions: as `config propose` sends it, every default spelled out, or as the file has it",
    )
    parser.add_argument("--no-counting", action="store_true", help="no frames are counted: what counting costs")
    parser.add_argument("--keep", type=Path, help="a new folder for settings, records and figures of the run")
    parser.add_argument("--json", action="store_true")
    return parser.parse_args()


async def play(stage: ScaleStage) -> dict[str, Any]:
    """The whole run under its bounds; ends every process that it started, however it ends."""
    loop, me = asyncio.get_running_loop(), asyncio.current_task()
    assert me is not None
    for sig in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(sig, me.cancel)
    watch = Watch(stage.pids)
    tasks = [asyncio.ensure_future(stage.play()), asyncio.ensure_future(watch.run())]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        known = next(iter(done)).result()
    finally:
        for task in tasks:
            task.cancel()
        stage.abandon()
    return {**known, "most_mb": watch.most_bytes >> 20, "most_processes": watch.most_processes}


def told_of(given: argparse.Namespace, folder: Path, stage: ScaleStage, known: dict[str, Any]) -> dict[str, Any]:
    """The object that `--json` prints."""
    events: Events = stage.events  # type: ignore[assignment]
    events.following.look()
    lines = {path.stem: report.Line(path) for path in sorted(stage.figures.glob("*.samples"))}
    windows = {n: report.window(lines, *w, given.heads) for n, w in events.told.pop("windows").items()}
    report.versions(lines, events.told["versions"], windows["rest"], given.heads)
    for row in events.told["versions"]:
        row.pop("asked"), row.pop("until", None)
    day = summary(DayFacts.read(folder, stage.config), "struck", given.seed, {"faults": known["faults"]})
    return {
        "heads": given.heads,
        "shelfs": given.shelfs,
        "members": given.members,
        "seed": given.seed,
        "event": given.event,
        "regions": given.regions,
        "counted": not given.no_counting,
        "text": given.text,
        "cap_s": given.cap,
        "program": pebblehinge.__version__,
        "commit": commit(),
        "most_mb": known["most_mb"],
        "most_processes": known["most_processes"],
        "load_late_ms": round(known["late_ms"], 1),
        "faults": known["faults"],
        "relay_late_ms": known.get("script", {}).get("relay_late_ms"),
        **events.told,
        "trips": dict(events.following.attempts),
        "parts_summed": summed(events.following.rows, events.versions.limits),
        "real": {k: day[k] for k in ("service", "worst_second", "latency_ms", "answers", "accesses")},
        "rules_kept": all_checks_pass(day),
        "rules": {r: v for r, v in day["rules"].items() if not v["kept"]},
        "windows": windows,
    }


def commit() -> str:
    """Of the program that ran, with a mark where it was changed since."""
    where = Path(pebblehinge.__file__).parent
    done = subprocess.run(["git", "-C", str(where), "describe", "--always", "--dirty"], capture_output=True, text=True)
    return done.stdout.strip()


def run(given: argparse.Namespace, folder: Path) -> dict[str, Any]:
    loopback = own_loopback()
    text = scale_text(given.heads, given.members, given.length, given.rate, loopback)
    path = folder / "settings.conf"
    path.write_text(text)
    began = time.monotonic()
    said = (lambda line: None) if given.json else (lambda line: print(line, file=sys.stderr, flush=True))

    events = Events(given.event, given.seed, given.cap, text if given.text == "short" else "")

    async def whole() -> dict[str, Any]:
        stage = ScaleStage(
            asyncio.get_running_loop(),
            loads(text, loopback=loopback),
            path,
            given.seed,
            folder / "records",
            loopback,
            said,
            given.heads,
            given.shelfs,
            events,
            given.regions or given.event == "cut",
            not given.no_counting,
            given.spread,
            given.attempts,
        )
        known = await play(stage)
        return told_of(given, folder / "records", stage, known)

    with asyncio.Runner() as runner:
        return {**runner.run(whole()), "seconds": round(time.monotonic() - began, 1)}


def main() -> int:
    given = parse()
    try:
        check(given.heads, given.shelfs, given.members)
        if given.keep is not None:
            given.keep.mkdir(parents=True)
            told = run(given, given.keep)
        else:
            with tempfile.TemporaryDirectory(prefix="pebblehinge-") as folder:
                told = run(given, Path(folder))
    except (TooMuch, DayError, OSError) as error:
        print(f"scale run: {error}", file=sys.stderr)
        return 2
    except asyncio.CancelledError:
        print("scale run: interrupted, all that it started is ended", file=sys.stderr)
        return 130
    print(json.dumps(told, indent=None if given.json else 1))
    return 0 if told["rules_kept"] and not told["faults"] and not told["parts_summed"]["over"] else 1


if __name__ == "__main__":
    sys.exit(main())
