"""Messages to a supervisor, in the datagrams of systemd's sd_notify protocol.

A supervisor names a socket in NOTIFY_SOCKET, to which lines `KEY=VALUE` are sent. If it sets WATCHDOG_USEC, it expects
a keep-alive ping at least that often; the event loop sends it, so that the supervisor notices a process that hangs.
Without these variables nothing is sent.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Mapping

WATCHDOG_INTERVAL_SHARE = 0.5
"""The interval of the pings, as a share of the watchdog's timeout."""


class Notifier:
    """Sender of messages on the state of the process to a supervisor.

    A message that can't be sent is dropped, since a fault of the supervisor must not stop the process.

    Attributes:
        address: Path of the supervisor's socket, empty if there is none; an abstract socket's name begins with `@`.
        watchdog_interval_s: Seconds between two watchdog pings, 0 if none are sent.
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
        is_own_watchdog = environment.get("WATCHDOG_PID", str(pid)) == str(pid)
        if is_own_watchdog and timeout_us.isdigit():
            self.watchdog_interval_s = int(timeout_us) * WATCHDOG_INTERVAL_SHARE / 1e6

    def send(self, *lines: str) -> bool:
        """Sends lines in one datagram; returns whether there is a supervisor and the datagram was sent."""
        if self._socket is None:
            return False
        address = "\0" + self.address[1:] if self.address.startswith("@") else self.address
        try:
            self._socket.sendto("\n".join(lines).encode(), address)
        except OSError:
            return False
        return True

    def notify_ready(self, status: str) -> None:
        """Reports that the process serves, after its start or a reload, and starts the watchdog pings."""
        self.send("READY=1", f"STATUS={status}", f"MAINPID={os.getpid()}")
        if self.watchdog_interval_s and self._watchdog_timer is None and self._socket is not None:
            self._send_watchdog_ping()

    def notify_reloading(self, now_us: int) -> None:
        """Reports that the process reloads its settings; `now_us` is the monotonic clock in microseconds."""
        self.send("RELOADING=1", f"MONOTONIC_USEC={now_us}")

    def notify_stopping(self, status: str) -> None:
        """Reports that the process shuts down."""
        self.send("STOPPING=1", f"STATUS={status}")

    def close(self) -> None:
        """Stops the watchdog pings and closes the socket; nothing is sent from then on."""
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send_watchdog_ping(self) -> None:
        self.send("WATCHDOG=1")
        self._watchdog_timer = self.loop.call_later(self.watchdog_interval_s, self._send_watchdog_ping)
