"""One head in service: joins the door, the core, the shelfs and discovery, and carries out what the core says."""

from __future__ import annotations

import asyncio
import gc
import math
import random
import signal
import socket
import sys
import time
from collections.abc import Callable

from pebblehinge.core import Core, Taken
from pebblehinge.interface import ListCall, ListKind, Outcome, Standing
from pebblehinge.service.clients import ClientConn, Door
from pebblehinge.service.config import ServiceConfig, load_config
from pebblehinge.service.discovery import Watch
from pebblehinge.service.life import Life
from pebblehinge.service.lists import Told
from pebblehinge.service.peek import readable
from pebblehinge.service.shelfs import Shelfs
from pebblehinge.stated import StatedError

LOOK_S = 0.1  # between looks at what has stood too long
TICK_S = 0.02  # between measures of how late the loop is
LATE_KEPT = 0.8  # of the last lateness, at each measure
MOST_LATE_MS = 100.0  # more than this is no longer taken off a client's time once its turn is over
AT_ONCE = 16  # connections accepted in a turn
BACKLOG = 1024
OWN_SOCKETS = 24  # descriptors of the process itself, discovery's connections among them
SHELF_PART = 3 / 8  # of the descriptors, for connections to shelfs
KNOWN_MS = 500.0  # so long a list from the configuration waits to be overtaken by a told one
SUMS_S = 5.0  # between lines of the log that say what has passed
MOST_LINES = 2000  # of the log, so that it can't grow for ever


def make_clock() -> Callable[[], float]:
    """Milliseconds of the monotonic clock, put on Unix time once."""
    offset = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset) * 1000.0


