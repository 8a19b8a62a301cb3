"""Messages to a supervisor: the datagrams of sd_notify, as published.

A supervisor names a socket in NOTIFY_SOCKET; lines `KEY=VALUE` are sent to it. With WATCHDOG_USEC it wants a sign of
life at least that often: the event loop itself gives it, so a process that hangs is noticed. Without them nothing is
sent.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Mapping

WATCHDOG_INTERVAL_SHARE = 0.5
"""The part of the watchdog's time after which a sign of life is sent."""


class Notifier:
    """Tells a supervisor the state of the process.

    What can't be sent is dropped: a supervisor's fault must not stop the process.

    Attributes:
        address: The supervisor's socket, empty where there is none; `@` begins an abstract one.
        watchdog_interval_s: Seconds between two signs of life, 0 for none.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, environment: Mapping[str, str], pid: int) -> None:
        """Reads the supervisor's variables from `environment`; a watchdog meant for another process is ignored."""
        self.loop = loop
        self.address = environment.get("NOTIFY_SOCKET", "")
        self.watchdog_interval_s = 0.0
        self._socket: socket.socket | None = None
        self._watchdog_timer: asyncio.TimerHandle | None = None
        if self.address:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)
        timeout_us = environment.get("WATCHDOG_USEC", "")
        is_own = environment.get("WATCHDOG_PID", str(pid)) == str(pid)
        if is_own and timeout_us.isdigit():
            self.watchdog_interval_s = int(timeout_us) * WATCHDOG_INTERVAL_SHARE / 1e6

    def send(self, *lines: str) -> bool:
        """Sends lines in one datagram; returns whether there was a supervisor and the datagram was sent."""
        if self._socket is None:
            return False
        address = "\0" + self.address[1:] if self.address.startswith("@") else self.address
        try:
            self._socket.sendto("\n".join(lines).encode(), address)
        except OSError:
            return False
        return True

    def notify_ready(self, status: str) -> None:
        """The process serves, from the start or again after a reload; starts the signs of life."""
        self.send("READY=1", f"STATUS={status}", f"MAINPID={os.getpid()}")
        if self.watchdog_interval_s and self._watchdog_timer is None and self._socket is not None:
            self._send_watchdog_ping()

    def notify_reloading(self, now_us: int) -> None:
        """The process reads its settings again; `now_us` is the monotonic clock in microseconds."""
        self.send("RELOADING=1", f"MONOTONIC_USEC={now_us}")

    def notify_stopping(self, status: str) -> None:
        """The process is shutting down."""
        self.send("STOPPING=1", f"STATUS={status}")

    def close(self) -> None:
        """Ends the signs of life and closes the socket; nothing is sent from then on."""
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send_watchdog_ping(self) -> None:
        self.send("WATCHDOG=1")
        self._watchdog_timer = self.loop.call_later(self.watchdog_interval_s, self._send_watchdog_ping)
