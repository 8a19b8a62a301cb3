"""What the core of a head does becomes answers, attempts, timers and calls to the list; what comes of them goes
back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.head.admission import HeadCore
from pebblehinge.head.inside import FINALS
from pebblehinge.head.link import ShelfLink
from pebblehinge.head.listing import ListingLink
from pebblehinge.interface import Entry, ListCall, ListKind
from pebblehinge.settings.schema import Config, HeadBlock


class Effects:
    """The core of a head with its timer, its links to shelfs and its link to the list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        log: Any,
        records: EventLog | NullEventLog | None,
        core: type[HeadCore],
    ) -> None:
        self.loop, self.clock, self.config, self.name, self.log = loop, clock, config, name, log
        self.block: HeadBlock = config.head[name]
        self.records = records or NullEventLog()
        self.note = self.records.note if self.records.enabled else _nothing
        self.links: dict[str, ShelfLink] = {}
        self.retired: list[ShelfLink] = []
        self.now = clock()
        self.core = core(config, self.block, self.now, self)
        self.timer: asyncio.TimerHandle | None = None
        self.wake_ms = float("inf")
        self.latency = HdrHistogram(1, 60_000_000, 3)  # microseconds, of succeeded requests
        self.listing = ListingLink(
            loop,
            clock,
            name,
            config.listing.listen,
            config.limits,
            random.Random(self.block.seed),
            self._listed,
            config.listing.mode == "ask",
        )

    def stop_if_done(self) -> None:
        """Called where the last answer that was owed is given."""
        raise NotImplementedError

    # ---- what the core has done

    def answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        pending.conn.answered(pending, final, stay_ms, reason, data)
        now = self.now
        if final is FinalStatus.SUCCEEDED:
            self.latency.record_value(max(1, int((now - pending.came_ms) * 1000.0)))
        self.note(now, "answer", id=pending.trace, final=FINALS[final], stay=stay_ms)
        if self.config.log.accesses:
            took = round(now - pending.came_ms, 3)
            self.log.info("answer", id=pending.trace, final=FINALS[final], ms=took, reason=reason)
        if self.core.stopping and not self.core.open:
            self.loop.call_soon(self.stop_if_done)

    def send_attempt(self, pending: PendingRequest, shelf: str, attempt: int, until_ms: float) -> None:
        link = self.links[shelf]
        if self.config.log.accesses:
            self.log.info("trip", id=pending.trace, n=attempt, shelf=shelf)
        link.send(pending, attempt, until_ms, self.now)

    def drop_attempt(self, pending: PendingRequest) -> None:
        pending.attempt.link.drop(pending)

    def wake_at(self, at_ms: float) -> None:
        if at_ms < self.wake_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.wake_ms = at_ms
            # The loop rounds to its grid: half a millisecond more, or it would call just before the time.
            self.timer = self.loop.call_at(at_ms / 1000.0 + 0.0005, self._woken)

    def _woken(self) -> None:
        self.timer, self.wake_ms = None, float("inf")
        self.now = self.clock()
        self.core.woken(self.now)

    def call_list(self, call: ListCall) -> None:
        self.listing.call(call)

    # ---- from shelfs and list

    def _ended(self, now: float, *rest: Any) -> None:
        self.now = now
        self.core.ended(now, *rest)

    def _listed(self, now: float, kind: ListKind, entries: list[Entry], addresses: dict[str, str]) -> None:
        self.now = now
        for shelf, address in addresses.items():
            link = self.links.get(shelf)
            if link is None or link.address != address:
                if link is not None:
                    self.retired = [r for r in self.retired if r.out or r.waiting]
                    self.retired.append(link)
                    link.retire()
                self.links[shelf] = ShelfLink(
                    self.loop,
                    self.clock,
                    self.name,
                    shelf,
                    address,
                    self.config.limits,
                    self._ended,
                    self.note if self.records.enabled else None,
                )
        self.note(now, "listed", kind=kind.value, entries=[(e.shelf, e.standing.value) for e in entries])
        self.log.debug("listed", kind=kind.value, shelfs=len(entries))
        self.core.listed(now, kind, entries)
        for shelf in [n for n in self.links if n not in self.core.module.shelfs.index]:
            self.links.pop(shelf).retire()  # the module has given its place to another name: nothing of it is out


def _nothing(*_: Any, **__: Any) -> None:
    pass
