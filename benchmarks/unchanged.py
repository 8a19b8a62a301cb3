"""Whether a checkout does what another one did, seen from outside: digests of what its commands print and write.

    python benchmarks/unchanged.py --saved tests/compatibility/figures.json [--part days --part checks --part live]
    python benchmarks/unchanged.py --save FILE [--checkout ../other-checkout]

days     records and summary of virtual days, ten seeds each
checks   `check --show` of each example and each day that ships
live     names of metrics and of all keys of the console's JSON, of running processes (see unchanged_live.py)

Only commands are called, in the words of 6837705, so that a checkout with other names can be compared with the file
that one wrote. What states the version of the program is left out.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import hashlib
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from unchanged_live import live

HERE = Path(__file__).resolve().parent.parent
DAYS: dict[str, tuple[str, ...]] = {"struck": ("--draw-faults", "4"), "silent-shelfs": (), "rsync-tender": ()}
SEEDS = range(1, 11)


class Program:
    """The commands of one checkout, run in a folder of its own."""

    def __init__(self, checkout: Path, folder: Path) -> None:
        self.checkout, self.folder = checkout, folder
        self.env = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1"}

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-P", "-m", "pebblehinge", *words]

    def run(self, *words: str) -> tuple[int, str]:
        """The exit status and what is printed."""
        done = subprocess.run(self.command(*words), env=self.env, cwd=self.folder, capture_output=True, text=True)
        return done.returncode, done.stdout

    def start(self, *words: str) -> subprocess.Popen[str]:
        """A process that has said that it is ready."""
        process = subprocess.Popen(
            self.command(*words), env=self.env, cwd=self.folder, stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        if process.stdout.readline() != "ready\n":
            process.kill()
            raise RuntimeError(f"{' '.join(words)}: it did not start")
        return process


def digest(*parts: bytes) -> str:
    return hashlib.sha256(b"\0".join(parts)).hexdigest()[:16]


def day(program: Program, name: str, seed: int, options: tuple[str, ...]) -> dict[str, Any]:
    """One virtual day: a digest of each record file, the exit status, and the summary's."""
    folder = program.folder / f"{name}-{seed}"
    folder.mkdir()
    words = ("lab", "day", name, "--virtual", "--quiet", "--json", "--seed", str(seed), "--records", str(folder))
    status, printed = program.run(*words, *options)
    summary = json.loads(printed)
    summary.pop("program")
    records = {path.name: digest(path.read_bytes()) for path in sorted(folder.iterdir())}
    return {"status": status, "summary": digest(json.dumps(summary).encode()), "records": records}


def days(program: Program, jobs: int) -> dict[str, Any]:
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        found = {
            f"{name} {seed}": pool.submit(day, program, name, seed, options)
            for name, options in DAYS.items()
            for seed in SEEDS
        }
        return {name: future.result() for name, future in found.items()}


def checks(program: Program, jobs: int) -> dict[str, Any]:
    files = sorted((program.checkout / "examples").glob("*.conf"))
    files += sorted((program.checkout / "pebblehinge" / "lab" / "days").glob("*.conf"))
    names = [file.relative_to(program.checkout).as_posix() for file in files]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        shown = list(pool.map(lambda file: program.run("check", "--show", str(file)), files))
    return {
        name: {"status": status, "shown": digest(printed.encode())}
        for name, (status, printed) in zip(names, shown, strict=True)
    }


PARTS = {"days": days, "checks": checks, "live": lambda program, jobs: live(program)}


def figures(checkout: Path, parts: list[str], jobs: int) -> dict[str, Any]:
    """All figures of a checkout, by part."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(checkout, Path(folder))
        return {part: PARTS[part](program, jobs) for part in parts}


def differences(now: Any, before: Any, place: str = "") -> list[str]:
    """The places at which two sets of figures differ."""
    if isinstance(now, dict) and isinstance(before, dict):
        keys = sorted(now.keys() | before.keys())
        return [line for key in keys for line in differences(now.get(key), before.get(key), f"{place}/{key}")]
    return [] if now == before else [f"{place}: {now!r}, before {before!r}"]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--saved", type=Path, help="compare with this file")
    parser.add_argument("--save", type=Path, help="write this file")
    parser.add_argument("--checkout", type=Path, default=HERE, help="whose commands; else this checkout's")
    parser.add_argument("--part", action="append", choices=list(PARTS), help="only this; may be said again")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    if (options.saved is None) == (options.save is None):
        parser.error("name one file: --saved or --save")
    parts = options.part or list(PARTS)
    now = figures(options.checkout.resolve(), parts, options.jobs)
    if options.save is not None:
        options.save.write_text(json.dumps(now, indent=1) + "\n")
        return 0
    before = json.loads(options.saved.read_text())
    found = differences(now, {part: before[part] for part in parts})
    for line in found:
        print(line)
    print(f"{', '.join(parts)}: {len(found)} differ")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
