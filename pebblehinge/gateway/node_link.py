"""The link to one storage node: one connection that many attempts share, made when it is needed.

What an outcome may say is settled here by what was written: an attempt of which no byte was handed to the socket never
ran (`CONNECT_FAILED`); from the first byte on it may have run, however the connection ends (`CONNECTION_LOST`).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from pebblehinge.gateway.dialer import Dialer
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.gateway.node_connection import NodeConnection
from pebblehinge.interface import Outcome
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session

RECHECK_S = 0.001
"""Seconds between an attempt's time-out and its end, for one more look at the sockets."""

OUTCOMES = (Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.OVERLOADED)
"""The outcomes of an attempt, by their numbers in OUTCOME frames."""


class AttemptInFlight:
    """One attempt that has no outcome yet.

    Attributes:
        number: Its number on the link.
        pending: The request that it serves.
        attempt: Which attempt of the request it is, from 0.
        until_ms: When it times out.
        sent_ms: When it was given to the link.
        timer: Its time-out.
        link: The link that carries it.
        rechecked: Whether its time-out has passed, and the sockets were looked at once more.
    """

    __slots__ = ("number", "pending", "attempt", "until_ms", "sent_ms", "timer", "link", "rechecked")

    timer: asyncio.TimerHandle

    def __init__(
        self, number: int, pending: FramedRequest, attempt: int, until_ms: float, sent_ms: float, link: NodeLink
    ) -> None:
        self.number = number
        self.pending = pending
        self.attempt = attempt
        self.until_ms = until_ms
        self.sent_ms = sent_ms
        self.link = link
        self.rechecked = False


class AttemptEnded(Protocol):
    """Takes the outcome of an attempt, once for each and never from within `NodeLink.send`."""

    def __call__(
        self, now: float, pending: FramedRequest, attempt: int, outcome: Outcome, took_ms: float, data: bytes, /
    ) -> None:
        """Called at `now`; `took_ms` is since the attempt was given to the link, `data` are the bytes read."""


