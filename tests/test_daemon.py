"""The head as a process under a supervisor: its datagrams, its pid file, its limits."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from helpers import FLEET, LOOPBACK

from pebblehinge.daemon import Notifier, PidFile, PidFileError
from pebblehinge.daemon.open_files import raise_soft_limit


def listen(path: Path) -> socket.socket:
    heard = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    heard.bind(str(path))
    heard.settimeout(20.0)
    return heard


def test_what_a_supervisor_is_told(tmp_path: Path) -> None:
    heard = listen(tmp_path / "notify")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        notifier = Notifier(loop, {"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "40000"}, 77)
        notifier.notify_ready("serving")
        await asyncio.sleep(0.07)
        notifier.notify_stopping("3 owed")
        notifier.close()
        assert not notifier.send("READY=1")

    asyncio.run(main())
    assert heard.recv(200).decode().splitlines()[:2] == ["READY=1", "STATUS=serving"]
    said = [heard.recv(200).decode() for _ in range(4)]
    assert said.count("WATCHDOG=1") >= 3 and said[-1] in ("WATCHDOG=1", "STOPPING=1\nSTATUS=3 owed")
    heard.close()


def test_nobody_to_tell_and_a_socket_that_is_gone(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert not Notifier(loop, {}, 1).send("READY=1")
        gone = Notifier(loop, {"NOTIFY_SOCKET": str(tmp_path / "nothing"), "WATCHDOG_USEC": "x"}, 1)
        gone.notify_ready("serving")
        assert not gone.send("READY=1") and gone.watchdog_interval_s == 0.0
        other = {"NOTIFY_SOCKET": "@abstract", "WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "5"}
        assert Notifier(loop, other, 1).watchdog_interval_s == 0.0  # the watch is another process's
        gone.close()

    asyncio.run(main())


def test_a_pid_file_is_held_by_one(tmp_path: Path) -> None:
    held = PidFile(str(tmp_path / "pid"))
    assert int((tmp_path / "pid").read_text()) > 0
    with pytest.raises(PidFileError, match="is held by process"):
        PidFile(str(tmp_path / "pid"))
    held.close()
    PidFile(str(tmp_path / "pid")).close()
    with pytest.raises(PidFileError, match="can't be written"):
        PidFile(str(tmp_path / "no" / "pid"))


def test_limits_are_raised_as_far_as_may_be() -> None:
    done: list[int] = []
    assert raise_soft_limit(500, lambda: (1024, 4096), done.append) is None and done == []
    assert raise_soft_limit(3000, lambda: (1024, 4096), done.append) is None and done == [3000]
    assert "4096 are allowed" in (raise_soft_limit(9000, lambda: (1024, 4096), done.append) or "") and done[-1] == 4096


def test_a_head_process_is_ready_reloads_and_stops_by_the_book(tmp_path: Path) -> None:
    heard = listen(tmp_path / "notify")
    (tmp_path / "head.conf").write_text(FLEET)
    command = [sys.executable, "-m", "pebblehinge", "head", str(tmp_path / "head.conf"), "--loopback", LOOPBACK]
    command += ["--pid", str(tmp_path / "pid")]
    environment = {"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "400000", "PATH": ""}
    process = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        assert heard.recv(300).startswith(b"READY=1\nSTATUS=h1 serves")
        assert (tmp_path / "pid").read_text().strip() == str(process.pid)
        second = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30)
        assert second.returncode == 2 and f"is held by process {process.pid}" in second.stderr
        process.send_signal(signal.SIGHUP)
        end = time.monotonic() + 10.0
        seen = []
        while not any(s.startswith(b"RELOADING=1") for s in seen) and time.monotonic() < end:
            seen.append(heard.recv(300))
        assert b"WATCHDOG=1" in seen
        process.send_signal(signal.SIGTERM)
        while not seen[-1].startswith(b"STOPPING=1") and time.monotonic() < end:
            seen.append(heard.recv(300))
        assert process.wait(15.0) == 0 and seen[-1].startswith(b"STOPPING=1")
        assert (tmp_path / "pid").read_text() == ""
    finally:
        process.kill()
        heard.close()
