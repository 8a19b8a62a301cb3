"""A head's door, core and end of a life in drawn worlds of clients, without sockets."""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
from typing import Any

from service_rig import CONFIG, SETTINGS, build_request, entry, listing

from pebblehinge.core import FinalStatus, PendingRequest, RequestTable
from pebblehinge.decide import NEVER_RAN_OUTCOMES
from pebblehinge.http1 import ResponseParser
from pebblehinge.interface import ListKind, Outcome
from pebblehinge.platform_settings import read_settings
from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.config import read_config
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.node_list import NodeListUpdate
from pebblehinge.service.shutdown import Shutdown, Stage

SLOW = {**SETTINGS, "classes": [{**c, "on_time_s": 2.0, "give_up_s": 9.0} for c in SETTINGS["classes"]]}
LATE_MS = 90.0  # the longest turn
ENDS = (
    (Outcome.SUCCEEDED, 6),
    (Outcome.SERVER_ERROR, 1),
    (Outcome.CONNECTION_LOST, 1),
    (Outcome.CONNECT_FAILED, 1),
    (Outcome.TIMED_OUT, 3),
)


class Wire:
    """A client's connection, both ends of it: the transport that the door writes to, and what its client saw."""

    def __init__(self, world: World, number: int, pace: int) -> None:
        self.world, self.number, self.pace = world, number, pace
        self.unread, self.out, self.shut, self.is_closed = b"", b"", False, False
        self.goes_ms = math.inf  # when its client ends its sending and goes
        self.whole, self.halves, self.answers, self.got = 0, b"", 0, ResponseParser()
        self.conn: ClientConnection | None = None

    def write(self, data: bytes) -> None:
        if self.is_closed:
            return
        assert not self.shut, "an answer behind the end"
        self.out += data

    def write_eof(self) -> None:
        self.shut = True

    def is_closing(self) -> bool:
        return self.is_closed

    def abort(self) -> None:
        assert not self.out or self.gone(), "an answer was cut off"
        if not self.is_closed and self.gone():
            self.world.call_soon(self.ends)
        self.is_closed = True

    def get_write_buffer_size(self) -> int:
        return len(self.out)

    def gone(self) -> bool:
        return self.goes_ms <= self.world.now

    def ends(self) -> None:
        """Its end is read behind all that it sent, and its connection is lost."""
        assert self.conn is not None
        self.conn.eof_received()
        self.is_closed, self.out = True, b""
        self.conn.connection_lost(None)

    def get_extra_info(self, name: str) -> Wire:
        return self

    def fileno(self) -> int:
        return self.number

    def asks(self, data: bytes, run: int) -> None:
        if not self.shut and not self.is_closed and not self.gone():
            self.unread, self.whole = self.unread + data, self.whole + run

    def completes(self) -> None:
        if not self.shut:
            self.asks(self.halves, 1)
            self.halves = b""

    def turn(self) -> None:
        if self.conn is None or self.is_closed:
            return
        if self.gone() and not self.unread:
            self.ends()
            return
        if self.unread:
            data, self.unread = self.unread, b""
            self.conn.data_received(data)
        self.got.feed(self.out[: self.pace])
        self.out = self.out[self.pace :]
        while self.got.next() is not None:
            self.answers += 1
        if self.shut and not self.out and not self.is_closed:
            self.is_closed = True
            assert self.conn is not None
            self.conn.connection_lost(None)


