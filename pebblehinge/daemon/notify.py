"""The supervisor's datagram (sd_notify, as published) and the pid file.

A supervisor names a socket in NOTIFY_SOCKET; lines `KEY=VALUE` are sent to it. With WATCHDOG_USEC it wants a sign of
life at least that often: the loop itself gives it, so a head that hangs is seen. Without them nothing is sent.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
from collections.abc import Callable, Mapping


class Notifier:
    """Tells a supervisor how the process is. What can't be sent is left: a supervisor's fault must not stop a head."""

    def __init__(self, loop: asyncio.AbstractEventLoop, environment: Mapping[str, str], pid: int) -> None:
        self.loop = loop
        self.address = environment.get("NOTIFY_SOCKET", "")
        self.socket: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.every = 0.0
        if self.address:
            self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self.socket.setblocking(False)
        limit = environment.get("WATCHDOG_USEC", "")
        if limit.isdigit() and int(limit) > 0 and environment.get("WATCHDOG_PID", str(pid)) == str(pid):
            self.every = int(limit) / 2e6

    def tell(self, *lines: str) -> bool:
        """Sends lines in one datagram; False where there is nobody to tell, or it did not go."""
        if self.socket is None:
            return False
        where = "\0" + self.address[1:] if self.address.startswith("@") else self.address
        try:
            self.socket.sendto("\n".join(lines).encode(), where)
        except OSError:
            return False
        return True

    def ready(self, status: str) -> None:
        self.tell("READY=1", f"STATUS={status}", f"MAINPID={os.getpid()}")
        if self.every and self.timer is None and self.socket is not None:
            self._alive()

    def reloading(self, now_us: int) -> None:
        self.tell("RELOADING=1", f"MONOTONIC_USEC={now_us}")

    def stopping(self, status: str) -> None:
        self.tell("STOPPING=1", f"STATUS={status}")

    def _alive(self) -> None:
        self.tell("WATCHDOG=1")
        self.timer = self.loop.call_later(self.every, self._alive)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class PidFileError(Exception):
    """Another process holds the file, or it can't be written: one line."""


class PidFile:
    """The process's id in a file, locked for as long as it lives: a second one of the name does not start."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise PidFileError(f"{path} can't be written ({error.strerror})") from None
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            held = os.pread(self.fd, 20, 0).decode("ascii", "replace").strip()
            os.close(self.fd)
            raise PidFileError(f"{path} is held by process {held or 'unknown'}") from None
        os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, f"{os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        """The file is emptied and stays: removing it could take away a successor's."""
        os.ftruncate(self.fd, 0)
        os.close(self.fd)


def limits_told(wanted: int, getrlimit: Callable[[], tuple[int, int]], setrlimit: Callable[[int], None]) -> str:
    """Raises the soft limit of open files to what the settings can need; a line where that is not possible."""
    soft, hard = getrlimit()
    if soft >= wanted:
        return ""
    if hard >= wanted or hard < 0:
        setrlimit(wanted)
        return ""
    setrlimit(hard)
    return f"{wanted} open files may be needed and {hard} are allowed: raise the hard limit"