class Service:
    """One running head."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: ServiceConfig, path: str = "",
        clock: Callable[[], float] | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.config, self.path = loop, config, path
        self.clock = clock or make_clock()
        self.born = self.clock()
        self.lines = 0
        self.turn_late_ms = self.usual_late_ms = 0.0
        self.tick_due = math.inf  # on the loop's clock, when lateness is measured next
        self.door = Door(self)
        self.shelfs = Shelfs(self, config.idle_ms, config.connect_ms)
        self.core = Core(config.settings, config.seed, self.born, self)
        rng = random.Random(config.seed ^ 0x5EED)  # the module has one of its own
        self.watch = Watch(loop, config.discovery, rng, self._told, self.say)
        self.told = False  # discovery itself has told a list
        self.timer: asyncio.TimerHandle | None = None
        self.wake_ms = float("inf")
        self.listening: socket.socket | None = None
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.life = Life(self)
        self.full = False  # no room for a further client: those that come wait in the listen queue
        self.accepting: set[asyncio.Task[None]] = set()
        self.summed: dict[str, int] = {}
        self.limit()

    def say(self, what: str, **facts: object) -> None:
        """A line of the log."""
        self.lines += 1
        if self.lines <= MOST_LINES:
            more = "".join(f" {k.replace(' ', '-')}={str(v)[:300]!r}" for k, v in facts.items())
            print(f"pebblehinge {self.config.name} {(self.clock() - self.born) / 1000.0:.3f} {what}{more}",
                  file=sys.stderr, flush=True)  # fmt: skip

    def limit(self) -> None:
        """How many connections clients and shelfs may hold, by the descriptors that there are."""
        self.most_shelfs = int(self.config.sockets * SHELF_PART)
        self.most_clients = self.config.sockets - self.most_shelfs - OWN_SOCKETS

    # ---- life

    async def start(self) -> None:
        if self.config.known is not None:
            try:
                self._listed(Told(self.config.known))
            except StatedError as error:
                self.say("the known list can't be read", error=error)
        self.core.start(self.clock())
        self.watch.start()
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind(self.config.listen)
        listening.listen(BACKLOG)
        self.listening = listening
        self.loop.add_reader(listening.fileno(), self._accept)
        self.loop.call_later(LOOK_S, self._look)
        self._tick()
        self.loop.call_later(SUMS_S, self._sum_again)
        gc.collect()
        gc.freeze()

    def ready(self) -> bool:
        """It listens and has a list: discovery's own, or after a while the one that it was started with."""
        if self.listening is None or not self.shelfs.table:
            return False
        return self.told or self.clock() - self.born > KNOWN_MS

    def reload(self) -> None:
        """SIGHUP: the file is read again; one that can't be read leaves the old one in force."""
        try:
            config = load_config(self.path)
        except StatedError as error:
            self.say("the new configuration is not taken up", error=error)
            return
        old, self.config = self.config, config
        self.limit()
        self.shelfs.idle_ms, self.shelfs.connect_ms = config.idle_ms, config.connect_ms
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
        waits = self.listening is not None and readable(self.listening.fileno())
        if waits:
            self._accept()
        return waits

    def close_quiet(self, last: bool) -> None:
        self.door.stop(last)

    def unanswered(self) -> int:
        return self.door.owed(self.clock())

    def over(self) -> None:
        if self.listening is not None:
            self._deafen()
            self.listening.close()
            self.listening = None
        self._sum()
        self.say("over", open=self.core.open)
        self.watch.stop()
        self.shelfs.stop()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def _sum(self) -> None:
        """A line on what has passed since the last."""
        core, door = self.core, self.door
        sums = {**core.counts, **{o.value: n for o, n in core.outcomes.items()}, **core.reasons, "errors": door.refused,
                **self.shelfs.answers}  # fmt: skip
        new = {k: n - self.summed.get(k, 0) for k, n in sums.items() if n != self.summed.get(k, 0)}
        self.summed = sums
        if new:
            self.say("passed", **new, open=core.open, out=self.shelfs.out, clients=door.count,
                     fresh=len(door.fresh), idle=len(door.idle), spared=door.spared, unserved=door.unserved,
                     shelf_connections=self.shelfs.connections, late_ms=round(self.late_ms, 1))  # fmt: skip

    def _sum_again(self) -> None:
        self.loop.call_later(SUMS_S, self._sum_again)
        self._sum()

    # ---- clients come in

    def _accept(self) -> None:
        for n in range(AT_ONCE):
            if self.listening is None or (n and self.door.count >= self.most_clients):
                return
            if self.door.count >= self.most_clients and not self.door.spare(self.clock()):
                self._deafen()  # nothing is closed unanswered: it waits in the queue until there is room
                return
            try:
                sock, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.say("can't accept", error=error)
                self._deafen()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.door.count += 1
            task = self.loop.create_task(self._begin(sock))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    def _deafen(self) -> None:
        """Accepts no more for now; a turn later it is tried again."""
        if not self.full and self.listening is not None:
            self.full = True
            self.loop.remove_reader(self.listening.fileno())
            self.loop.call_later(TICK_S, self._accept_again)

    def _accept_again(self) -> None:
        self.full = False
        if self.listening is not None:
            self.loop.add_reader(self.listening.fileno(), self._accept)

    async def _begin(self, sock: socket.socket) -> None:
        conn = ClientConn(self.door)
        try:
            await self.loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            self.door.uncount(conn)
            sock.close()

    def make_room(self) -> None:
        """Before a connection to a shelf is made: within the shelfs' part of the descriptors."""
        if self.shelfs.connections >= self.most_shelfs:
            self.shelfs.spare()

    # ---- what the core has done

    def send_trip(self, taken: Taken, shelf: str, trip: int, until_ms: float) -> None:
        self.shelfs.send(taken, shelf, trip, until_ms)

    def drop_trip(self, taken: Taken) -> None:
        self.shelfs.drop(taken.trip)

    def answer(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        self.door.answer(taken, final, stay_ms, data)

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

    def ended(self, taken: Taken, trip: int, outcome: Outcome, took_ms: float, data: bytes) -> None:
        self.core.ended(self.clock(), taken, trip, outcome, took_ms, data)

    def _told(self, told: Told) -> None:
        self.told = True
        self._listed(told)

    def _listed(self, told: Told) -> None:
        ready = {e.shelf: e.standing is Standing.READY for e in told.entries}
        self.shelfs.listed(ready, told.addresses, told.kind is ListKind.WHOLE)
        self.core.listed(self.clock(), told.kind, told.entries)

    def _look(self) -> None:
        self.loop.call_later(LOOK_S, self._look)
        now = self.clock()
        self.door.look(now)
        self.shelfs.look(now)
        self.watch.look()

    @property
    def late_ms(self) -> float:
        """How long what is read now may have lain unread: as long as the measure itself is overdue, and as it was
        when it was last made, in the turn that it was made in."""
        return max(self.turn_late_ms, self.usual_late_ms, (self.loop.time() - self.tick_due) * 1000.0 - 1.0)

    def _tick(self) -> None:
        late = (self.loop.time() - self.tick_due) * 1000.0 - 1.0  # the loop's own grid
        self.usual_late_ms = min(MOST_LATE_MS, max(0.0, late, self.usual_late_ms * LATE_KEPT - 0.1))
        self.turn_late_ms = max(0.0, late)
        self.loop.call_soon(self.loop.call_soon, self._turned)  # a timer goes before the turn's reads: one turn later
        self.tick_due = self.loop.time() + TICK_S
        self.loop.call_later(TICK_S, self._tick)

    def _turned(self) -> None:
        self.turn_late_ms = 0.0


async def run(path: str, config: ServiceConfig) -> None:
    """Serves until SIGTERM or SIGINT, and what was taken is answered."""
    loop = asyncio.get_running_loop()
    service = Service(loop, config, path)
    loop.set_exception_handler(
        lambda _, about: service.say("a fault in the loop", what=about["message"], error=repr(about.get("exception")))
    )
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.leave)
    await service.start()
    await service.stopped


__all__ = ["Service", "run"]
