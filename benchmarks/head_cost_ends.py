"""The ends of `head_cost.py`: settings, a module that only passes on, shelfs that answer at once, clients that ask."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

from pebblehinge.gateway import GatewayCore
from pebblehinge.interface import Attempt, Changes, Outcome
from pebblehinge.net import Peer
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind, Session

SETTINGS = """
rules {
    mean-units 2
    most-units 4
}
limits {
    streams 4096
    keepalive 60s
}
profile look {
    importance 2
    expected 2s
    patience 10s
    repeat redoable
}
profile save {
    importance 2
    expected 2s
    patience 10s
    repeat irreversible
}
plan gold {
    rate 1000000/s
    reserve 1000000/s
}
volumes v 40 {
    plan gold
    heads 1
}
kind k {
}
fleet {
    heads 1
    shelfs SHELFS
    kinds k
}
"""


def settings(shelfs: int, loopback: str) -> Config:
    return loads(SETTINGS.replace("SHELFS", str(shelfs)), loopback=loopback)


class NoModule:
    """In the decision module's place: every request goes to its shelf at once, and comes back once."""

    class Handle:
        __slots__ = ("id", "attempts", "answer", "closed", "attempt_in_flight", "module")

        def drain(self) -> tuple[list[Attempt], list[int], None]:
            attempts, self.attempts = self.attempts, []
            return attempts, [], None

        def on_attempt_end(self, now: float, attempt: int, outcome: Outcome, over: bool, took: float) -> Changes:
            self.closed, self.attempt_in_flight = True, False
            return Changes()

        def on_client_disconnect(self, now: float) -> Changes:
            self.closed = True
            return Changes()

    def __init__(self) -> None:
        self.names: list[str] = []
        self.held: list[list[Any]] = []
        self.away: list[list[Any]] = []
        self.at_slot: dict[int, str] = {}

    def start(self, now: float) -> Changes:
        return Changes()

    def on_wake_up(self, now: float) -> Changes:
        return Changes()

    def apply_endpoint_list(self, now: float, kind: Any, entries: list[Any]) -> Changes:
        self.at_slot.update({e.slot: e.node_name for e in entries})
        return Changes()

    def submit(
        self,
        now: float,
        id_: int,
        extent: str,
        request_class: str,
        quota_plan: str,
        volume: str,
        set_size: int,
        slot: int,
        units: float,
        deadline_ms: float,
        again: bool | None,
    ) -> tuple[Any, Changes]:
        handle = self.Handle()
        handle.id, handle.closed, handle.attempt_in_flight = id_, False, True
        handle.attempts = [Attempt(self.at_slot[slot], deadline_ms)]
        return handle, Changes([handle])


class PassThrough(GatewayCore):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.scheduler = NoModule()


class AtOnce(Peer):
    """A shelf's connection that answers each attempt at once."""

    ACCEPTED_KINDS = frozenset({Kind.TRIP, Kind.RECALL})
    reply = b""

    def on_trip(self, number: int, id_: str, attempt: int, extent: str, op: int, *rest: Any) -> None:
        self.send(Kind.OUTCOME, number, 0, "", b"" if op else self.reply)

    def on_recall(self, number: int) -> None:
        pass


class Asker(Peer):
    """A lean client: keeps `width` requests out, or sends at a rate; the time of each is kept."""

    ACCEPTED_KINDS = frozenset({Kind.ANSWER, Kind.STOPPING})

    def __init__(self, loop: Any, shelfs: int, size: int) -> None:
        super().__init__(loop, Session("client", "bench", 1 << 20, 4096, dialed=True), 10_000.0)
        self.shelfs, self.data = shelfs, os.urandom(size)
        self.up = loop.create_future()
        self.sent_at: dict[int, float] = {}
        self.took: list[float] = []
        self.finals = [0, 0, 0]
        self.next_id = self.wanted = 0
        self.closed_loop = True
        self.done: asyncio.Future[None] = loop.create_future()

    def on_ready(self) -> None:
        self.up.set_result(None)

    def on_stopping(self, reason: str) -> None:
        pass

    def begin(self, requests: int, width: int) -> None:
        self.wanted, self.took, self.finals = self.next_id + requests, [], [0, 0, 0]
        self.done = self.loop.create_future()
        for _ in range(width):
            self.ask()

    def ask(self) -> None:
        if self.next_id >= self.wanted:
            return
        self.next_id += 1
        i = self.next_id
        self.sent_at[i] = time.perf_counter()
        write = i % 3 == 0
        self.send(
            Kind.TAKE,
            i,
            f"b-{i}",
            f"v-{i % 40 + 1}",
            None,
            "save" if write else "look",
            f"e{i % 997}",
            i % self.shelfs,
            2.0,
            10_000.0,
            False,
            None,
            int(write),
            0,
            len(self.data),
            self.data if write else b"",
        )

    def on_answer(self, id_: int, final: int, *rest: Any) -> None:
        self.took.append(time.perf_counter() - self.sent_at.pop(id_))
        self.finals[final] += 1
        if self.closed_loop:
            self.ask()
        if self.next_id >= self.wanted and not self.sent_at and not self.done.done():
            self.done.set_result(None)
