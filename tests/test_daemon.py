"""Gateway process under a supervisor: notifications, pid file and limit of open files."""

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


def bind_supervisor_socket(path: Path) -> socket.socket:
    """Returns a datagram socket that receives notifications, as a supervisor's does."""
    supervisor = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    supervisor.bind(str(path))
    supervisor.settimeout(20.0)
    return supervisor


def test_supervisor_receives_ready_watchdog_and_stopping_messages(tmp_path: Path) -> None:
    supervisor = bind_supervisor_socket(tmp_path / "notify")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        notifier = Notifier(loop, {"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "40000"}, 77)
        notifier.notify_ready("serving")
        await asyncio.sleep(0.07)
        notifier.notify_stopping("3 owed")
        notifier.close()
        assert not notifier.send("READY=1")

    asyncio.run(main())
    assert supervisor.recv(200).decode().splitlines()[:2] == ["READY=1", "STATUS=serving"]
    messages = [supervisor.recv(200).decode() for _ in range(4)]
    assert messages.count("WATCHDOG=1") >= 3 and messages[-1] in ("WATCHDOG=1", "STOPPING=1\nSTATUS=3 owed")
    supervisor.close()


def test_missing_supervisor_or_socket_is_not_an_error(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert not Notifier(loop, {}, 1).send("READY=1")
        notifier = Notifier(loop, {"NOTIFY_SOCKET": str(tmp_path / "nothing"), "WATCHDOG_USEC": "x"}, 1)
        notifier.notify_ready("serving")
        assert not notifier.send("READY=1") and notifier.watchdog_interval_s == 0.0
        environment = {"NOTIFY_SOCKET": "@abstract", "WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "5"}
        assert Notifier(loop, environment, 1).watchdog_interval_s == 0.0  # the watchdog is meant for another process
        notifier.close()

    asyncio.run(main())


def test_pid_file_is_held_by_one_process(tmp_path: Path) -> None:
    pid_file = PidFile(str(tmp_path / "pid"))
    assert int((tmp_path / "pid").read_text()) > 0
    with pytest.raises(PidFileError, match="is held by process"):
        PidFile(str(tmp_path / "pid"))
    pid_file.close()
    PidFile(str(tmp_path / "pid")).close()
    with pytest.raises(PidFileError, match="can't be written"):
        PidFile(str(tmp_path / "no" / "pid"))


def test_open_file_limit_is_raised_up_to_the_hard_limit() -> None:
    limits: list[int] = []
    assert raise_soft_limit(500, lambda: (1024, 4096), limits.append) is None and limits == []
    assert raise_soft_limit(3000, lambda: (1024, 4096), limits.append) is None and limits == [3000]
    assert (
        "4096 are allowed" in (raise_soft_limit(9000, lambda: (1024, 4096), limits.append) or "") and limits[-1] == 4096
    )


def test_gateway_process_notifies_ready_reload_and_stop(tmp_path: Path) -> None:
    supervisor = bind_supervisor_socket(tmp_path / "notify")
    (tmp_path / "head.conf").write_text(FLEET)
    command = [sys.executable, "-m", "pebblehinge", "head", str(tmp_path / "head.conf"), "--loopback", LOOPBACK]
    command += ["--pid", str(tmp_path / "pid")]
    environment = {"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "400000", "PATH": ""}
    process = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        assert supervisor.recv(300).startswith(b"READY=1\nSTATUS=h1 serves")
        assert (tmp_path / "pid").read_text().strip() == str(process.pid)
        second_run = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30)
        assert second_run.returncode == 2 and f"is held by process {process.pid}" in second_run.stderr
        process.send_signal(signal.SIGHUP)
        deadline_s = time.monotonic() + 10.0
        messages = []
        while not any(m.startswith(b"RELOADING=1") for m in messages) and time.monotonic() < deadline_s:
            messages.append(supervisor.recv(300))
        assert b"WATCHDOG=1" in messages
        process.send_signal(signal.SIGTERM)
        while not messages[-1].startswith(b"STOPPING=1") and time.monotonic() < deadline_s:
            messages.append(supervisor.recv(300))
        assert process.wait(15.0) == 0 and messages[-1].startswith(b"STOPPING=1")
        assert (tmp_path / "pid").read_text() == ""
    finally:
        process.kill()
        supervisor.close()
