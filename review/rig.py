"""Starts the project's programs as processes of their own for a case, and writes down what was seen."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import IO

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 20.0
MAX_RUN_S = 112.0  # a script has 120 s
LOOPBACK = "127.0.0.1"


class CaseError(Exception):
    """The case could not run, so it says nothing of the rule."""


def has_trouble() -> bool:
    """Returns whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Returns ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Record:
    """The file `record.txt` of a case, a line for each thing that was sent, answered or run.

    Args:
        path: The file.

    Attributes:
        folder: The temporary folder, which is written as FOLDER.
    """

    def __init__(self, path: Path) -> None:
        self.folder = ""
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        if self.folder:
            text = text.replace(self.folder, "FOLDER")
        self._file.write(f"[{time.monotonic() - self._start_s:7.3f}] {text}\n")
        self._file.flush()


class Rig:
    """The processes of one case, in a temporary folder.

    Args:
        record: Where the case writes.
        folder: The temporary folder.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        record.folder = str(folder)
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self._logs: list[IO[str]] = []

    def start(self, label: str, *arguments: str, env: dict[str, str] | None = None, ready: bool = True) -> None:
        """Starts `python -m ARGUMENTS` under a label, and waits for its line `ready` where it prints one."""
        log = (self.folder / f"{label}.log").open("a")
        self._logs.append(log)
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **(env or {})},
            stdout=subprocess.PIPE if ready else log,
            stderr=log,
            text=True,
        )
        self.processes[label] = process
        self.record.note(f"{label}: started, pid {process.pid}: python -m {' '.join(arguments)}")
        if not ready:
            return
        assert process.stdout is not None
        os.set_blocking(process.stdout.fileno(), False)
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s and process.poll() is None:
            if "ready" in (process.stdout.readline() or ""):
                self.record.note(f"{label}: ready")
                return
            time.sleep(0.02)
        raise CaseError(f"{label} did not become ready; its log: {self.log_of(label)[-500:]}")

    def log_of(self, label: str) -> str:
        """Returns what a process has written to its log."""
        return (self.folder / f"{label}.log").read_text()

    def start_node(self, file: Path, name: str, *options: str) -> None:
        """Starts a stand-in storage node of a settings file, whose contents last over restarts."""
        records = self.folder / f"{name}-records"
        records.mkdir(exist_ok=True)
        arguments = ["--name", name, "--store", str(self.folder / name), "--records", str(records), *options]
        self.start(name, "pebblehinge", "storage-node", str(file), *arguments)

    def note_attempts(self, name: str) -> None:
        """Writes down what a storage node got, what took effect there, and what it dropped as a repeat."""
        for path in sorted((self.folder / f"{name}-records").glob("*.jsonl")):
            for line in path.read_text().splitlines():
                if any(f'"e":"{event}"' in line for event in ("up", "got", "effect", "repeat")):
                    self.record.note(f"{name}: {line}")

    def send_signal(self, label: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this case started."""
        self.record.note(f"{label}: {number.name}")
        self.processes[label].send_signal(number)

    def wait(self, label: str, timeout_s: float) -> int | None:
        """Waits for the end of a process; returns its exit status, None if it goes on."""
        try:
            status = self.processes[label].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        self.record.note(f"{label}: ended with status {status}")
        return status

    def end(self) -> None:
        """Ends all processes that this case started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self._logs:
            log.close()


async def _play_in_time(case: Callable[[Rig], Awaitable[list[str]]], rig: Rig) -> list[str]:
    return await asyncio.wait_for(case(rig), MAX_RUN_S)


def play(folder: Path, case: Callable[[Rig], Awaitable[list[str]]]) -> int:
    """Plays a case and returns its exit status.

    Args:
        folder: The folder of the case, for `record.txt`.
        case: The case; returns how the rule was broken, a line each.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the processes too
    record = Record(folder / "record.txt")
    record.note(f"disruption: {'played' if has_trouble() else 'left out'}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        rig = Rig(record, Path(temporary))
        try:
            offences = asyncio.run(_play_in_time(case, rig))
        except Exception as error:  # anything but a verdict says nothing of the rule
            record.note(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            rig.end()
    for offence in offences:
        record.note(f"BROKEN: {offence}")
        print(f"BROKEN: {offence}")
    record.note("rule broken" if offences else "rule held")
    print("rule broken" if offences else "rule held")
    return BROKEN if offences else HELD
