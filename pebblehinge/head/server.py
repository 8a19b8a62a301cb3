"""The running head: its clients, its start, its settings and its stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.head.admission import HeadCore
from pebblehinge.head.clients import ClientConn
from pebblehinge.head.door import Door
from pebblehinge.head.effects import Effects
from pebblehinge.head.remembering import Remembering
from pebblehinge.head.writeback import Back
from pebblehinge.net import parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.store.background import Background, inline

BACKLOG = 8192  # connections not yet accepted, all clients at once; the kernel may take fewer (net.core.somaxconn)


class HeadServer(Effects):
    """A running head. Loop, clock (milliseconds) and records are handed in; nothing here reads others."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        records: EventLog | NullEventLog | None = None,
        core: type[HeadCore] = HeadCore,
    ) -> None:
        super().__init__(loop, clock, config, name, log, records, core)
        self.conns: dict[ClientConn, None] = {}  # in the order in which they came
        self.server: Any = None
        self.faults = 0
        self.door: Door | None = None
        self.memory: Remembering | None = None
        self.version_shown: dict[str, Any] = {}  # of the group's configuration, where there is one
        self.back: Back | None = None
        self.stopped: asyncio.Future[None] = loop.create_future()

    async def start(self) -> None:
        host, port = parse_address(self.block.listen)
        self.server = await self.loop.create_server(lambda: ClientConn(self), host, port, backlog=BACKLOG)
        if self.back is not None:
            self.back.begin()
        if self.block.rsync is not None:
            self.door = Door(self)
            await self.door.start()
        self.listing.start()
        self.core.start(self.clock())
        if self.back is not None:
            self.back.pump()
        if self.memory is not None:
            self.memory.begin()
        self.note(self.clock(), "up", role="head", name=self.name)

    def buffer(self, disk: Any, lasts: Any) -> None:
        """Before `start`: buffered volumes are confirmed from a journal on this disk."""
        self.back = Back(self, disk, lasts)

    def remember(self, disk: Any, times: Callable[[], tuple[float, float, str]], beside: Background = inline) -> None:
        """Before `start`: takes up what an earlier life learned, and keeps what this one learns, beside the loop.
        `times` gives the wall clock and the machine's time since its start, in ms, and which start that was."""
        self.memory = Remembering(self, disk, times, beside)
        self.memory.take_up()

    # ---- stopping

    def stop(self, why: str) -> None:
        """Takes nothing new, gives every accepted request its answer within its own time, then is stopped."""
        if self.core.stopping:
            return
        self.core.stopping = True
        self.log.info("stopping", why=why, open=self.core.open)
        self.server.close()
        if self.door is not None:
            self.door.stop()
        if self.back is not None:
            self.back.stop()
        for conn in list(self.conns):
            conn.tell_stopping()
        self.loop.call_later(self.config.limits.stall / 1000.0, self._settle_all)
        self.stop_if_done()

    def _settle_all(self) -> None:
        """A client that never answers does not hold up the stop for ever."""
        for conn in self.conns:
            conn.settled = True
        self.stop_if_done()

    def stop_if_done(self) -> None:
        if not self.core.stopping or self.core.open or (self.door is not None and self.door.guests):
            return
        if self.back is not None and not self.back.is_done():
            return
        if self.conns:
            for conn in list(self.conns):
                if conn.settled:
                    conn.close()
            return
        if not self.stopped.done():
            self.note(self.clock(), "down", name=self.name)
            if self.memory is not None:
                self.memory.keep(whole=True)
            self.listing.close()
            if self.door is not None:
                self.door.close()
            if self.back is not None:
                self.back.close()
            if self.core.capture is not None:
                self.core.capture.flush()
            for link in [*self.links.values(), *self.retired]:
                link.close()
            if self.timer is not None:
                self.timer.cancel()
            self.records.close()
            self.stopped.set_result(None)

    def gone(self, conn: ClientConn) -> None:
        self.conns.pop(conn, None)
        now = self.clock()
        for pending in list(conn.open.values()):
            if pending is not None:
                self.core.left(now, pending)
        conn.open.clear()
        self.stop_if_done()

    def capture(self, writer: Any) -> None:
        """Keeps what is taken from now on; what stands is written every second."""
        self.core.capture = writer
        self._flush_capture()

    def _flush_capture(self) -> None:
        self.core.capture.flush()
        if not self.stopped.done() and self.core.capture.on:
            self.loop.call_later(1.0, self._flush_capture)

    def adopt(self, config: Config) -> None:
        """New settings from the same file; addresses stay as they were until a restart."""
        self.config = config
        self.now = self.clock()
        self.core.take_up(self.now, config)
        if self.door is not None:
            self.door.adopt(config)
