"""Slopes of single roles for docs/CAPACITY.md: what one connection, row, access, version adds to a process.

    python benchmarks/slopes.py PART [--out FILE] [--beside WHAT]

Each part is short (under a minute or two on one core) and measures at four sizes or more. Processes are measured from
outside (resident memory, time on a core); what is measured in this process is its own processor time, the least of
several runs. `--out` writes the run with its points as capacity_page.py takes it in, and refuses a changed tree.
"""

from __future__ import annotations

import argparse
import datetime
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
Point = dict[str, dict[str, Any]]


def point(x: dict[str, Any], **y: float) -> Point:
    return {"x": x, "y": {k: round(v, 3) if isinstance(v, float) else v for k, v in y.items()}}


def resident_kib(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


def on_core_ms(pid: int) -> float:
    """Time that the process has been on a core, all threads."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except OSError:  # a thread that has ended
            pass
    return total / 1e6


def least_ms(call: Callable[[], Any], times: int = 7) -> float:
    """Processor time of a call in this process, the least of several."""
    found = []
    for _ in range(times):
        began = time.process_time_ns()
        call()
        found.append(time.process_time_ns() - began)
    return min(found) / 1e6


class Child:
    """A process that says a line when it serves; ended by its own id."""

    def __init__(self, *words: str, said: str | None = None, stdin: bool = False, **environ: str) -> None:
        out = subprocess.PIPE if said else subprocess.DEVNULL
        self.process = subprocess.Popen(
            [sys.executable, *words],
            stdin=subprocess.PIPE if stdin else subprocess.DEVNULL,
            stdout=out,
            stderr=subprocess.DEVNULL,
            env={**os.environ, **environ},
        )
        self.pid = self.process.pid
        if said and self.process.stdout is not None:
            while (line := self.process.stdout.readline().decode()).strip() != said:
                if not line:
                    raise RuntimeError(f"{words}: ended with {self.process.wait()}")

    def say(self, line: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line.encode() + b"\n")
        self.process.stdin.flush()

    def __enter__(self) -> Child:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                pipe.close()


def git(*words: str) -> str:
    return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def main() -> int:
    sys.path.insert(0, str(Path(__file__).resolve().parent))
    import slopes_framed
    import slopes_inside
    import slopes_list
    import slopes_service

    parts = {**slopes_service.PARTS, **slopes_framed.PARTS, **slopes_list.PARTS, **slopes_inside.PARTS}
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("part", choices=sorted(parts))
    parser.add_argument("--out", help="write the run with its points here")
    parser.add_argument("--beside", default="nothing", help="what ran on the machine meanwhile")
    parser.add_argument("--small", action="store_true", help="the two smallest sizes only: a trial, not written")
    given = parser.parse_args()
    if given.out and (given.small or git("status", "--porcelain", "--", "pebblehinge", "benchmarks/*.py")):
        print("slopes: a run that is kept needs whole sizes and a tree without changes", file=sys.stderr)
        return 2
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    measure, note = parts[given.part]
    points = measure(given.small)
    for row in points:
        print(json.dumps(row), file=sys.stderr)
    if given.out:
        run = {
            "id": f"slope-{given.part}",
            "command": f"python benchmarks/slopes.py {given.part}",
            "commit": git("rev-parse", "HEAD"),
            "date": datetime.date.today().isoformat(),
            "beside": given.beside,
            "kind": "measured",
        }
        Path(given.out).write_text(json.dumps({"run": run, "points": points, "note": note}, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
