"""The session of one rsync client of a gateway: its access rights, its transfer, and the report of its end."""

from __future__ import annotations

import asyncio
import base64
import ipaddress
import random
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, cast

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.internal_client import InternalClient
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.module_store import ModuleStore
from pebblehinge.rsync.request_scheduler import refusal_reason
from pebblehinge.rsync.serve import serve
from pebblehinge.rsync.stream import TAG_ERROR
from pebblehinge.rsync.stream_protocol import StreamProtocol
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.transfer_report import TransferReport
from pebblehinge.settings.rsync import ModuleBlock
from pebblehinge.settings.schema import Config

DISCONNECT_GRACE_S = 3.0
"""How long a session still processes received data after the client disconnected."""

MAX_SECRET_BYTES = 4096
CHALLENGE_BYTES = 18

HIDDEN = "hidden"
"""Returned by `admits` for a module that is reported to the client as unknown."""


class SessionContext(Protocol):
    """The part of `RsyncListener` that its sessions use; the attributes are described there."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    log: Any
    context: GatewayContext
    config: Config
    rng: random.Random
    sessions: dict[RsyncSession, None]
    client: InternalClient
    transfer_count: int
    counts: dict[str, int]
    stopping: bool
    loop_lag_ms: float

    def module_store(self, name: str) -> ModuleStore:
        """Returns the state of a module."""


class RsyncSession(StreamProtocol):
    """The connection of one rsync client, and the server context that the rsync protocol uses.

    Attributes:
        listener: The listener that accepted the client.
        report: The report of the transfer, for logs and metrics.
        task: The task that runs the rsync protocol.
        address: IP address of the client, empty if unknown.
        transfer: The transfer in progress, None for none.
    """

    def __init__(self, listener: SessionContext) -> None:
        super().__init__(listener.loop, listener.config.rsync.stall)
        self.listener = listener
        self.report = TransferReport()
        self.task: asyncio.Task[None] | None = None
        self.address = ""
        self.transfer: Transfer | None = None
        self._start_ms = listener.clock()
        self._login_timer: asyncio.TimerHandle | None = None

    # ---- connection

    def connection_made(self, transport: Any) -> None:
        """Starts the protocol, or aborts the connection if there are too many or the gateway is stopping."""
        super().connection_made(transport)
        listener = self.listener
        peer_address = transport.get_extra_info("peername")
        self.address = peer_address[0] if peer_address else ""
        listener.sessions[self] = None
        if len(listener.sessions) > listener.config.limits.connections or listener.stopping:
            self.abort()
            return
        self._login_timer = self.loop.call_later(listener.config.rsync.login / 1000.0, self._time_out_login)
        self.task = self.loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the session; data received before is still processed, and kept for the client's retry."""
        super().connection_lost(exc)
        listener = self.listener
        listener.sessions.pop(self, None)
        if self.task is not None and not self.task.done():
            self.loop.call_later(DISCONNECT_GRACE_S, self.task.cancel)
        if listener.stopping:
            self.loop.call_soon(listener.context.stop_if_done)

    def end(self, reason: str) -> None:
        """Ends the transfer with an error message that the client's rsync prints."""
        self.why = reason
        if self.task is not None:
            self.task.cancel()
        if self.stream.mux_out:
            self.stream.unflushed.clear()
            self.stream.message(TAG_ERROR, (reason + "\n").encode())
        self.close()

    def _time_out_login(self) -> None:
        if not self.report.module:
            self.why = "no module was named in time"
            self.abort()

    async def _serve(self) -> None:
        try:
            await serve(self.stream, cast(Any, self), self.report)
        except RsyncError as error:
            self.report.error = str(error)
            self.report.code = error.code
        except Exception as error:  # a bug in this program ends one transfer and is logged; the gateway continues
            self.report.error = repr(error)
            self.listener.log.error("fault", error=repr(error), where=traceback.format_exc(limit=-6))
        finally:
            self._end_transfer()
            self.close()

    def _end_transfer(self) -> None:
        listener, report = self.listener, self.report
        if self._login_timer is not None:
            self._login_timer.cancel()
        if self.transfer is None:
            listener.counts["refused"] += bool(report.error)
            return
        transfer, self.transfer = self.transfer, None
        transfer.end()
        listener.transfer_count -= 1
        is_complete = report.ended and not report.error and not report.failed
        listener.counts["completed" if is_complete else "failed"] += 1
        listener.counts["saves"] += len(report.saved)
        self._log_transfer()

    def _log_transfer(self) -> None:
        report = self.report
        self.listener.log.info(
            "transfer",
            module=report.module,
            user=report.user,
            address=self.address,
            push=report.push,
            files=report.files,
            bytes=report.bytes,
            literal=report.literal,
            matched=report.matched,
            failed=len(report.failed),
            error=report.error or self.why,
            code=report.code,
            ms=round(self.listener.clock() - self._start_ms, 1),
        )

    # ---- server context of the protocol

    @property
    def modules(self) -> dict[str, ModuleBlock]:
        """The modules of the settings, by name."""
        return self.listener.config.module

    @property
    def motd(self) -> str:
        """The message of the day."""
        return self.listener.config.rsync.motd

    def admits(self, module: str) -> str | None:
        """Returns None if the client's address may use a module, else `HIDDEN`."""
        settings = self.modules[module]
        try:
            address = ipaddress.ip_address(self.address)
        except ValueError:
            return HIDDEN if settings.allow or settings.deny else None
        if settings.allow and not _is_in_networks(address, settings.allow):
            return HIDDEN
        return HIDDEN if _is_in_networks(address, settings.deny) else None

    def secret(self, user: str) -> bytes | None:
        """Returns a user's secret, or None if the user is unknown or the secret can't be read."""
        settings = self.listener.config.user.get(user)
        if settings is None:
            return None
        if settings.secret_file is None:
            return settings.secret.encode()
        try:
            with Path(settings.secret_file).open("rb") as file:
                return file.read(MAX_SECRET_BYTES).strip()
        except OSError as error:
            self.listener.log.error("secret", user=user, error=str(error))
            return None

    def challenge(self) -> bytes:
        """Returns a random challenge for a login."""
        return base64.b64encode(self.listener.rng.randbytes(CHALLENGE_BYTES)).rstrip(b"=")

    def seed(self) -> int:
        """Returns a random seed for the checksums of a transfer."""
        return self.listener.rng.randrange(1, 1 << 31)

    def begin(self, module: str, user: str) -> Transfer | str:
        """Begins a transfer and returns it, or the reason why none can begin now."""
        listener, settings = self.listener, self.listener.config.rsync
        rejection = refusal_reason(
            listener.transfer_count, settings.transfers, listener.stopping, listener.loop_lag_ms > settings.lag
        )
        if rejection is not None:
            return rejection
        module_store = listener.module_store(module)
        listener.transfer_count += 1
        trace_id = f"{listener.context.name}.t{listener.client.last_id}.{listener.rng.getrandbits(32):08x}"
        self.transfer = Transfer(module_store, trace_id, module_store.block.deadline)
        return self.transfer


def _is_in_networks(address: ipaddress.IPv4Address | ipaddress.IPv6Address, networks: list[str]) -> bool:
    return any(address in ipaddress.ip_network(network, strict=False) for network in networks)
