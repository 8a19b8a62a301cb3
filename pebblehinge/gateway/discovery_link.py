"""The head's way to the node list: one connection, kept up; what comes is passed on as the list says it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from pebblehinge.interface import Entry, ListCall, ListKind, Standing
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session, WireError

KINDS = {"changes": ListKind.CHANGES, "whole": ListKind.WHOLE, "failed": ListKind.FAILED}


class _Wire(Peer):
    FRAMES = frozenset({Kind.LIST})

    def __init__(self, owner: DiscoveryLink, session: Session) -> None:
        super().__init__(owner.loop, session, owner.limits.stall, owner.limits.keepalive)
        self.owner = owner

    def ready(self) -> None:
        self.owner.opened(self)

    def gone(self, exc: Exception | None) -> None:
        self.owner.lost(self)

    def on_list(self, token: int, kind: str, rows: list[tuple[str, str, str, int, float]]) -> None:
        self.owner.came(kind, rows)


class DiscoveryLink:
    """`listed(now, kind, entries, addresses)` is called for each list; addresses are by shelf."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        head: str,
        address: str,
        limits: LimitsBlock,
        rng: random.Random,
        listed: Callable[[float, ListKind, list[Entry], dict[str, str]], None],
        asks: bool,
    ) -> None:
        self.loop, self.clock, self.head, self.address, self.limits = loop, clock, head, address, limits
        self.rng, self.listed, self.asks = rng, listed, asks
        self.wire: _Wire | None = None
        self.task: asyncio.Task | None = None
        self.again: asyncio.TimerHandle | None = None
        self.calls: list[ListCall] = []
        self.whole = False  # a new connection brings the whole list before its changes
        self.closed = False

    def start(self) -> None:
        self.task = self.loop.create_task(self._connect())

    def call(self, call: ListCall) -> None:
        if self.wire is None:
            self.calls.append(call)
            del self.calls[:-4]
        else:
            self.wire.send(Kind.WATCH, 1)

    def close(self) -> None:
        self.closed = True
        for handle in (self.task, self.again):
            if handle is not None:
                handle.cancel()
        if self.wire is not None:
            self.wire.close()

    async def _connect(self) -> None:
        session = Session("head", self.head, self.limits.frame, self.limits.streams, greets=True)
        try:
            host, port = parse_address(self.address)
            await self.loop.create_connection(lambda: _Wire(self, session), host, port)
        except (OSError, ValueError):
            self._later()

    def _later(self) -> None:
        if not self.closed:
            self.again = self.loop.call_later(self.rng.uniform(0.2, 0.6), self.start)

    def opened(self, wire: _Wire) -> None:
        self.wire = wire
        if not self.asks:
            wire.send(Kind.WATCH, 1)
        for call in self.calls:
            self.call(call)
        self.calls.clear()

    def lost(self, wire: _Wire) -> None:
        """A list that can't be heard changes nothing: the last one stands."""
        had = self.wire is wire
        self.wire = None
        if had and self.asks and not self.closed:
            self.listed(self.clock(), ListKind.FAILED, [], {})
        self._later()

    def came(self, kind: str, rows: list[tuple[str, str, str, int, float]]) -> None:
        now = self.clock()
        if kind not in KINDS:
            raise WireError(f"LIST: kind {kind[:20]!r}: expected one of {', '.join(KINDS)}")
        entries, addresses = [], {}
        for shelf, address, standing, slot, age in rows:
            try:
                where = Standing(standing)
            except ValueError:
                raise WireError(f"LIST: standing {standing[:20]!r} of {shelf[:60]!r} is not known") from None
            # The list tells how long ago a shelf started: no wall clock of another machine is trusted.
            entries.append(Entry(shelf, where, slot, max(0.0, now - age) if age >= 0 else 0.0))
            addresses[shelf] = address
        self.listed(now, KINDS[kind], entries, addresses)
