"""What running processes show: names of metrics with their labels, and all keys of the JSON that is served.

One gateway with rsync, buffered writes, accounts and a group of one member, two storage nodes and the endpoint list,
as tests/compatibility/live.conf says; a short load and one copy pass through it.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import time
import urllib.request
from pathlib import Path
from typing import Any, Protocol

SETTINGS = Path(__file__).resolve().parent.parent / "tests" / "compatibility" / "live.conf"
SAMPLE = re.compile(r"(\w+)(?:\{(.*)\})? \S+")
LABEL = re.compile(r'(\w+)="([^"]*)"')
FREE = {"why"}  # labels whose values depend on what happened
SPAN_S = 1.0  # in which a snapshot's rates are counted


class Program(Protocol):
    """The commands of a checkout."""

    folder: Path

    def run(self, *words: str) -> tuple[int, str]: ...
    def start(self, *words: str) -> subprocess.Popen[str]: ...


def fetch(address: str) -> str:
    with urllib.request.urlopen(f"http://{address}", timeout=10.0) as response:
        return str(response.read().decode())


def metrics(text: str) -> list[str]:
    """Families with their types, and samples with their labels."""
    found = {line.removeprefix("# TYPE ") for line in text.splitlines() if line.startswith("# TYPE ")}
    for line in text.splitlines():
        if (sample := SAMPLE.fullmatch(line)) and not line.startswith("#"):
            labels = [f"{k}={'*' if k in FREE else v}" for k, v in LABEL.findall(sample[2] or "")]
            found.add(" ".join([sample[1], *labels]))
    return sorted(found)


def keys(value: Any, place: str = "") -> set[str]:
    """The places of all keys; elements of a list share theirs, and each ends with its type."""
    if isinstance(value, dict):
        inner = [keys(part, f"{place}.{key}") for key, part in value.items()]
        return {f"{place} object", *(line for lines in inner for line in lines)}
    if isinstance(value, list):
        return {f"{place} list", *(line for part in value for line in keys(part, place + "[]"))}
    return {f"{place} {type(value).__name__}"}


def served(state: dict[str, Any]) -> list[str]:
    """The keys of the console's state, less what depends on what happened: reasons and events."""
    return sorted(keys({**state, "refused_because": {}, "events": []}))


def live(program: Program) -> dict[str, Any]:
    """Starts all, plays the load, and looks."""
    host = f"127.88.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    file = program.folder / "live.conf"
    file.write_text(SETTINGS.read_text().replace("127.0.0.1", host))
    tree = program.folder / "tree"
    tree.mkdir()
    (tree / "a").write_bytes(b"content" * 100)
    processes = []
    try:
        for words in (
            ("listing",),
            ("shelf", "--name", "s1"),
            ("shelf", "--name", "s2"),
            ("group", "--name", "g1", "--begin", "--store", str(program.folder / "g1")),
            ("head", "--agreed", str(program.folder / "agreed"), "--capture", str(program.folder / "capture")),
        ):
            processes.append(program.start(*words, str(file)))
        told = {"propose": program.run("config", "--group", str(file), "propose", str(file))[0]}
        told["load"] = program.run("lab", "load", "--day", "short", str(file))[0]
        told["copy"] = program.run("rsync-client", "push", f"{host}:8730/tenders/x", str(tree))[0]
        fetch(f"{host}:7301/state")
        time.sleep(SPAN_S)
        state = json.loads(fetch(f"{host}:7301/state"))
        status = json.loads(program.run("config", "--group", str(file), "status", "--json")[1])
        return {
            "exits": told,
            "metrics": metrics(fetch(f"{host}:7051/metrics")),
            "state": served(state),
            "shelf": sorted(keys(json.loads(fetch(f"{host}:7301/shelf/s1")))),
            "volume": sorted(keys(json.loads(fetch(f"{host}:7301/volume/basico-1")))),
            "status": sorted(keys(status)),
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()
