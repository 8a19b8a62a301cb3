"""The sockets of a stand-in shelf: connections of heads, troubles by control frames, its place in the list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.net import parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.storage_node.requests import Requests
from pebblehinge.storage_node.connection import ShelfConn
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.registration import Registration
from pebblehinge.wire import Kind, Session

STRIKES = {  # control verbs and the machine's settings while they act, with their values at rest
    "slow": {"slow": 1.0},
    "hang": {"hang": False},
    "neighbour": {"neighbour": 0.0, "neighbour_ms": 0.0},
    "pauses": {"pause_ms": 0.0, "pause_every_ms": 0.0},
    "fast-errors": {"errors": 0.0},
}
LINKS = {"resets": "resets", "garble": "garble", "lost-answers": "lost_answers", "half-open": "deaf"}


class ShelfServer(Requests):
    """A stand-in shelf. `warm` is False where its process has just started after a crash."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        records: EventLog | NullEventLog | None = None,
        contents: Contents | None = None,
        warm: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__(loop, clock, config, name, records, contents, warm, seed)
        self.log = log
        self.restarted = not warm
        self.conns: dict[ShelfConn, None] = {}  # in the order in which they came
        self.server: Any = None
        self.register: Registration | None = None
        self.registering: asyncio.Task | None = None
        self.again: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        host, port = parse_address(self.block.listen)
        self.server = await self.loop.create_server(lambda: ShelfConn(self), host, port, backlog=1024)
        self._register()
        kind, machine = self.machine.kind, self.machine
        self.records.note(
            self.clock(),
            "up",
            role="shelf",
            name=self.name,
            slot=self.block.slot,
            cold=self.restarted,
            started=machine.started_ms,
            cores=kind.cores,
            speed=machine.speed,
            cold_from=kind.cold_from,
            warm_ms=kind.cold,
            unit_work=kind.unit_work,
        )

    def stop(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for handle in (self.timer, self.registering, self.again):
            if handle is not None:
                handle.cancel()
        if self.register is not None:
            self.register.close()
        for conn in list(self.conns):
            conn.close()
        self.records.note(self.clock(), "down", name=self.name)
        self.records.close()
        self.contents.close()

    def kill(self) -> None:
        """The process is gone at once, as far as sockets can tell: for labs that hold many in one process."""
        self.closed = True
        self.server.close()
        for handle in (self.timer, self.registering, self.again):
            if handle is not None:
                handle.cancel()
        if self.register is not None:
            self.register.abort()
        for conn in list(self.conns):
            conn.abort()
        self.records.close()

    # ---- the list

    def _register(self) -> None:
        self.registering = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        limits = self.config.limits
        session = Session("shelf", self.name, limits.frame, limits.streams, greets=True)
        try:
            host, port = parse_address(self.config.listing.listen)
            await self.loop.create_connection(lambda: Registration(self, session), host, port)
        except OSError:
            self.register_lost(None)

    def register_lost(self, conn: Registration | None) -> None:
        if self.register is conn:
            self.register = None
        if not self.closed:
            self.again = self.loop.call_later(0.2, self._register)

    def _fall(self, now: float) -> None:
        self.told_fall = True
        self.records.note(now, "fell", name=self.name, fill=self.machine.worst_fill)
        self.log.warning("fell over", shelf=self.name)
        self.server.close()
        for conn in list(self.conns):
            conn.abort()

    # ---- the lab's hand

    def control(self, verb: str, values: dict[str, Any]) -> str:
        """A trouble begins (with its figures) or ends (`off`); returns what was done."""
        now = self.now = self.clock()
        off = bool(values.get("off", 0))
        self.records.note(now, "control", verb=verb, values=values)
        if verb in STRIKES:
            rest = STRIKES[verb]
            wanted = rest if off else {k: type(v)(values.get(k, True)) for k, v in rest.items()}
            for job in self.machine.set_strike(now, **wanted):
                if job.owner is not None:
                    self._end(job.owner, now)
            self._wake()
        elif verb == "half-open":
            # Connections that stand turn deaf for good; new ones are well: a link that is cut in the middle.
            for conn in self.conns:
                if conn.session.peer_role == "head":
                    conn.deaf = not off
        elif verb in LINKS:
            setattr(self.faults, LINKS[verb], 0.0 if off else float(values["by"]))
        elif verb == "drain":
            self.draining = not off
            if self.register is not None:
                self.register.send(Kind.STANDING, "ready" if off else "draining")
        elif verb == "stats":
            m = self.machine
            return f"effects={self.effects} worst_fill={m.worst_fill:.3f} fell={int(m.fell)} speed={m.speed:.3f}"
        else:
            return f"no: {verb!r} is not known"
        return "done"
