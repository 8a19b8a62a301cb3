"""One head in service: joins the door, the core, the shelfs and discovery, and carries out what the core says."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import sys
import time
from collections.abc import Callable

from pebblehinge.core import FinalStatus, PendingRequest, RequestTable
from pebblehinge.interface import ListCall, ListKind, Outcome, Standing
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service import early
from pebblehinge.service.config import ServiceConfig, load_config
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.discovery import Watch
from pebblehinge.service.door import Door
from pebblehinge.service.lateness import Lateness
from pebblehinge.service.life import Life
from pebblehinge.service.listener import Listener
from pebblehinge.service.lists import Told

LOOK_S = 0.1  # between looks at what has stood too long
OWN_SOCKETS = 24  # descriptors of the process itself, discovery's connections among them
SHELF_PART = 3 / 8  # of the descriptors, for connections to shelfs
KNOWN_MS = 500.0  # so long a list from the configuration waits to be overtaken by a told one
BLIND_MS = 5000.0  # and so long none at all; heads are to be ready within 10 s
SUMS_S = 5.0  # between lines of the log that say what has passed
MOST_LINES = 2000  # of the log, so that it can't grow for ever


def make_clock() -> Callable[[], float]:
    """Milliseconds of the monotonic clock, put on Unix time once."""
    offset = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset) * 1000.0


class Service:
    """One running head."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: ServiceConfig,
        path: str = "",
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.config, self.path = loop, config, path
        self.clock = clock or make_clock()
        self.born = self.clock()
        self.lines = 0
        self.lateness = Lateness(loop)
        self.door = Door(self)
        self.pools = ConnectionPools(self, config.idle_ms, config.connect_ms, 0)
        self.listener = Listener(self)
        self.core = RequestTable(config.settings, config.seed, self.born, self)
        rng = random.Random(config.seed ^ 0x5EED)  # the module has one of its own
        self.watch = Watch(loop, config.discovery, rng, self._told, self.say)
        self.told = False  # discovery itself has told a list
        self.timer: asyncio.TimerHandle | None = None
        self.wake_ms = float("inf")
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.life = Life(self)
        self.summed: dict[str, int] = {}
        self.limit()

    def say(self, what: str, **facts: object) -> None:
        """A line of the log."""
        self.lines += 1
        if self.lines <= MOST_LINES:
            more = "".join(f" {k.replace(' ', '-')}={str(v)[:300]!r}" for k, v in facts.items())
            print(
                f"pebblehinge {self.config.name} {(self.clock() - self.born) / 1000.0:.3f} {what}{more}",
                file=sys.stderr,
                flush=True,
            )

    def limit(self) -> None:
        """How many connections clients and shelfs may hold, by the descriptors that there are."""
        self.pools.most = int(self.config.sockets * SHELF_PART)
        self.listener.most = self.config.sockets - self.pools.most - OWN_SOCKETS

    # ---- life

    async def start(self) -> None:
        if self.config.known is not None:
            try:
                self._listed(Told(self.config.known))
            except PlatformSettingsError as error:
                self.say("the known list can't be read", error=error)
        self.core.start(self.clock())
        self.watch.start()
        self.listener.open(self.config.listen)
        self.loop.call_later(LOOK_S, self._look)
        self.lateness.start()
        self.loop.call_later(SUMS_S, self._sum_again)
        gc.collect()
        gc.freeze()

    def ready(self) -> bool:
        """It listens and has a list: discovery's own, or after a while the one that it was started with. With none it
        is so later: what it takes is refused with a time to return, which is more than no answer."""
        lived = self.clock() - self.born
        if not self.listener.listens or not self.pools.table:
            return self.listener.listens and lived > BLIND_MS
        return self.told or lived > KNOWN_MS

    def reload(self) -> None:
        """SIGHUP: the file is read again; one that can't be read leaves the old one in force."""
        try:
            config = load_config(self.path)
        except PlatformSettingsError as error:
            self.say("the new configuration is not taken up", error=error)
            return
        old, self.config = self.config, config
        self.limit()
        self.pools.idle_ms, self.pools.connect_ms = config.idle_ms, config.connect_ms
        if config.settings != old.settings:
            self.core.adopt(self.clock(), config.settings)
        self.watch.move(config.discovery)
        if config.listen != old.listen:
            self.say("another address to listen on holds from the next start")
        self.say("a new configuration is in force")

    # ---- the end, as Life tells it

    def leave(self) -> None:
        """SIGTERM: connections that are open are served on for as long as there is time to answer, then closed."""
        at = self.life.leave(self.clock(), self.late_ms, self.config.longest_ms)
        if at is not None:
            self.say("leaving", open=self.core.open, clients=self.door.count)
            self.loop.call_later(max(0.0, at - self.clock()) / 1000.0, self._step)

    def _step(self) -> None:
        at = self.life.step(self.clock())
        if at is not None:
            self.loop.call_later(max(0.0, at - self.clock()) / 1000.0, self._step)

    def answer_by(self, end_ms: float) -> None:
        self.door.leaving = True
        self.core.leaves(self.clock(), end_ms)

    def take_in(self) -> bool:
        return self.listener.take_in()

    def close_quiet(self, last: bool) -> None:
        self.door.stop(last)

    def unanswered(self) -> int:
        return self.door.owed(self.clock())

    def over(self) -> None:
        self.listener.close()
        self._sum()
        self.say("over", open=self.core.open)
        self.watch.stop()
        self.pools.stop()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def _sum(self) -> None:
        """A line on what has passed since the last."""
        core, door = self.core, self.door
        sums = {
            **core.counts.by_word(),
            **{o.value: n for o, n in core.outcomes.items()},
            **core.reasons,
            "errors": door.refused,
            **self.pools.answers,
        }
        new = {k: n - self.summed.get(k, 0) for k, n in sums.items() if n != self.summed.get(k, 0)}
        self.summed = sums
        if new:
            self.say(
                "passed",
                **new,
                open=core.open,
                out=self.pools.out,
                clients=door.count,
                fresh=len(door.fresh),
                idle=len(door.idle),
                spared=door.spared,
                unserved=door.unserved,
                gone=door.gone,
                shelf_connections=self.pools.connections,
                late_ms=round(self.late_ms),
            )

    def _sum_again(self) -> None:
        self.loop.call_later(SUMS_S, self._sum_again)
        self._sum()

    # ---- what the core has done

    def send_attempt(self, pending: PendingRequest, shelf: str, attempt: int, until_ms: float) -> None:
        self.pools.send(pending, shelf, attempt, until_ms)

    def wanted(self, pending: PendingRequest) -> bool:
        return self.door.wanted(pending)

    def drop_attempt(self, pending: PendingRequest) -> None:
        self.pools.drop(pending.attempt)

    def answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        self.door.answer(pending, final, stay_ms, data)

    def call_list(self, call: ListCall) -> None:
        """The watch stands always."""

    def wake_at(self, at_ms: float) -> None:
        if at_ms < self.wake_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.wake_ms = at_ms
            # The loop rounds to its grid: half a millisecond more, or it would call just before the time.
            self.timer = self.loop.call_later(max(0.0, at_ms - self.clock()) / 1000.0 + 0.0005, self._woken)

    def _woken(self) -> None:
        self.timer, self.wake_ms = None, float("inf")
        self.core.woken(self.clock())

    # ---- shelfs, discovery and the clock

    def ended(self, pending: PendingRequest, attempt: int, outcome: Outcome, took_ms: float, data: bytes) -> None:
        self.core.ended(self.clock(), pending, attempt, outcome, took_ms, data)

    def _told(self, told: Told) -> None:
        self.told = True
        self._listed(told)

    def _listed(self, told: Told) -> None:
        ready = {e.shelf: e.standing is Standing.READY for e in told.entries}
        self.pools.listed(ready, told.addresses, told.kind is ListKind.WHOLE)
        self.core.listed(self.clock(), told.kind, told.entries)

    def _look(self) -> None:
        self.loop.call_later(LOOK_S, self._look)
        now = self.clock()
        self.door.look(now)
        self.pools.look(now)
        self.watch.look()

    @property
    def late_ms(self) -> float:
        return self.lateness.now_ms


async def run(path: str, config: ServiceConfig) -> None:
    """Serves until SIGTERM or SIGINT, and what was taken is answered."""
    loop = asyncio.get_running_loop()
    service = Service(loop, config, path)
    loop.set_exception_handler(
        lambda _, about: service.say("a fault in the loop", what=about["message"], error=repr(about.get("exception")))
    )
    acts = {signal.SIGHUP: service.reload, signal.SIGTERM: service.leave, signal.SIGINT: service.leave}
    for number, act in acts.items():
        loop.add_signal_handler(number, act)
    await service.start()
    for number in early.came:
        acts[signal.Signals(number)]()
    await service.stopped


__all__ = ["Service", "run"]