class NodeLink:
    """The link to one storage node at one address.

    Attributes:
        node: The storage node's name.
        address: Its host:port.
        connection: The connection, while there is one that has greeted.
        waiting: Attempts of which nothing was written.
        in_flight: Attempts that may have run, by their numbers.
        late_outcomes: How many outcomes came for attempts that had ended.
        retired: Whether the link takes nothing new, and closes when its last attempt has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        gateway: str,
        node: str,
        address: str,
        limits: LimitsBlock,
        ended: AttemptEnded,
        note: Callable[..., None] | None,
    ) -> None:
        """Links `gateway` to `node`; `ended` takes outcomes, `note` writes events to the records."""
        self.loop = loop
        self.clock = clock
        self.gateway = gateway
        self.node = node
        self.address = address
        self.limits = limits
        self.ended = ended
        self.note = note
        self.connection: NodeConnection | None = None
        self.dialer = Dialer(loop, clock, address, limits, self._make_peer, self._connect_failed)
        self.waiting: deque[AttemptInFlight] = deque()
        self.in_flight: dict[int, AttemptInFlight] = {}
        self.last_number = 0
        self.now = 0.0
        self.late_outcomes = 0
        self.retired = False

    # ---- operations

    def send(self, pending: FramedRequest, attempt: int, until_ms: float, now: float) -> None:
        """Sends an attempt, which times out at `until_ms`; it waits if there is no connection yet."""
        self.last_number += 1
        sent = AttemptInFlight(self.last_number, pending, attempt, until_ms, now, self)
        sent.timer = self.loop.call_at(until_ms / 1000.0, self._time_out, sent)
        pending.attempt = sent
        if self.connection is not None and not self.connection.write_paused:
            self._write(sent, now)
            return
        self.waiting.append(sent)
        if self.connection is None:
            self.dialer.connect()

    def drop(self, pending: FramedRequest) -> None:
        """Cancels a request's attempt; the storage node is told, the caller knows the outcome."""
        dropped: AttemptInFlight = pending.attempt
        dropped.timer.cancel()
        if self.in_flight.pop(dropped.number, None) is not None:
            if self.connection is not None:
                self.connection.send(Kind.RECALL, dropped.number)
        elif dropped in self.waiting:
            self.waiting.remove(dropped)

    def retire(self) -> None:
        """The storage node has another address: what is in flight here still ends here, then the connection closes."""
        self.retired = True
        self._close_if_idle()

    def close(self) -> None:
        """Closes the connection and ends a dial that is under way."""
        self.retired = True
        self.dialer.close()
        if self.connection is not None:
            self.connection.close()

    def push(self) -> None:
        """Writes what waits, as far as the storage node reads."""
        now = self.clock()
        while self.waiting and self.connection is not None and not self.connection.write_paused:
            self._write(self.waiting.popleft(), now)

    # ---- called by the connection

    def on_connected(self, connection: NodeConnection) -> None:
        """The greeting is over."""
        if self.dialer.connecting is None:  # the dial was given up meanwhile
            connection.abort()
            return
        self.dialer.connected()
        self.connection = connection
        self.push()

    def on_connection_lost(self, connection: NodeConnection) -> None:
        """The connection is over: what was written on it may have run."""
        now = self.clock()
        if self.dialer.connecting is not None and self.connection is None:
            self.dialer.fail("the connection broke before the greeting")
            return
        if connection is not self.connection:
            return
        self.connection = None
        lost = list(self.in_flight.values())
        self.in_flight.clear()
        for attempt in lost:
            self._end(attempt, now, Outcome.CONNECTION_LOST)
        if self.waiting:
            self.dialer.connect()

    def on_outcome(self, number: int, status: int, reason: str, data: bytes) -> None:
        """An attempt has its outcome. One that has ended before is only counted: its request has its answer."""
        attempt = self.in_flight.pop(number, None)
        if attempt is None or status >= len(OUTCOMES):
            self.late_outcomes += 1
            if attempt is not None:
                self._end(attempt, self.now, Outcome.SERVER_ERROR)
            return
        self._end(attempt, self.now, OUTCOMES[status], data)

    # ---- on its own

    def _make_peer(self) -> NodeConnection:
        return NodeConnection(self, Session("head", self.gateway, self.limits.frame, self.limits.streams, dialed=True))

    def _connect_failed(self) -> None:
        now = self.clock()
        failed = list(self.waiting)
        self.waiting.clear()
        for attempt in failed:
            self._end(attempt, now, Outcome.CONNECT_FAILED)

    def _write(self, attempt: AttemptInFlight, now: float) -> None:
        pending, connection = attempt.pending, self.connection
        assert connection is not None
        self.in_flight[attempt.number] = attempt
        connection.send(
            Kind.TRIP,
            attempt.number,
            pending.trace,
            attempt.attempt,
            f"{pending.volume}/{pending.extent}",
            pending.op,
            pending.offset,
            pending.length,
            pending.units,
            pending.label,
            attempt.until_ms - now,
            pending.data,
        )
        if self.note is not None:
            until = round(attempt.until_ms, 3)
            self.note(now, "trip", id=pending.trace, n=attempt.attempt, shelf=self.node, until=until)

    def _close_if_idle(self) -> None:
        if self.retired and not self.in_flight and not self.waiting and self.connection is not None:
            self.connection.close()

    def _time_out(self, attempt: AttemptInFlight) -> None:
        if not attempt.rechecked:
            # A loop that was held up runs its timers before it reads: the outcome may lie in the socket.
            attempt.rechecked = True
            attempt.timer = self.loop.call_later(RECHECK_S, self._time_out, attempt)
            return
        now = self.clock()
        if self.in_flight.pop(attempt.number, None) is not None:
            if self.connection is not None:
                self.connection.send(Kind.RECALL, attempt.number)
                self.connection.probe()
            self._end(attempt, now, Outcome.TIMED_OUT)
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
            self._end(attempt, now, Outcome.CONNECT_FAILED)

    def _end(self, attempt: AttemptInFlight, now: float, outcome: Outcome, data: bytes = b"") -> None:
        attempt.timer.cancel()
        pending = attempt.pending
        if self.note is not None:
            self.note(now, "outcome", id=pending.trace, n=attempt.attempt, shelf=self.node, what=outcome.value)
        self.ended(now, pending, attempt.attempt, outcome, now - attempt.sent_ms, data)
        self._close_if_idle()
