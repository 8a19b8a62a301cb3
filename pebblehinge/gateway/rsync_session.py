"""One rsync client of a head: whom the settings let in, its transfer, and how that ended."""

from __future__ import annotations

import asyncio
import base64
import ipaddress
import random
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.internal_client import InternalClient
from pebblehinge.rsync.line import Line
from pebblehinge.rsync.module_store import Place
from pebblehinge.rsync.serve import Told, serve
from pebblehinge.rsync.sharing import admits
from pebblehinge.rsync.stream import ERROR, RsyncError
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.settings.schema import Config, ModuleBlock

LINGER_S = 3.0  # for what a client sent before it went


class SessionContext(Protocol):
    """What a client needs of the door that it came by."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    log: Any
    server: GatewayContext
    config: Config
    rng: random.Random
    guests: dict[RsyncSession, None]
    inside: InternalClient
    transfers: int
    counts: dict[str, int]
    stopping: bool
    late_ms: float

    def place(self, name: str) -> Place: ...


class RsyncSession(Line):
    """One connection, and the house that it sees."""

    def __init__(self, door: SessionContext) -> None:
        super().__init__(door.loop, door.config.rsync.stall)
        self.door, self.told = door, Told()
        self.task: asyncio.Task[None] | None = None
        self.address = ""
        self.began_ms = door.clock()
        self.transfer: Transfer | None = None
        self.login: asyncio.TimerHandle | None = None

    # ---- the connection

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        door = self.door
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if peer else ""
        door.guests[self] = None
        if len(door.guests) > door.config.limits.connections or door.stopping:
            self.abort()
            return
        self.login = self.loop.call_later(door.config.rsync.login / 1000.0, self._too_late)
        self.task = self.loop.create_task(self._serve())

    def _too_late(self) -> None:
        if not self.told.module:
            self.why = "no module was named in time"
            self.abort()

    async def _serve(self) -> None:
        try:
            await serve(self.stream, self, self.told)
        except RsyncError as error:
            self.told.error, self.told.code = str(error), error.code
        except Exception as error:  # a fault of this program: one transfer ends, the head goes on and says where
            self.told.error = repr(error)
            self.door.log.error("fault", error=repr(error), where=traceback.format_exc(limit=-6))
        finally:
            self._over()
            self.close()

    def _over(self) -> None:
        door, told = self.door, self.told
        if self.login is not None:
            self.login.cancel()
        if self.transfer is None:
            door.counts["refused"] += bool(told.error)
            return
        transfer, self.transfer = self.transfer, None
        transfer.end()
        door.transfers -= 1
        whole = told.ended and not told.error and not told.failed
        door.counts["completed" if whole else "failed"] += 1
        door.counts["saves"] += len(told.saved)
        door.log.info(
            "transfer",
            module=told.module,
            user=told.user,
            address=self.address,
            push=told.push,
            files=told.files,
            bytes=told.bytes,
            literal=told.literal,
            matched=told.matched,
            failed=len(told.failed),
            error=told.error or self.why,
            code=told.code,
            ms=round(door.clock() - self.began_ms, 1),
        )

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        door = self.door
        door.guests.pop(self, None)
        if self.task is not None and not self.task.done():
            # What came before is still taken in, and kept for a repeat; then it finds nobody there.
            self.loop.call_later(LINGER_S, self.task.cancel)
        if door.stopping:
            self.loop.call_soon(door.server.stop_if_done)

    def turn_out(self, why: str) -> None:
        """Ends a transfer with a message that its tool shows."""
        self.why = why
        if self.task is not None:
            self.task.cancel()
        if self.stream.mux_out:
            self.stream.out.clear()
            self.stream.message(ERROR, (why + "\n").encode())
        self.close()

    # ---- the house

    @property
    def modules(self) -> dict[str, ModuleBlock]:
        return self.door.config.module

    @property
    def motd(self) -> str:
        return self.door.config.rsync.motd

    def admits(self, module: str) -> str | None:
        """Why this address may not see a module: `hidden`, as if it were not there; None: it may."""
        block = self.modules[module]
        try:
            mine = ipaddress.ip_address(self.address)
        except ValueError:
            mine = None
        if mine is None:
            return "hidden" if block.allow or block.deny else None

        def among(texts: list[str]) -> bool:
            return any(mine in ipaddress.ip_network(text, strict=False) for text in texts)

        if block.allow and not among(block.allow):
            return "hidden"
        return "hidden" if among(block.deny) else None

    def secret(self, user: str) -> bytes | None:
        block = self.door.config.user.get(user)
        if block is None:
            return None
        if block.secret_file is None:
            return block.secret.encode()
        try:
            with open(block.secret_file, "rb") as file:
                return file.read(4096).strip()
        except OSError as error:
            self.door.log.error("secret", user=user, error=str(error))
            return None

    def challenge(self) -> bytes:
        return base64.b64encode(self.door.rng.randbytes(18)).rstrip(b"=")

    def seed(self) -> int:
        return self.door.rng.randrange(1, 1 << 31)

    def begin(self, module: str, user: str) -> Transfer | str:
        door, block = self.door, self.door.config.rsync
        why = admits(door.transfers, block.transfers, door.stopping, door.late_ms > block.lag)
        if why is not None:
            return why
        place = door.place(module)
        door.transfers += 1
        trace = f"{door.server.name}.t{door.inside.ids}.{door.rng.getrandbits(32):08x}"
        self.transfer = Transfer(place, trace, place.block.deadline)
        return self.transfer
