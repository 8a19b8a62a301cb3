"""Open-loop clients: sends what `load` draws, with the tries that clients make, and writes the clients' records."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import Any

from pebblehinge.client import Client, Result, RetryPolicy, connect, with_retries
from pebblehinge.client.result import LOST
from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.lab.load import Ask, Draw, payload
from pebblehinge.settings import Config
from pebblehinge.wire.frames import WRITE

CONNECT_FAILED = "unreached"  # no head took it: the client may come again


class Crowd:
    """All clients of one load process: one connection to each head, made again when it breaks."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        day: str,
        seed: int,
        records: EventLog | NullEventLog,
        part: int = 0,
        parts: int = 1,
        draw: Any = None,
    ) -> None:
        self.loop, self.clock, self.config, self.records = loop, clock, config, records
        self.draw = draw or Draw(config, day, seed, part, parts)
        self.name = f"c{part + 1}"
        self.rng = random.Random(f"{seed}/clients/{part}")
        self.cuts = [t for t in config.day[day].at if t.name == "client-cuts"]
        self.conns: dict[str, Client | None] = {}
        self.making: dict[str, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()
        self.numbers = 0
        self.start_ms = 0.0
        self.ended: asyncio.Future[None] = loop.create_future()
        self.late_ms = 0.0  # how far behind its schedule the process has been, at worst
        self.done: dict[str, int] = {}
        self.stopped = False

    # ---- connections

    def _keep(self, head: str) -> None:
        if head not in self.making and not self.stopped:
            self.making[head] = self.loop.create_task(self._connect(head))

    async def _connect(self, head: str) -> None:
        limits = self.config.limits
        try:
            while not self.stopped:
                try:
                    client = await connect(
                        self.config.head[head].listen,
                        name=f"{self.name}",
                        loop=self.loop,
                        limit=limits.frame,
                        streams=limits.streams,
                        keepalive_ms=limits.keepalive,
                        observer=lambda e, **v: self.records.note(self.clock(), e, **v),
                    )
                    self.conns[head] = client
                    self.records.note(self.clock(), "connected", head=head)
                    return
                except OSError:
                    await asyncio.sleep(self.rng.uniform(0.05, 0.15))
        finally:
            self.making.pop(head, None)

    def _conn(self, head: str) -> Client | None:
        client = self.conns.get(head)
        if client is None or client.closed or client.stopping:
            self._keep(head)
            return None
        return client

    async def connect_all(self) -> None:
        """Connections to all heads that are up, tried for a few seconds."""
        for head in self.config.head:
            self._keep(head)
        until = self.loop.time() + 5.0
        while self.making and self.loop.time() < until:
            await asyncio.sleep(0.02)

    # ---- the day

    def start(self, start_ms: float) -> None:
        """Begins at a time of the clock; `ended` is set when the last request has its end."""
        self.start_ms = start_ms
        for t in self.cuts:
            self._at(start_ms + t.at, self._cut, t.by or 0.0, start_ms + t.at + (t.last or 0.0))
        self._next(self.draw.runs())

    def _at(self, at_ms: float, call: Callable[..., None], *args: Any) -> None:
        self.loop.call_at(at_ms / 1000.0, call, *args)

    def _next(self, runs: Iterator[Ask]) -> None:
        """Sends all that is due, and comes again for what is not."""
        now = self.clock()
        while True:
            ask = next(runs, None)
            if ask is None:
                if not self.tasks and not self.ended.done():
                    self.ended.set_result(None)
                self.finished = True
                return
            at = self.start_ms + ask.at_ms
            if at > now:
                self._at(at, self._due, ask, runs)
                return
            self._begin(ask, at)

    finished = False

    def _due(self, ask: Ask, runs: Iterator[Ask]) -> None:
        at = self.start_ms + ask.at_ms
        self.late_ms = max(self.late_ms, self.clock() - at)
        self._begin(ask, at)
        self._next(runs)

    def _begin(self, ask: Ask, at_ms: float) -> None:
        task = self.loop.create_task(self._run(ask, at_ms))
        self.tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.ended.done():
            self.ended.set_exception(task.exception())
        if self.finished and not self.tasks and not self.ended.done():
            self.ended.set_result(None)

    async def _run(self, ask: Ask, at_ms: float) -> None:
        """A run: each request follows the one before by a thinktime, at the latest after its latency objective."""
        expected = self.config.profile[ask.profile].expected
        following: list[asyncio.Task] = []
        for i, units in enumerate(ask.units):
            if i:
                await asyncio.wait(following[-1:], timeout=expected / 1000.0)
                await asyncio.sleep(ask.gaps[i - 1] / 1000.0)
                at_ms = self.clock()
            following.append(self.loop.create_task(self._request(ask, units, at_ms)))
        await asyncio.gather(*following)

    async def _request(self, ask: Ask, units: float, at_ms: float) -> None:
        """One request of a client with its further tries; what is due counts from the time it was meant for."""
        config, profile = self.config, self.config.profile[ask.profile]
        self.numbers += 1
        op = f"{self.name}-{self.numbers}"
        early = self.draw.leaves_early(at_ms - self.start_ms, profile.patience)
        retries = RetryPolicy(config.load.retries, config.load.backoff, profile.repeat)
        honours = self.rng.random() < config.load.honours
        self.records.note(
            at_ms,
            "op",
            op=op,
            profile=ask.profile,
            plan=ask.plan,
            volume=ask.volume,
            x=f"{ask.volume}/{ask.extent}",
            head=ask.head,
            u=units,
            write=ask.op == WRITE,
            slot=ask.slot,
        )
        data = payload(op, ask.size) if ask.op == WRITE else b""

        async def attempt(tries: int, left_ms: float) -> Result:
            client = self._conn(ask.head)
            if client is None:
                return Result("pushed back", reason=CONNECT_FAILED)
            future = client.request(
                ask.volume,
                ask.extent,
                profile=ask.profile,
                op=ask.op,
                slot=ask.slot,
                units=units,
                patience_ms=left_ms,
                length=ask.size,
                data=data,
                again=tries > 0,
                label=op if profile.repeat == "labelled" else None,
                trace=f"{op}.{tries}",
            )
            if early is not None:
                done, _ = await asyncio.wait([future], timeout=early / 1000.0)
                if not done:
                    future.cancel()
                    return Result("left")
            result = await future
            if not honours and result.stay_ms:
                return Result(result.final, 0.0, result.reason, result.slot, result.data, result.took_ms)
            return result

        patience = profile.patience - (self.clock() - at_ms)
        result, tries = await with_retries(attempt, retries, patience, self.loop, self.rng)
        now = self.clock()
        final = CONNECT_FAILED if result.reason == CONNECT_FAILED else result.final
        self.done[final] = self.done.get(final, 0) + 1
        self.records.note(now, "done", op=op, final=final, tries=tries, took=round(now - at_ms, 3))

    def _cut(self, chance: float, until_ms: float) -> None:
        """Clients that vanish in the middle: connections cut at random, with writes out."""
        now = self.clock()
        for head, client in sorted(self.conns.items()):
            if client is not None and not client.closed and self.rng.random() < chance:
                self.records.note(
                    now, "cut", head=head, open=[request.trace for request in client.open_requests.values()]
                )
                client.close_reason = "cut by the client"
                client.abort()
        if now < until_ms:
            self._at(now + 250.0, self._cut, chance, until_ms)

    async def close(self) -> None:
        self.stopped = True
        for task in list(self.making.values()):
            task.cancel()
        for client in self.conns.values():
            if client is not None:
                client.close()
        await asyncio.sleep(0.01)
        self.records.close()


__all__ = ["LOST", "CONNECT_FAILED", "Crowd"]