class World:
    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.order = random.Random(seed), 1000.0, itertools.count()
        self.events: list[tuple[float, int, Any]] = []
        self.wires: list[Wire] = []
        self.queue: list[Wire] = []
        self.loop, self.lateness_ms, self.config = (
            self,
            0.0,
            read_config(json.dumps({**CONFIG, "settings": SLOW}).encode()),
        )
        self.never = 0  # attempts that were not begun, since their client had gone
        self.risky: set[str] = set()  # ids of what may have run
        self.registry, self.shutdown, self.done = ConnectionRegistry(self), Shutdown(self), False  # type: ignore[arg-type]
        self.core = RequestTable(self.config.settings, seed, self.now, self)  # type: ignore[arg-type]
        told = NodeListUpdate(listing(1, entry("s0", 1, 0), entry("s1", 1, 1)))
        self.core.apply_endpoint_list(self.now, ListKind.WHOLE, told.entries)

    def clock(self) -> float:
        return self.now

    def at(self, when: float, what: Any) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def call_soon(self, what: Any, *args: Any) -> None:
        self.at(self.now, lambda: what(*args))

    # what the core has done
    def send_attempt(self, pending: PendingRequest, node: str, attempt: int, until_ms: float) -> None:
        pending.attempt = token = object()
        if not self.registry.can_start_attempt(pending):
            self.never += 1
            self.at(
                self.now,
                lambda: (
                    pending.attempt is token
                    and self.core.on_attempt_end(self.now, pending, attempt, Outcome.NOT_SENT, 0.0)
                ),
            )
            return
        assert not pending.origin.sock.gone(), "a trip began for a client that had gone"  # type: ignore[attr-defined]
        outcome = self.rng.choices(*zip(*ENDS, strict=True))[0]
        when = until_ms if outcome is Outcome.TIMED_OUT else min(until_ms, self.now + self.rng.expovariate(0.004))

        def ends() -> None:
            if pending.attempt is token:
                self.risky.add(pending.id) if outcome not in NEVER_RAN_OUTCOMES else None
                self.core.on_attempt_end(self.now, pending, attempt, outcome, 50.0, b"x" * self.rng.choice((2, 60_000)))

        self.at(when, ends)

    def cancel_attempt(self, pending: PendingRequest) -> None:
        self.risky.add(pending.id)

    def answer(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        assert self.now <= pending.handle.deadline_ms + 2 * LATE_MS, "late"  # type: ignore[union-attr]
        if final is FinalStatus.REJECTED and pending.handle.request_class.name == "save":  # type: ignore[union-attr]
            assert pending.attempt is None and pending.id not in self.risky, "rule 2"
        self.registry.answer(pending, final, stay_ms, data)

    def wake_at(self, at_ms: float) -> None:
        self.at(at_ms, lambda: self.core.on_wake_up(self.now))

    # the end
    def set_answer_deadline(self, end_ms: float) -> None:
        self.registry.is_draining = True
        self.core.begin_shutdown(self.now, end_ms)

    def accept_queued_connections(self) -> bool:
        came, self.queue = self.queue, []
        for wire in came:
            wire.conn = ClientConnection(self.registry, wire)  # type: ignore[arg-type]
            self.registry.connection_count += 1
            wire.conn.connection_made(wire)
        return bool(came)

    def close_inactive_connections(self, last: bool) -> None:
        self.registry.close_inactive_connections(last)

    def count_unanswered_connections(self) -> int:
        return self.registry.count_unanswered_connections(self.now)

    def finish(self) -> None:
        self.done = True

    def step(self) -> None:
        at = self.shutdown.step(self.now)
        if at is not None:
            self.at(at, self.step)

    def leave(self) -> None:
        at = self.shutdown.begin(self.now, 0.0, self.config.longest_wait_ms)
        if at is not None:
            self.at(at, self.step)

    # clients
    def come(self) -> None:
        wire = Wire(self, len(self.wires), self.rng.choice((1 << 20, 1 << 20, 2000)))
        self.wires.append(wire)
        self.queue.append(wire)
        self.client(wire)

    def client(self, wire: Wire) -> None:
        """One thing a client does: a request, one in two halves, or two at once; then again after a while."""
        request, what = self.request(), self.rng.random()
        if wire.whole > wire.answers or wire.halves:
            pass
        elif what < 0.2:
            cut = self.rng.randrange(1, len(request))
            wire.halves = request[cut:]
            wire.asks(request[:cut], 0)
            if self.rng.random() < 0.8:
                self.at(self.now + self.rng.uniform(1.0, 900.0), wire.completes)
        elif what < 0.35:
            wire.asks(request + self.request(), 2)
        else:
            wire.asks(request, 1)
        self.at(self.now + self.rng.expovariate(0.003), lambda: self.client(wire))

    def request(self) -> bytes:
        kind, patience = self.rng.choice(("look", "look", "save")), self.rng.choice((300, 900, 9000))
        return build_request(kind, self.rng.randrange(2), X_Deadline_Ms=str(patience))

    def play(self) -> None:
        for _ in range(25):
            self.at(1000.0 + self.rng.uniform(0.0, 2400.0), self.come)
        for _ in range(2):
            self.at(1000.0 + self.rng.uniform(0.0, 6000.0), lambda: self.core.configure(self.now, read_settings(SLOW)))
        self.at(1000.0 + self.rng.uniform(1000.0, 2000.0), self.leave)
        self.at(1000.0 + self.rng.uniform(1000.0, 5000.0), self.leave)
        looked = self.now
        while not self.done and self.now < 12_000.0:
            self.now += self.rng.uniform(10.0, LATE_MS) if self.rng.random() < 0.02 else 1.0
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            if self.now - looked > 100.0:
                looked = self.now
                self.registry.close_expired(self.now)
            for wire in self.wires:
                wire.turn()
            if self.shutdown.stage is not Stage.CLOSING:
                self.accept_queued_connections()
