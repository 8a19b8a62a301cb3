"""A small deployment for one case of the review: processes, addresses, a record, and the exit status.

Each process is one of the project's own programs, on loopback addresses, in a temporary folder, and is ended by its id.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = ROOT / ".venv" / "bin" / "python"
HOST = "127.0.0.1"
TIME_LIMIT_S = 115.0
READY_S = 15.0
HELD, NOT_RUN, BROKEN = 0, 2, 10  # `run.sh` exits with 1 for 10 alone, so that a crash of a script is no finding
RESULTS = {HELD: "held", NOT_RUN: "not run", BROKEN: "broken"}


class CaseNotRunError(Exception):
    """The case could not be played, so that it says nothing of the rule."""


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, all different."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Stage:
    """The processes of one case and its record.

    Attributes:
        folder: Temporary folder, removed at the end.
        trouble: Whether the disruption is played.
        faults: What broke the rule, a line each.
    """

    def __init__(self, case_folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="pebblehinge-review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.faults: list[str] = []
        self._started_s = time.monotonic()
        self._record = (case_folder / "record.txt").open("w")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._logs = 0

    def note(self, text: str) -> None:
        """Writes a line with the time since the start into the record."""
        self._record.write(f"{time.monotonic() - self._started_s:8.3f}  {text}\n")
        self._record.flush()

    def broken(self, text: str) -> None:
        """Records that the rule is broken."""
        self.faults.append(text)
        self.note(f"BROKEN: {text}")

    def write(self, name: str, text: str) -> Path:
        """Writes a file into the temporary folder; returns its path."""
        path = self.folder / name
        path.write_text(text)
        return path

    def command(self, *args: str, environment: dict[str, str] | None = None) -> subprocess.Popen[bytes]:
        """Starts `python -m` with these arguments from the root; its standard error goes to a file of its own."""
        self._logs += 1
        log = (self.folder / f"process-{self._logs}.log").open("wb")
        process = subprocess.Popen(
            [str(PYTHON), "-m", *args],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=log,
            env=os.environ | (environment or {}),
        )
        log.close()
        self._processes.append(process)
        return process

    async def start(self, *args: str) -> subprocess.Popen[bytes]:
        """Starts `pebblehinge` with these arguments and waits for `ready`."""
        process = self.command("pebblehinge", *args)
        self.note(f"start {process.pid}: pebblehinge {' '.join(args).replace(str(self.folder), 'TMP')}")
        assert process.stdout is not None
        try:
            line = await asyncio.wait_for(asyncio.to_thread(process.stdout.readline), READY_S)
        except TimeoutError:
            line = b""
        if line != b"ready\n":
            log = (self.folder / f"process-{self._logs}.log").read_text(errors="replace")
            raise CaseNotRunError(f"{' '.join(args)}: not ready: {log[-600:]}")
        return process

    async def run(self, *args: str) -> tuple[int, str]:
        """Runs a command of `pebblehinge` to its end; returns its exit status and what it printed."""
        process = self.command("pebblehinge", *args)
        log = self.folder / f"process-{self._logs}.log"
        out, _ = await asyncio.wait_for(asyncio.to_thread(process.communicate), 40.0)
        text = (out.decode() + log.read_text()).strip()
        shown = text if len(text) < 400 else f"({len(text)} characters)"
        self.note(
            f"pebblehinge {' '.join(args).replace(str(self.folder), 'TMP')} -> exit {process.returncode}: {shown}"
        )
        return process.returncode, text

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals, name: str) -> None:
        """Sends a signal to a process that this case started."""
        self.note(f"{number.name} to {name} ({process.pid})")
        process.send_signal(number)

    async def wait_exit(self, process: subprocess.Popen[bytes], name: str, limit_s: float) -> int:
        """Waits until a process has ended; returns its exit status."""
        try:
            status = await asyncio.wait_for(asyncio.to_thread(process.wait), limit_s)
        except TimeoutError:
            raise CaseNotRunError(f"{name} did not end within {limit_s:g} s") from None
        self.note(f"{name} ended with {status}")
        return status

    def close(self) -> None:
        """Ends all processes that this case started, and removes the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def play(
    case_file: str,
    script: Callable[[Stage], Awaitable[None]],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> None:
    """Plays a case and exits: 10 if the rule was broken, 0 if it held, 2 if the case could not be played."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # still ends what it has started
    stage = Stage(Path(case_file).resolve().parent)
    stage.note(f"disruption: {'yes' if stage.trouble else 'no'}")
    status, reason = NOT_RUN, ""
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(asyncio.wait_for(script(stage), TIME_LIMIT_S))
        status = BROKEN if stage.faults else HELD
    except TimeoutError:
        reason = "the time of the case is over"
    except (CaseNotRunError, OSError) as error:
        reason = str(error)
    finally:
        if reason:
            stage.note(f"not run: {reason}")
        stage.note(f"result: {RESULTS[status]}")
        stage.close()
    print(RESULTS[status], *(stage.faults[:3] or [reason]), sep="\n  ")
    sys.exit(status)
