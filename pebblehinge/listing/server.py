"""The sockets of the stand-in node list."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.listing.registry import Registry, Row
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import Config
from pebblehinge.wire import Kind, Session, WireError

BACKLOG = 4096  # connections not yet accepted: after a restart all heads and shelfs come within half a second


class ListingConn(Peer):
    """A head that watches or asks, a shelf that registers, or the lab."""

    FRAMES = frozenset({Kind.WATCH, Kind.REGISTER, Kind.STANDING, Kind.CONTROL})

    def __init__(self, listing: ListingServer) -> None:
        limits = listing.config.limits
        session = Session("listing", "listing", limits.frame, limits.streams, greets=False)
        super().__init__(listing.loop, session, limits.stall, limits.keepalive)
        self.listing = listing
        self.shelf = ""
        self.watches = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.listing.conns.append(self)

    def gone(self, exc: Exception | None) -> None:
        self.listing.conns.remove(self)
        if self.shelf:
            self.listing.lost(self)

    def on_watch(self, token: int) -> None:
        self.watches = True
        self.listing.tell_whole(self)

    def on_register(self, shelf: str, address: str, slot: int, rack: str, age_ms: float) -> None:
        try:
            parse_address(address)
        except ValueError as error:
            raise WireError(f"REGISTER: {error}") from None
        self.shelf = shelf
        self.listing.registered(self, address, slot, age_ms)

    def on_standing(self, standing: str) -> None:
        if not self.shelf or standing not in ("ready", "draining"):
            raise WireError(f"STANDING {standing[:20]!r}: a registered shelf says ready or draining")
        self.listing.registry.standing(self.listing.clock(), self.shelf, standing)
        self.listing.push()

    def on_control(self, token: int, verb: str, values: dict[str, float | str]) -> None:
        if self.session.peer_role != "lab":
            raise WireError("CONTROL is for the lab")
        self.send(Kind.CONTROLLED, token, self.listing.control(verb, values))


class ListingServer:
    """Tells every watching head what the registry lets out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        log: Any,
        records: EventLog | NullEventLog | None = None,
        seed: int = 0,
    ) -> None:
        self.loop, self.clock, self.config, self.log = loop, clock, config, log
        self.records = records or NullEventLog()
        self.registry = Registry(config.listing, random.Random(f"{seed}/listing"))
        self.conns: list[ListingConn] = []
        self.holders: dict[str, ListingConn] = {}
        self.seen: set[str] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.server: Any = None

    async def start(self) -> None:
        host, port = parse_address(self.config.listing.listen)
        self.server = await self.loop.create_server(lambda: ListingConn(self), host, port, backlog=BACKLOG)
        self.records.note(self.clock(), "up", role="listing", name="listing")

    def stop(self) -> None:
        self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        for conn in list(self.conns):
            conn.close()
        self.records.close()

    def registered(self, conn: ListingConn, address: str, slot: int, age_ms: float) -> None:
        now, shelf = self.clock(), conn.shelf
        first = shelf not in self.seen and age_ms < 0
        self.seen.add(shelf)
        self.holders[shelf] = conn
        started = now - age_ms if age_ms >= 0 else -1.0
        self.registry.registered(now, shelf, address, slot, started, first)
        self.push()

    def lost(self, conn: ListingConn) -> None:
        if self.holders.get(conn.shelf) is conn:
            del self.holders[conn.shelf]
            self.registry.gone(self.clock(), conn.shelf)
            self.push()

    def push(self) -> None:
        """Tells what is due, and comes again when the next is."""
        now = self.clock()
        rows = self.registry.due(now)
        if rows:
            for conn in self.conns:
                if conn.watches:
                    self._tell(conn, now, "changes", rows)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.registry.next_ms()
        if at is not None:
            self.timer = self.loop.call_at(at / 1000.0, self.push)

    def tell_whole(self, conn: ListingConn) -> None:
        self._tell(conn, self.clock(), "whole", self.registry.whole())

    def _tell(self, conn: ListingConn, now: float, kind: str, rows: list[Row]) -> None:
        entries = [
            (r.shelf, r.address, r.standing, r.slot, now - r.started_ms if r.started_ms >= 0 else -1.0) for r in rows
        ]
        conn.send(Kind.LIST, 0, kind, entries)
        told = [(r.shelf, r.standing, round(r.started_ms, 3)) for r in rows]
        self.records.note(now, "told", head=conn.session.peer_name, kind=kind, rows=told)

    def control(self, verb: str, values: dict[str, Any]) -> str:
        now, off = self.clock(), bool(values.get("off", 0))
        self.records.note(now, "control", verb=verb, values=values)
        if verb == "list-stale":
            self.registry.stale_ms = 0.0 if off else float(values["by"])
        elif verb == "list-wrong":
            self.registry.mistake(now, str(values["shelf"]), not off)
            self.push()
        else:
            return f"no: {verb!r} is not known"
        return "done"
